//! The values that an organisation sets itself.

use serde::{Deserialize, Serialize};

use crate::id::PipelineId;
use crate::unit::{RatePerSecond, Weight};

/// Values that an organisation sets itself; what is absent is inherited.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Overrides {
    /// Requests per second over all entries.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit_per_second: Option<RatePerSecond>,
    /// Share within its class.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<Weight>,
    /// Requests at once over all entries.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_in_flight: Option<u32>,
    /// Pipelines that it may use.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pipelines: Option<Vec<PipelineId>>,
    /// Deadline of a request that names none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// Text for a list without pipelines.
const NO_PIPELINES: &str = "none";

impl Overrides {
    /// Reads a list of pipelines separated by commas; `none` is the empty list.
    pub(super) fn pipelines_from(text: &str) -> Option<Vec<PipelineId>> {
        if text == NO_PIPELINES {
            return Some(Vec::new());
        }
        let names = text.split(',').map(str::trim);
        names.map(|name| name.parse().ok()).collect()
    }
}
