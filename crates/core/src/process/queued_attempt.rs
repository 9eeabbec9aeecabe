//! An attempt in a sidecar's queue.

use crate::id::{AttemptId, OrganisationId};
use crate::unit::{Class, SidecarClock, Weight};

/// Data of an attempt that the queue needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedAttempt {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Organisation for which it runs.
    pub organisation: OrganisationId,
    /// Class of that organisation.
    pub class: Class,
    /// Weight of that organisation within its class.
    pub weight: Weight,
    /// Time on the sidecar's clock after which its answer is useless.
    pub expiry: SidecarClock,
    /// Expected time at the backend server.
    pub expected_ms: u64,
}

impl QueuedAttempt {
    /// Latest time at which it can start and still end before its expiry.
    #[must_use]
    pub const fn latest_start(&self) -> SidecarClock {
        SidecarClock::from_millis(self.expiry.as_millis().saturating_sub(self.expected_ms))
    }

    /// Whether it would still end before its expiry if it started now.
    #[must_use]
    pub const fn can_meet_expiry(&self, now: SidecarClock) -> bool {
        let end_ms = now.as_millis().saturating_add(self.expected_ms);
        end_ms <= self.expiry.as_millis()
    }
}
