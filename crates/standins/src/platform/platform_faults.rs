//! Faults of the platform, as switched over HTTP.

use serde::{Deserialize, Serialize};

/// Faults to switch; what is absent stays as it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// All calls are answered 503.
    pub outage: Option<bool>,
    /// Calls to table and objects are answered 503, while the host list is served.
    pub table_outage: Option<bool>,
    /// Calls are accepted, have no effect, and are never answered.
    pub silent: Option<bool>,
    /// Time that each call takes, in milliseconds.
    pub latency_ms: Option<u64>,
    /// So many next transactions take effect, but lose their answer.
    pub lose_answers: Option<u32>,
    /// Delay of late effects, in milliseconds.
    pub late_effect_ms: Option<u64>,
    /// So many next transactions lose their answer and take effect late, checked at that time.
    pub late_effects: Option<u32>,
    /// Reads a second, above which calls are refused.
    pub reads_per_second: Option<u32>,
    /// Writes a second, above which calls are refused.
    pub writes_per_second: Option<u32>,
    /// Time by which the host list lags, in milliseconds.
    pub host_list_lag_ms: Option<u64>,
}
