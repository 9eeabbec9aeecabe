//! Settings of an entry's planner.

use std::time::Duration;

use amaranthscale_core::version::PlanLimits;

/// Time between two polls of the lease row. With N entries and the jitter, the table gets at most
/// N reads in 3 s: 1 a second with 3 entries and 127 with 380, of the two thousand that it allows.
/// The holder adds one read of the placement to each poll.
const POLL: Duration = Duration::from_secs(4);
/// Time without renewal after which the lease expires. It is renewed at the first poll after a
/// third of it, so that two renewals may fail. If it were shorter, a slow table would move the
/// planner between entries; if longer, leaving hosts would wait longer for their replacement when
/// the planner has died.
const LEASE: Duration = Duration::from_secs(20);
/// Longest wait for the table to settle a write; less than a third of the lease, so that a holder
/// has time to renew.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a load no longer delays others. Large models take some minutes; see also the
/// sidecar's timeout for its engine.
const LOAD_TIMEOUT: Duration = Duration::from_mins(10);

/// Settings of an entry's planner.
#[derive(Debug, Clone, Copy)]
pub struct PlannerSettings {
    /// Time between two polls of the lease row.
    pub poll_interval: Duration,
    /// Time without renewal after which the lease expires.
    pub lease_duration: Duration,
    /// Longest wait for the table to settle a write.
    pub write_timeout: Duration,
    /// Time after which a load no longer delays others.
    pub load_timeout: Duration,
    /// Bounds on a plan.
    pub limits: PlanLimits,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            poll_interval: POLL,
            lease_duration: LEASE,
            write_timeout: WRITE_TIMEOUT,
            load_timeout: LOAD_TIMEOUT,
            limits: PlanLimits::default(),
        }
    }
}
