//! Result of a plan.

use std::collections::BTreeMap;

use super::Shortfall;
use crate::id::HostId;
use crate::version::Assignment;

/// Result of a plan.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlannedPlacement {
    /// Assignment by host; an engine without one is left as it is.
    pub assignments: BTreeMap<HostId, Assignment>,
    /// Replicas for which there is no engine.
    pub shortfalls: Vec<Shortfall>,
    /// Replicas that wait until earlier loads have ended.
    pub waiting_loads: u32,
}
