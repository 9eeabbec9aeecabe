//! Settings that an organisation sets itself.

use serde::{Deserialize, Serialize};

use crate::id::PipelineId;
use crate::unit::{RatePerSecond, Weight};

/// Settings that an organisation sets itself; absent ones are inherited.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Overrides {
    /// Limit on requests per second, over all entries.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit_per_second: Option<RatePerSecond>,
    /// Share within its class.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<Weight>,
    /// Limit on requests in flight, over all entries.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_in_flight: Option<u32>,
    /// Pipelines that it may use.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pipelines: Option<Vec<PipelineId>>,
    /// Default deadline of a request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// Text for an empty list of pipelines.
const NO_PIPELINES: &str = "none";

impl Overrides {
    /// Parses a list of pipelines separated by commas; `none` is the empty list.
    pub(super) fn pipelines_from(text: &str) -> Option<Vec<PipelineId>> {
        if text == NO_PIPELINES {
            return Some(Vec::new());
        }
        let names = text.split(',').map(str::trim);
        names.map(|name| name.parse().ok()).collect()
    }
}
