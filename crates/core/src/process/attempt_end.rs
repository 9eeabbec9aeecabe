//! How an attempt ended, as the router sees it.

use crate::ResultCode;

/// End of an attempt at a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole answer came.
    Complete,
    /// The sidecar refused it.
    Refused(ResultCode),
    /// The backend server failed.
    Failed,
    /// Nothing came in time.
    TimedOut,
    /// The entry gave it up for its own reasons.
    Cancelled,
}
