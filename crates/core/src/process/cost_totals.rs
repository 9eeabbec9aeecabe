//! Sums of costs.

use serde::{Deserialize, Serialize};

use crate::wire::StageCost;

/// Cost since the process started, separated into useful and wasted work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CostTotals {
    /// Attempts whose result was used.
    pub useful_attempts: u64,
    /// Attempts whose result was not.
    pub wasted_attempts: u64,
    /// Time spent in queues.
    pub queue_ms: u64,
    /// Time at backend servers for results that were used.
    pub useful_server_ms: u64,
    /// Time at backend servers for results that were not.
    pub wasted_server_ms: u64,
    /// Tokens of results that were used.
    pub useful_tokens: u64,
    /// Tokens of results that were not.
    pub wasted_tokens: u64,
}

impl CostTotals {
    /// Adds one attempt.
    pub const fn add(&mut self, cost: &StageCost, is_useful: bool) {
        self.queue_ms += cost.queue_ms;
        if is_useful {
            self.useful_attempts += 1;
            self.useful_server_ms += cost.server_ms;
            self.useful_tokens += cost.tokens;
        } else {
            self.wasted_attempts += 1;
            self.wasted_server_ms += cost.server_ms;
            self.wasted_tokens += cost.tokens;
        }
    }

    /// Adds the totals of another process.
    pub const fn add_totals(&mut self, other: &Self) {
        self.useful_attempts += other.useful_attempts;
        self.wasted_attempts += other.wasted_attempts;
        self.queue_ms += other.queue_ms;
        self.useful_server_ms += other.useful_server_ms;
        self.wasted_server_ms += other.wasted_server_ms;
        self.useful_tokens += other.useful_tokens;
        self.wasted_tokens += other.wasted_tokens;
    }
}
