//! Faults of a backend server, set over HTTP.

use serde::{Deserialize, Serialize};

/// Faults to set; an absent field leaves its fault unchanged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Factor by which all work takes longer.
    pub slow_factor: Option<f64>,
    /// No work progresses and no call is answered, until this is switched off.
    pub frozen: Option<bool>,
    /// Number of next calls that start and are then answered 500.
    pub fail_next: Option<u32>,
    /// Number of next orders that are answered 500 and have no effect; engines only.
    pub fail_orders: Option<u32>,
    /// Number of next answers that are cut off half-way.
    pub break_mid_stream: Option<u32>,
    /// Calls start, but are answered only when this is switched off; plain services only.
    pub hold: Option<bool>,
    /// Seconds for which all calls are turned away as not run and told to come back after the rest of
    /// them; 0 ends it. Plain services only.
    pub turn_away_s: Option<f64>,
    /// Crashes at once.
    pub die: Option<bool>,
}
