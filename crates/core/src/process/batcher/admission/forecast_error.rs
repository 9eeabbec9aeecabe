//! Corrects the forecast of a service by its errors of the last seconds.

use std::time::Duration;

/// Time constant of the average; a change of the servers shows within two of it.
const WINDOW: Duration = Duration::from_secs(1);
/// Weight of one sample at most: a single delayed call says little.
const MAX_WEIGHT: f64 = 0.1;
/// Time constant with which the ratio returns to 1 without samples.
const DECAY: Duration = Duration::from_secs(2);
/// Bounds of a sample. Below the lower one, a service that was idle for a moment would admit far
/// more than it completes in its next second.
const MIN_RATIO: f64 = 0.5;
const MAX_RATIO: f64 = 4.0;
/// Mean deviations below the mean at which the favourable end of the errors is. With one, jobs of
/// the least urgent rank were still refused that would have been served.
const FAVOURABLE_DEVIATIONS: f64 = 2.0;

/// Ratio of actual to forecast waits.
#[derive(Debug, Clone, Copy)]
pub(super) struct ForecastError {
    ratio: f64,
    /// Mean absolute difference of the samples from the ratio.
    deviation: f64,
    at: Duration,
}

impl Default for ForecastError {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            deviation: 0.0,
            at: Duration::ZERO,
        }
    }
}

impl ForecastError {
    pub(super) fn ratio(&self, now: Duration) -> f64 {
        1.0 + (self.ratio - 1.0) * self.kept(now)
    }

    /// The favourable end of the recent errors: the mean less some mean deviations.
    pub(super) fn favourable_ratio(&self, now: Duration) -> f64 {
        let deviation = self.deviation * self.kept(now);
        (self.ratio(now) - FAVOURABLE_DEVIATIONS * deviation).max(MIN_RATIO)
    }

    /// Fraction of the error that is left since the last sample.
    fn kept(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        // Samples arrive with each call, so only their absence lets the ratio decay.
        let idle = age.saturating_sub(WINDOW).as_secs_f64();
        (-idle / DECAY.as_secs_f64()).exp()
    }

    /// Adds the wait of a stage that started.
    pub(super) fn record(&mut self, actual_s: f64, forecast_s: f64, now: Duration) {
        if forecast_s <= 0.0 || !actual_s.is_finite() {
            return;
        }
        let sample = (actual_s / forecast_s).clamp(MIN_RATIO, MAX_RATIO);
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let weight = 1.0 - (-elapsed / WINDOW.as_secs_f64()).exp();
        // Stages of one call start at the same time: each still counts a little.
        let weight = weight.clamp(0.02, MAX_WEIGHT);
        let ratio = self.ratio(now);
        let deviation = self.deviation * self.kept(now);
        self.deviation = deviation + weight * ((sample - ratio).abs() - deviation);
        self.ratio = ratio + weight * (sample - ratio);
        self.at = now;
    }

    /// Adds a wait that lasts longer than some time: it counts only if the mean is below it.
    pub(super) fn record_at_least(&mut self, actual_s: f64, forecast_s: f64, now: Duration) {
        if actual_s > forecast_s * self.ratio(now) {
            self.record(actual_s, forecast_s, now);
        }
    }
}
