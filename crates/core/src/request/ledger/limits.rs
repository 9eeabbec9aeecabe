//! Bounds on a ledger's memory.

use std::time::Duration;

/// Attempts that a ledger holds. At a few hundred bytes each this is some tens of megabytes; a
/// lower number refuses work of a busy sidecar as [`crate::ResultCode::LedgerFull`].
const MAX_ENTRIES: usize = 100_000;
/// Longest way ahead that an expiry may lie; a longer one pins memory for that long.
const MAX_EXPIRY_AHEAD: Duration = Duration::from_mins(1);
/// How long a result waits for an entry that asks on a new connection.
const KEEP_FINISHED: Duration = Duration::from_secs(30);

/// Bounds on a ledger's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LedgerLimits {
    /// Most attempts in memory.
    pub max_entries: usize,
    /// Longest time from now to an accepted expiry.
    pub max_expiry_ahead: Duration,
    /// Shortest time that a finished attempt is kept.
    pub keep_finished: Duration,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            max_entries: MAX_ENTRIES,
            max_expiry_ahead: MAX_EXPIRY_AHEAD,
            keep_finished: KEEP_FINISHED,
        }
    }
}
