//! Load that an engine reports.

use serde::{Deserialize, Serialize};

/// Load of an engine some time ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Running sequences.
    pub running: u32,
    /// Waiting calls.
    pub waiting: u32,
    /// Age of these numbers, in milliseconds.
    pub age_ms: u64,
}
