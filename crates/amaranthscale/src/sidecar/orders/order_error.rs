//! An order that the engine did not confirm.

use quick_error::quick_error;

quick_error! {
    /// An order that the engine did not confirm.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum OrderError {
        /// No answer came; the order may have been carried out.
        NoAnswer(reason: String) {
            display("the engine did not answer: {reason}")
        }
        /// The engine refused it.
        Refused(status: u16) {
            display("the engine refused with status {status}")
        }
    }
}
