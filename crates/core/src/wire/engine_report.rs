//! What a sidecar tells the planner of its engine.

use serde::{Deserialize, Serialize};

use crate::id::PlacementVersion;
use crate::version::Assignment;

/// What a sidecar tells the planner of its engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Placement that the sidecar goes by; 0 while none was read.
    pub placement_version: PlacementVersion,
    /// What the engine was last heard to run; none before it has answered.
    pub running: Option<Assignment>,
}
