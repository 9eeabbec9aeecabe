//! Limits on a ledger's memory.

use std::time::Duration;

/// Maximum attempts in a ledger. At a few hundred bytes each this is some tens of megabytes; a
/// lower limit makes a busy sidecar refuse work with [`crate::ResultCode::LedgerFull`].
const MAX_ENTRIES: usize = 100_000;
/// Longest accepted time until an expiry; a record occupies memory at least until its expiry.
const MAX_EXPIRY_AHEAD: Duration = Duration::from_mins(1);
/// How long an entry that lost its connection can fetch the outcome on a new one.
const KEEP_FINISHED: Duration = Duration::from_secs(30);

/// Limits on a ledger's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LedgerLimits {
    /// Maximum number of attempts in memory.
    pub max_entries: usize,
    /// Longest time from now to an accepted expiry.
    pub max_expiry_ahead: Duration,
    /// Minimum time for which a finished attempt is retained.
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
