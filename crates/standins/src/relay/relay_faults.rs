//! Faults of a relay, as switched over HTTP.

use serde::{Deserialize, Serialize};

/// Faults to switch; what is absent stays as it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFaults {
    /// Connections open now go silent for good; new ones work.
    pub silence_open: Option<bool>,
    /// Connections open now, also silent ones, are closed at both ends; new ones work.
    pub cut_open: Option<bool>,
    /// One-way delay of all that passes, in milliseconds.
    pub delay_ms: Option<u64>,
    /// New connections are closed at once.
    pub refuse_new: Option<bool>,
}
