//! How far an attempt has come.

use crate::wire::Outcome;

/// How far a known attempt has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerState {
    /// Waits for a slot.
    Queued,
    /// Handed to the backend server, or about to be.
    Running,
    /// Has ended.
    Finished(Outcome),
    /// Did not run and never will.
    Revoked,
}
