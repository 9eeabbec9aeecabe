//! How an attempt ended, as seen by the router.

use crate::ResultCode;

/// End of an attempt at a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete answer arrived.
    Complete,
    /// The sidecar refused it.
    Refused(ResultCode),
    /// The backend server failed.
    Failed,
    /// No answer arrived in time.
    TimedOut,
    /// The entry cancelled it for its own reasons.
    Cancelled,
}
