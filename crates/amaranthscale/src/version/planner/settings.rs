//! How an entry competes for planning the placement.

use std::time::Duration;

use amaranthscale_core::version::PlanLimits;

/// Time between two looks at the lease row. With N entries and the jitter the table sees at most
/// N / 3 s reads: 1 a second with 3 entries, 127 with 380, of the two thousand that it gives. The
/// holder adds one read of the placement.
const POLL: Duration = Duration::from_secs(4);
/// Silence after which the lease is taken over. It is renewed after a third of it, at the next
/// look, so that two renewals may fail. Shorter, and a slow table moves the planner about; longer,
/// and a dead planner's leaving hosts wait for their replacement.
const LEASE: Duration = Duration::from_secs(20);
/// Longest wait for the table to settle a write; less than a third of the lease, so that a holder
/// has time to renew.
const WRITE_PATIENCE: Duration = Duration::from_secs(4);
/// Time after which a load no longer holds back others. Large models take some minutes; see also
/// how long a sidecar waits for its engine.
const LOAD_PATIENCE: Duration = Duration::from_mins(10);

/// How an entry competes for planning the placement.
#[derive(Debug, Clone, Copy)]
pub struct PlannerSettings {
    /// Time between two looks at the lease row.
    pub poll_interval: Duration,
    /// Silence after which the lease is taken over.
    pub lease_duration: Duration,
    /// Longest wait for the table to settle a write.
    pub write_patience: Duration,
    /// Time after which a load no longer holds back others.
    pub load_patience: Duration,
    /// Bounds on a plan.
    pub limits: PlanLimits,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            poll_interval: POLL,
            lease_duration: LEASE,
            write_patience: WRITE_PATIENCE,
            load_patience: LOAD_PATIENCE,
            limits: PlanLimits::default(),
        }
    }
}
