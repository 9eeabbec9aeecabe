//! One stage of a pipeline.

use serde::{Deserialize, Serialize};

use crate::id::{ServiceId, StageName};

/// One stage of a pipeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name, unique within the pipeline.
    pub name: StageName,
    /// Service whose backend servers run it.
    pub service: ServiceId,
    /// Path at the backend server, with its leading slash.
    pub path: String,
    /// Whether it may be retried.
    pub is_repeatable: bool,
    /// Whether its result is streamed; only possible for the last stage.
    #[serde(default)]
    pub is_streaming: bool,
}

impl Stage {
    /// Creates a repeatable stage at a path of a service.
    #[must_use]
    pub fn new(name: StageName, service: ServiceId, path: impl Into<String>) -> Self {
        Self {
            name,
            service,
            path: path.into(),
            is_repeatable: true,
            is_streaming: false,
        }
    }

    /// Makes the stage run at most once.
    #[must_use]
    pub fn not_repeatable(mut self) -> Self {
        self.is_repeatable = false;
        self
    }

    /// Makes the stage stream its result.
    #[must_use]
    pub fn streaming(mut self) -> Self {
        self.is_streaming = true;
        self
    }
}
