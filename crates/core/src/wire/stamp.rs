//! Status of a sidecar, sent with every answer.

use serde::{Deserialize, Serialize};

use crate::id::{HostId, Incarnation, TreeVersion};
use crate::unit::SidecarClock;

/// Load of one backend server, as measured by its sidecar.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Paid attempts in the sidecar's queue.
    pub queued_paid: u32,
    /// Trial attempts in the sidecar's queue.
    pub queued_trial: u32,
    /// Attempts at the backend server.
    pub running: u32,
    /// Attempts that the backend server can run concurrently.
    pub slots: u32,
    /// Smoothed time of an attempt at the backend server.
    pub service_ms: u32,
    /// Smoothed time of a paid attempt in the queue.
    pub queue_paid_ms: u32,
    /// Smoothed time of a trial attempt in the queue.
    pub queue_trial_ms: u32,
}

/// Status of a sidecar, sent with every answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Host of the sidecar.
    pub host: HostId,
    /// Current incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Current reading of the sidecar's clock.
    pub clock: SidecarClock,
    /// Version of the sidecar's settings tree.
    pub tree_version: TreeVersion,
    /// Whether the backend server is shutting down.
    pub is_leaving: bool,
    /// Milliseconds for which the backend server wants no calls, as it turned one away; 0 if it
    /// takes them now.
    #[serde(default)]
    pub backoff_ms: u64,
    /// Load of the backend server.
    pub load: LoadReport,
}
