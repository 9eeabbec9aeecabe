//! Errors of a call to the backend server.

use quick_error::quick_error;

quick_error! {
    /// Error of a call to the backend server.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallError {
        /// No byte of the request was sent.
        NotSent(reason: String) {
            display("cannot reach the backend server: {reason}")
        }
        /// The connection was lost after the request may have been received.
        ConnectionLost(reason: String) {
            display("lost the connection to the backend server: {reason}")
        }
        /// The result exceeds the size limit.
        TooLarge {
            display("the result exceeds the size limit")
        }
    }
}
