//! A pipeline of a deployment.

use std::time::Duration;

/// Stages that share one deadline.
#[derive(Debug, Clone)]
pub struct PipelineSpec {
    /// Services of its stages, by index in the deployment.
    pub stages: Vec<usize>,
    /// Time for the whole answer.
    pub deadline: Duration,
    /// Whether its calls may be repeated.
    pub is_repeatable: bool,
}
