//! Settings in force for one organisation.

use serde::{Deserialize, Serialize};

use super::Sourced;
use crate::id::PipelineId;
use crate::unit::{Class, RatePerSecond, Weight};

/// Settings in force for one organisation, each with the organisation that sets it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EffectiveSettings {
    /// Whether its work is paid or trial.
    pub class: Sourced<Class>,
    /// Whether the organisation or an ancestor is suspended.
    pub is_suspended: Sourced<bool>,
    /// Limit on requests per second, over all entries.
    pub limit_per_second: Sourced<RatePerSecond>,
    /// Share within its class.
    pub weight: Sourced<Weight>,
    /// Limit on requests in flight, over all entries.
    pub max_in_flight: Sourced<u32>,
    /// Pipelines that it may use.
    pub pipelines: Sourced<Vec<PipelineId>>,
    /// Default deadline of a request.
    pub deadline_ms: Sourced<u64>,
}

impl EffectiveSettings {
    /// Whether the organisation may use a pipeline.
    #[must_use]
    pub fn allows(&self, pipeline: &PipelineId) -> bool {
        self.pipelines.value.contains(pipeline)
    }
}
