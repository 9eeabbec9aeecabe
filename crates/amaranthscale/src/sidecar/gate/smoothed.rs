//! A smoothed time.

use std::time::Duration;

use amaranthscale_core::unit::SidecarClock;

/// Share of a new sample; about the last ten samples count.
const NEW_SHARE: f64 = 0.1;
/// Time without a sample after which the figure counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// A time smoothed over samples, which fades while there are none.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Smoothed {
    value_ms: f64,
    latest: SidecarClock,
}

impl Smoothed {
    pub(super) fn sample(&mut self, sample: Duration, now: SidecarClock) {
        let sample_ms = sample.as_secs_f64() * 1000.0;
        let is_first = self.latest == SidecarClock::default();
        let share = if is_first { 1.0 } else { NEW_SHARE };
        self.value_ms += (sample_ms - self.value_ms) * share;
        self.latest = now;
    }

    /// The figure as it counts now.
    ///
    /// It fades without samples. Otherwise one slow spell would have every attempt refused as too
    /// late, no attempt would run, and no sample would ever correct the figure.
    pub(super) fn at(&self, now: SidecarClock) -> Duration {
        let idle = self.latest.until(now).as_secs_f64();
        let faded_ms = self.value_ms * (-idle / HALF_LIFE.as_secs_f64()).exp2();
        Duration::from_secs_f64(faded_ms / 1000.0)
    }

    /// The figure as it counts now, in whole milliseconds.
    pub(super) fn faded_ms(&self, now: SidecarClock) -> u32 {
        u32::try_from(self.at(now).as_millis()).unwrap_or(u32::MAX)
    }

    /// The figure at its latest sample, in whole milliseconds.
    pub(super) fn latest_ms(&self) -> u32 {
        let latest = Duration::from_secs_f64(self.value_ms / 1000.0);
        u32::try_from(latest.as_millis()).unwrap_or(u32::MAX)
    }
}
