//! Counts of the platform's calls.

use serde::{Deserialize, Serialize};

/// Calls counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads of rows and objects that the rate limit admitted.
    pub reads: u64,
    /// Transactions and object writes that the rate limit admitted.
    pub writes: u64,
    /// Transactions that took effect.
    pub transactions_committed: u64,
    /// Transactions whose checks failed.
    pub conflicts: u64,
    /// Calls refused by a rate limit.
    pub refused_rate: u64,
    /// Transactions whose answer was withheld by a fault.
    pub lost: u64,
}
