//! Content of `/status`.

use std::collections::BTreeMap;

use amaranthscale_core::id::{HostId, Incarnation, ServiceId, TreeVersion};
use amaranthscale_core::wire::LoadReport;
use serde::Serialize;

use super::orders::EngineStatus;
use super::scheduler::SchedulerStatus;

/// Content of `/status`.
#[derive(Debug, Serialize)]
pub(super) struct Status {
    pub(super) host: HostId,
    pub(super) service: ServiceId,
    pub(super) incarnation: Incarnation,
    pub(super) tree_version: TreeVersion,
    pub(super) is_leaving: bool,
    pub(super) clock_ms: u64,
    pub(super) load: LoadReport,
    #[serde(rename = "gate")]
    pub(super) scheduler: SchedulerStatus,
    /// None if the backend server accepts no orders.
    pub(super) engine: Option<EngineStatus>,
    pub(super) unsettled_claims: usize,
    pub(super) counters: BTreeMap<String, u64>,
}
