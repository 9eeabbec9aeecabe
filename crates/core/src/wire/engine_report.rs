//! A sidecar's report on its engine to the planner.

use serde::{Deserialize, Serialize};

use crate::id::PlacementVersion;
use crate::version::Assignment;

/// A sidecar's report on its engine to the planner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Version of the placement that the sidecar uses; 0 before one was read.
    pub placement_version: PlacementVersion,
    /// What the engine last reported as running; `None` before its first report.
    pub running: Option<Assignment>,
}
