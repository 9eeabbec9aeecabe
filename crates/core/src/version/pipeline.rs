//! One pipeline of the settings tree.

use serde::{Deserialize, Serialize};

use super::Stage;

/// Maximum stages of a pipeline: with more, the shared deadline leaves too little time for each.
pub const MAX_STAGES: usize = 8;

/// Stages that a request passes through in order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Stages in order, at least one.
    pub stages: Vec<Stage>,
}

impl Pipeline {
    /// Creates a pipeline without stages.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a stage at the end.
    #[must_use]
    pub fn then(mut self, stage: Stage) -> Self {
        self.stages.push(stage);
        self
    }

    /// Whether a whole request may be retried.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.stages.iter().all(|stage| stage.is_repeatable)
    }
}
