//! The models and phases assigned to one engine.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::id::ModelId;

/// Phases of generation that an engine serves.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompt processing and generation.
    #[default]
    Mixed,
    /// Prompt processing only.
    Prefill,
    /// Generation only.
    Decode,
}

/// The models and phases assigned to one engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Assignment {
    /// Models to load, adapters included; the engine unloads all others.
    pub models: BTreeSet<ModelId>,
    /// Phases that the engine serves.
    pub role: EngineRole,
}
