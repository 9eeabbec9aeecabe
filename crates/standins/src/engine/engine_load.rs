//! What an engine reports of its load.

use serde::{Deserialize, Serialize};

/// Load as it stood a while ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Sequences that ran.
    pub running: u32,
    /// Calls that waited.
    pub waiting: u32,
    /// How long ago that was, in milliseconds.
    pub age_ms: u64,
}
