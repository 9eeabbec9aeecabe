//! Estimated speed of an engine, as the collector publishes it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::engine_cost::EngineCost;
use super::{DecodeLoad, SpeedClass};

/// Change from which an estimate is published again, in percent.
const MIN_CHANGE_PERCENT: u64 = 10;
/// Running requests beyond the usual number for which two estimates are compared.
const COMPARED_LOAD: f64 = 10.0;
/// Slowest plausible prefill, 10 ms a token, and the fastest, 10⁷ tokens a second.
const PREFILL_NS_RANGE: std::ops::RangeInclusive<u32> = 100..=10_000_000;
/// Longest plausible time of an event.
const MAX_EVENT_US: u32 = 60_000_000;
/// Range of the ratio of the last second's time to the usual one.
const RECENT_PERCENT_RANGE: std::ops::RangeInclusive<u32> = 5..=2_000;

/// Estimated speed of an engine from the samples of all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEstimate {
    /// Usual time to prefill a token.
    pub prefill_ns: u32,
    /// Usual time of an event that no prefill delays; none without samples.
    pub event_us: Option<u32>,
    /// How that time depends on the number of running requests; none without enough samples.
    pub decode: Option<DecodeLoad>,
    /// Time of the last events in percent of the usual one; 100 if it differs little.
    pub recent_percent: u32,
    /// Class by which prefixes are distributed.
    pub class: SpeedClass,
}

impl EngineEstimate {
    /// Whether the numbers are plausible, as a peer may send anything.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let has_valid_prefill = PREFILL_NS_RANGE.contains(&self.prefill_ns);
        let has_valid_event = self
            .event_us
            .is_none_or(|us| (1..=MAX_EVENT_US).contains(&us));
        has_valid_prefill
            && self.decode.is_none_or(DecodeLoad::is_valid)
            && has_valid_event
            && RECENT_PERCENT_RANGE.contains(&self.recent_percent)
            && self.class.is_valid()
    }

    /// Whether the estimate differs enough from a published one to be published as well.
    #[must_use]
    pub fn differs(&self, published: &Self) -> bool {
        let differs = |new: Option<u32>, old: Option<u32>| match (new, old) {
            (Some(new), Some(old)) => {
                u64::from(new.abs_diff(old)) * 100 >= u64::from(old) * MIN_CHANGE_PERCENT
            }
            (new, old) => new != old,
        };
        self.class != published.class
            || differs(Some(self.prefill_ns), Some(published.prefill_ns))
            || differs(self.event_us, published.event_us)
            || differs(
                self.loaded_event_us(published),
                published.loaded_event_us(published),
            )
            || differs(Some(self.recent_percent), Some(published.recent_percent))
    }

    /// Time of an event with some more running requests than usual at another estimate.
    ///
    /// Compared in place of the two figures of the line, which vary more than what they predict.
    fn loaded_event_us(&self, other: &Self) -> Option<u32> {
        let usual = other.decode.or(self.decode)?.running;
        let running = f64::from(usual) + COMPARED_LOAD;
        let usual_s = f64::from(self.event_us?) * 1e-6;
        let difference_s = self
            .decode
            .map_or(0.0, |decode| decode.difference_s(running));
        Some(rounded((usual_s + difference_s) * 1e6))
    }

    /// Current cost.
    pub(super) fn cost(&self) -> EngineCost {
        // Decoding and prefill share the engine, so what slows one slows the other.
        let recent = f64::from(self.recent_percent) / 100.0;
        EngineCost {
            prefill_s_per_token: f64::from(self.prefill_ns) * 1e-9 * recent,
            event_s: self.event_us.map(|us| f64::from(us) * 1e-6 * recent),
            decode: self.decode,
        }
    }
}

/// The nearest integer, at least 1. Numbers out of range become 0, which no estimate may have.
pub(super) fn rounded(number: f64) -> u32 {
    // `Duration` converts floating-point numbers with a check of their range.
    let nearest = Duration::try_from_secs_f64((number.max(1.0) + 0.5).floor());
    nearest.map_or(0, |nearest| u32::try_from(nearest.as_secs()).unwrap_or(0))
}
