//! What one engine is to run.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::id::ModelId;

/// Which phases of generation an engine serves.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompts and generation.
    #[default]
    Mixed,
    /// Prompts alone.
    Prefill,
    /// Generation alone.
    Decode,
}

/// What one engine is to run.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Assignment {
    /// Models, adapters among them, that are to be loaded; all others are to be unloaded.
    pub models: BTreeSet<ModelId>,
    /// Phases that the engine is to serve.
    pub role: EngineRole,
}
