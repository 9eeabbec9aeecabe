//! Errors of orders to the engine.

use quick_error::quick_error;

quick_error! {
    /// Error of an order to the engine.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum OrderError {
        /// The engine did not answer; the order may have been executed.
        NoAnswer(reason: String) {
            display("the engine did not answer: {reason}")
        }
        /// The engine refused the order.
        Refused(status: u16) {
            display("the engine refused with status {status}")
        }
    }
}
