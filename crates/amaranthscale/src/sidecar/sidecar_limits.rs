//! Limits and timeouts of a sidecar.

use std::time::Duration;

use amaranthscale_core::process::FairQueueLimits;
use amaranthscale_core::request::LedgerLimits;
use amaranthscale_core::unit::ByteSize;

use crate::process::PlatformClientLimits;

/// Attempts that a backend server runs in parallel, unless its operator has set another number.
const SLOTS: u32 = 8;
/// Maximum number of queued attempts; more would wait longer than most deadlines.
const QUEUE_CAPACITY: usize = 256;
/// Slots reserved for paid work.
const PAID_RESERVE_SLOTS: u32 = 2;
/// Maximum size of an input; allows a long case file with its history.
const MAX_INPUT: ByteSize = ByteSize::from_bytes(16 * 1024 * 1024);
/// Maximum size of the result of one attempt. A frame is at most 32 MiB.
const MAX_RESULT: ByteSize = ByteSize::from_bytes(16 * 1024 * 1024);
/// Total size of ended results retained for a fetch; beyond it the oldest are evicted.
const MAX_RETAINED_RESULTS: ByteSize = ByteSize::from_bytes(256 * 1024 * 1024);
/// Maximum number of claimed attempts, from their claim until their outcome is in the table.
const MAX_UNSETTLED_CLAIMS: u32 = 1024;
/// Timeout of a claim, after which the call is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a call that may not be repeated; otherwise an unresponsive backend server would hold
/// its slot forever.
const CALL_TIMEOUT: Duration = Duration::from_mins(10);
/// Time for which queued attempts may start after leaving has begun; the platform allows "a few
/// seconds".
const LEAVE_GRACE: Duration = Duration::from_secs(2);
/// Timeout of a graceful stop.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(2);
/// Time between two writes of costs. 660 sidecars then write 66 times a second.
const COST_WRITE_INTERVAL: Duration = Duration::from_secs(10);

/// Limits and timeouts of a sidecar.
#[derive(Debug, Clone, Copy)]
pub struct SidecarLimits {
    /// Limits of the queue.
    pub queue: FairQueueLimits,
    /// Limits of the attempt ledger.
    pub ledger: LedgerLimits,
    /// Maximum size of an input.
    pub max_input: ByteSize,
    /// Maximum size of the result of one attempt.
    pub max_result: ByteSize,
    /// Maximum total size of ended results in memory.
    pub max_retained_results: ByteSize,
    /// Maximum number of claimed attempts whose rows are not yet settled.
    pub max_unsettled_claims: u32,
    /// Timeout of a claim.
    pub claim_timeout: Duration,
    /// Timeout of a call that may not be repeated.
    pub call_timeout: Duration,
    /// Time for which queued attempts may start after leaving has begun.
    pub leave_grace: Duration,
    /// Timeout of a graceful stop.
    pub drain_timeout: Duration,
    /// Time between two writes of costs.
    pub cost_write_interval: Duration,
    /// Limits of calls to the platform.
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
            max_retained_results: MAX_RETAINED_RESULTS,
            max_unsettled_claims: MAX_UNSETTLED_CLAIMS,
            claim_timeout: CLAIM_TIMEOUT,
            call_timeout: CALL_TIMEOUT,
            leave_grace: LEAVE_GRACE,
            drain_timeout: DRAIN_TIMEOUT,
            cost_write_interval: COST_WRITE_INTERVAL,
            platform: PlatformClientLimits::default(),
        }
    }
}
