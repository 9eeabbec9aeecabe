//! Replicas for which there is no engine.

use serde::{Deserialize, Serialize};

use crate::id::{ModelId, ServiceId};

/// Replicas for which there is no engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shortfall {
    /// Service that wants the model.
    pub service: ServiceId,
    /// The model.
    pub model: ModelId,
    /// Replicas beyond the service's live engines.
    pub missing_replicas: u32,
}
