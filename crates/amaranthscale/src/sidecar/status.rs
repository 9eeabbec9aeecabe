//! What `/status` shows.

use std::collections::BTreeMap;

use amaranthscale_core::id::{HostId, Incarnation, ServiceId, TreeVersion};
use amaranthscale_core::wire::LoadReport;
use serde::Serialize;

use super::gate::GateFigures;
use super::orders::EngineStatus;

/// What `/status` shows.
#[derive(Debug, Serialize)]
pub(super) struct Status {
    pub(super) host: HostId,
    pub(super) service: ServiceId,
    pub(super) incarnation: Incarnation,
    pub(super) tree_version: TreeVersion,
    pub(super) is_leaving: bool,
    pub(super) clock_ms: u64,
    pub(super) load: LoadReport,
    pub(super) gate: GateFigures,
    /// None if the backend server takes no orders.
    pub(super) engine: Option<EngineStatus>,
    pub(super) unsettled_claims: usize,
    pub(super) counters: BTreeMap<String, u64>,
}
