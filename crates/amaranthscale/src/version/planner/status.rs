//! Status of an entry's planner.

use amaranthscale_core::id::{FencingNumber, PlacementVersion};
use amaranthscale_core::version::Shortfall;
use serde::Serialize;

use super::OverdueLoad;

/// Status of an entry's planner; all but empty on entries that do not hold the lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct PlannerStatus {
    /// Fencing number of this entry's lease; none if another entry holds it.
    pub fencing: Option<FencingNumber>,
    /// Placement in force.
    pub placement_version: PlacementVersion,
    /// Replicas that are being loaded.
    pub loads_in_flight: usize,
    /// Replicas that wait until earlier loads are done.
    pub waiting_loads: u32,
    /// Replicas that have been loading for too long.
    pub overdue_loads: Vec<OverdueLoad>,
    /// Replicas for which there is no engine.
    pub shortfalls: Vec<Shortfall>,
}
