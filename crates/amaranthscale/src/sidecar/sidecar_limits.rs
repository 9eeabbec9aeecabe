//! Bounds that a sidecar keeps.

use std::time::Duration;

use amaranthscale_core::process::FairQueueLimits;
use amaranthscale_core::request::LedgerLimits;
use amaranthscale_core::unit::ByteSize;

use crate::process::PlatformClientLimits;

/// Attempts that a backend server takes at once, if its operator has not measured it.
const SLOTS: u32 = 8;
/// Attempts that may wait; more would wait longer than most deadlines.
const QUEUE_CAPACITY: usize = 256;
/// Slots out of reach for trials.
const PAID_RESERVE_SLOTS: u32 = 2;
/// Largest accepted input: a long case file with its history.
const MAX_INPUT: ByteSize = ByteSize::from_bytes(16 * 1024 * 1024);
/// Largest result of one attempt. A frame holds at most 32 MiB.
const MAX_RESULT: ByteSize = ByteSize::from_bytes(16 * 1024 * 1024);
/// Ended results kept for a fetch; beyond it the oldest go.
const MAX_KEPT_RESULTS: ByteSize = ByteSize::from_bytes(256 * 1024 * 1024);
/// Claimed attempts at once, from their claim until their outcome is in the table.
const MAX_TABLE_JOBS: u32 = 1024;
/// Longest wait for a claim before the call is refused.
const CLAIM_PATIENCE: Duration = Duration::from_millis(1500);
/// Longest call that may not be repeated; a silent backend server would hold its slot for good.
const MAX_CALL: Duration = Duration::from_mins(10);
/// How long attempts still start after leaving has begun; the platform wants "a few seconds".
const LEAVE_GRACE: Duration = Duration::from_secs(2);
/// Longest graceful stop.
const DRAIN_BOUND: Duration = Duration::from_mins(2);
/// Time between two writes of costs. A fleet of 660 sidecars then writes 66 times a second.
const COST_INTERVAL: Duration = Duration::from_secs(10);

/// Bounds that a sidecar keeps.
#[derive(Debug, Clone, Copy)]
pub struct SidecarLimits {
    /// Sizes of the queue.
    pub queue: FairQueueLimits,
    /// Bounds on the attempt ledger.
    pub ledger: LedgerLimits,
    /// Largest accepted input.
    pub max_input: ByteSize,
    /// Largest result of one attempt.
    pub max_result: ByteSize,
    /// Most bytes of ended results in memory.
    pub max_kept_results: ByteSize,
    /// Most claimed attempts whose rows are not yet settled.
    pub max_table_jobs: u32,
    /// Longest wait for a claim.
    pub claim_patience: Duration,
    /// Longest call that may not be repeated.
    pub max_call: Duration,
    /// How long queued attempts still start after leaving has begun.
    pub leave_grace: Duration,
    /// Longest graceful stop.
    pub drain_bound: Duration,
    /// Time between two writes of costs.
    pub cost_interval: Duration,
    /// Bounds of calls to the platform.
    pub platform: PlatformClientLimits,
}

impl Default for SidecarLimits {
    fn default() -> Self {
        Self {
            queue: FairQueueLimits {
                slots: SLOTS,
                capacity: QUEUE_CAPACITY,
                paid_reserve_slots: PAID_RESERVE_SLOTS,
            },
            ledger: LedgerLimits::default(),
            max_input: MAX_INPUT,
            max_result: MAX_RESULT,
            max_kept_results: MAX_KEPT_RESULTS,
            max_table_jobs: MAX_TABLE_JOBS,
            claim_patience: CLAIM_PATIENCE,
            max_call: MAX_CALL,
            leave_grace: LEAVE_GRACE,
            drain_bound: DRAIN_BOUND,
            cost_interval: COST_INTERVAL,
            platform: PlatformClientLimits::default(),
        }
    }
}
