//! Reason to close a connection without a whole answer.

use quick_error::quick_error;

quick_error! {
    /// The connection ends without a whole answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ConnectionClosed {
        /// The caller disconnected before its request was complete.
        ByCaller {
            display("closed by the caller")
        }
        /// An active fault closes the connection.
        ByFault {
            display("closed by a fault")
        }
    }
}
