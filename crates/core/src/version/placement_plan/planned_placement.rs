//! What came of a plan.

use std::collections::BTreeMap;

use super::Shortfall;
use crate::id::HostId;
use crate::version::Assignment;

/// What came of a plan.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlannedPlacement {
    /// Assignment by host; an engine not named keeps what it has.
    pub assignments: BTreeMap<HostId, Assignment>,
    /// Replicas for which there is no engine.
    pub shortfalls: Vec<Shortfall>,
    /// Replicas that wait until earlier loads are done.
    pub waiting_loads: u32,
}
