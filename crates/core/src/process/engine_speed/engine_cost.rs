//! Expected times of an engine, as a choice uses them.

use std::time::Duration;

/// Expected times of an engine under its current load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct EngineCost {
    /// Time to prefill a token.
    pub(crate) prefill_s_per_token: f64,
    /// Time between two events of a stream.
    pub(crate) event_s: Option<f64>,
}

impl EngineCost {
    pub(crate) fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::try_from_secs_f64(self.prefill_s_per_token * tokens).unwrap_or(Duration::MAX)
    }
}
