//! State of an attempt in a ledger.

use crate::wire::Outcome;

/// State of an attempt in a ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerState {
    /// Waiting for a slot.
    Queued,
    /// Sent to the backend server, or about to be.
    Running,
    /// Ended with this outcome.
    Finished(Outcome),
    /// Did not run and never will.
    Revoked,
}
