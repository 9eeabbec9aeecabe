//! How the time of an event depends on the number of running requests.

use serde::{Deserialize, Serialize};

/// Largest plausible number of requests that an engine runs at once.
const MAX_RUNNING: u32 = 100_000;
/// Largest plausible additional time of an event for a request.
const MAX_SLOPE_NS: u32 = 1_000_000_000;

/// How the time of an engine's events depends on the number of its running requests: a line through
/// the usual time at the usual number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecodeLoad {
    /// Mean number of running requests for which the usual time of an event holds.
    pub running: u32,
    /// Additional time of an event for each further running request.
    pub slope_ns: u32,
}

impl DecodeLoad {
    pub(super) const fn is_valid(self) -> bool {
        self.running <= MAX_RUNNING && self.slope_ns <= MAX_SLOPE_NS
    }

    /// Whether a gateway may have measured a number of running requests.
    pub(super) const fn is_valid_running(running: u32) -> bool {
        running <= MAX_RUNNING
    }

    /// Difference to the usual time of an event, in seconds, with a number of running requests.
    pub(super) fn difference_s(self, running: f64) -> f64 {
        (running - f64::from(self.running)) * f64::from(self.slope_ns) * 1e-9
    }
}
