//! Faults of a backend server, as switched over HTTP.

use serde::{Deserialize, Serialize};

/// Faults to switch; what is absent stays as it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// All work takes so many times as long.
    pub slow_factor: Option<f64>,
    /// Nothing progresses and no call is answered, until this is switched off.
    pub frozen: Option<bool>,
    /// So many next calls start and are then answered 500.
    pub fail_next: Option<u32>,
    /// So many next orders are answered 500 and have no effect; engines only.
    pub fail_orders: Option<u32>,
    /// So many next answers break off half-way.
    pub break_mid_stream: Option<u32>,
    /// Calls start, but are answered only when this is switched off; plain services only.
    pub hold: Option<bool>,
    /// Dies at once.
    pub die: Option<bool>,
}
