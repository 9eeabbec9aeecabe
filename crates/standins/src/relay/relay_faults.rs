//! Faults of a relay, set over HTTP.

use serde::{Deserialize, Serialize};

/// Faults to set; an absent field leaves its fault unchanged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFaults {
    /// Connections open now are silenced permanently; new ones work.
    pub silence_open: Option<bool>,
    /// Connections open now, silenced ones included, are closed at both ends; new ones work.
    pub cut_open: Option<bool>,
    /// One-way delay of relayed bytes, in milliseconds.
    pub delay_ms: Option<u64>,
    /// New connections are closed at once.
    pub refuse_new: Option<bool>,
}
