//! A replica that has been loading for too long.

use amaranthscale_core::id::{HostId, ModelId};
use serde::Serialize;

/// A replica that has been loading for too long.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OverdueLoad {
    /// Host of the engine.
    pub host: HostId,
    /// The model.
    pub model: ModelId,
}

impl OverdueLoad {
    pub(super) fn new(host: &HostId, model: &ModelId) -> Self {
        Self {
            host: host.clone(),
            model: model.clone(),
        }
    }
}
