//! What a sidecar tells about itself on every answer.

use serde::{Deserialize, Serialize};

use crate::id::{HostId, Incarnation, TreeVersion};
use crate::unit::SidecarClock;

/// Load of one backend server as its sidecar knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Paid attempts in the sidecar's queue.
    pub queued_paid: u32,
    /// Trial attempts in the sidecar's queue.
    pub queued_trial: u32,
    /// Attempts at the backend server.
    pub running: u32,
    /// Attempts that the backend server takes at once.
    pub slots: u32,
    /// Smoothed time that one attempt spends at the backend server.
    pub service_ms: u32,
    /// Smoothed time that a paid attempt spends in the queue.
    pub queue_paid_ms: u32,
    /// Smoothed time that a trial attempt spends in the queue.
    pub queue_trial_ms: u32,
}

/// State of a sidecar, which rides on every answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Host of the sidecar.
    pub host: HostId,
    /// Present life of the sidecar.
    pub incarnation: Incarnation,
    /// Present reading of the sidecar's clock.
    pub clock: SidecarClock,
    /// Version of the settings tree that the sidecar has.
    pub tree_version: TreeVersion,
    /// Whether the backend server is leaving.
    pub is_leaving: bool,
    /// Load of the backend server.
    pub load: LoadReport,
}
