//! The values in force for one organisation.

use serde::{Deserialize, Serialize};

use super::Sourced;
use crate::id::PipelineId;
use crate::unit::{Class, RatePerSecond, Weight};

/// Values in force for one organisation, each with its source.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EffectiveSettings {
    /// Whether the organisation pays.
    pub class: Sourced<Class>,
    /// Whether the organisation or an ancestor is suspended.
    pub is_suspended: Sourced<bool>,
    /// Requests per second over all entries.
    pub limit_per_second: Sourced<RatePerSecond>,
    /// Share within its class.
    pub weight: Sourced<Weight>,
    /// Requests at once over all entries.
    pub max_in_flight: Sourced<u32>,
    /// Pipelines that it may use.
    pub pipelines: Sourced<Vec<PipelineId>>,
    /// Deadline of a request that names none.
    pub deadline_ms: Sourced<u64>,
}

impl EffectiveSettings {
    /// Whether the organisation may use a pipeline.
    #[must_use]
    pub fn allows(&self, pipeline: &PipelineId) -> bool {
        self.pipelines.value.contains(pipeline)
    }
}
