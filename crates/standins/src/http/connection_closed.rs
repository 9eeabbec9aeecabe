//! The wish to close a connection.

use quick_error::quick_error;

quick_error! {
    /// The connection ends without a whole answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ConnectionClosed {
        /// The caller went away before its request was whole.
        ByCaller {
            display("closed by the caller")
        }
        /// A fault asks for it.
        ByFault {
            display("closed by a fault")
        }
    }
}
