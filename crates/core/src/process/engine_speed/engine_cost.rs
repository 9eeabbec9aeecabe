//! Expected times of an engine, as a choice uses them.

use std::time::Duration;

use super::DecodeLoad;

/// Expected times of an engine under its current load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct EngineCost {
    /// Time to prefill a token.
    pub(crate) prefill_s_per_token: f64,
    /// Time between two events of a stream.
    pub(crate) event_s: Option<f64>,
    /// How that depends on the number of running requests.
    pub(crate) decode: Option<DecodeLoad>,
}

/// Largest ratio of an event's time at some load to the usual one: a line through samples of a
/// narrow range says little far from it.
const MAX_LOAD_FACTOR: f64 = 2.0;

impl EngineCost {
    /// Time between two events of a stream with a number of running requests.
    pub(crate) fn event_s_at(&self, running: f64) -> Option<f64> {
        let event_s = self.event_s?;
        let difference_s = self
            .decode
            .map_or(0.0, |decode| decode.difference_s(running));
        let range = event_s / MAX_LOAD_FACTOR..=event_s * MAX_LOAD_FACTOR;
        Some((event_s + difference_s).clamp(*range.start(), *range.end()))
    }

    pub(crate) fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::try_from_secs_f64(self.prefill_s_per_token * tokens).unwrap_or(Duration::MAX)
    }
}
