//! A call to the backend server that brought no whole answer.

use quick_error::quick_error;

quick_error! {
    /// A call to the backend server that brought no whole answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallError {
        /// Not a byte of the request was sent.
        NotSent(reason: String) {
            display("the backend server was not reached: {reason}")
        }
        /// The connection broke after the request may have been seen.
        Broke(reason: String) {
            display("the backend server broke off: {reason}")
        }
        /// The result is above the limit.
        TooLarge {
            display("the result is too large")
        }
    }
}
