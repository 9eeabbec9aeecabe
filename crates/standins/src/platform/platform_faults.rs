//! Faults of the platform, set over HTTP.

use serde::{Deserialize, Serialize};

/// Faults to set; an absent field leaves its fault unchanged.
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
    /// Number of next transactions that take effect, but whose answer is lost.
    pub lose_answers: Option<u32>,
    /// Delay of late effects, in milliseconds.
    pub late_effect_ms: Option<u64>,
    /// Number of next transactions whose answer is lost and which take effect late, with their
    /// checks made at that time.
    pub late_effects: Option<u32>,
    /// Reads per second, above which calls are refused.
    pub reads_per_second: Option<u32>,
    /// Writes per second, above which calls are refused.
    pub writes_per_second: Option<u32>,
    /// Lag of the host list, in milliseconds.
    pub host_list_lag_ms: Option<u64>,
}
