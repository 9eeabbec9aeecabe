use std::time::Duration;

/// Window over which rates are averaged: long enough for some tens of jobs, short enough to follow
/// a burst. With two seconds, less urgent jobs were refused for as long after a burst, and jobs that
/// were admitted at its begin were displaced.
const WINDOW: Duration = Duration::from_secs(1);

/// Work per second, averaged over the last seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingRate {
    per_s: f64,
    at: Duration,
}

/// Shortest time that counts as observed: a few jobs arrive meanwhile.
const MIN_OBSERVED: Duration = Duration::from_millis(400);

impl DecayingRate {
    /// Factor by which an average is too low some time after the first arrival.
    pub(super) fn start_factor(observed: Duration) -> f64 {
        let observed = observed.max(MIN_OBSERVED).as_secs_f64();
        1.0 / (1.0 - (-observed / WINDOW.as_secs_f64()).exp())
    }

    pub(super) fn add(&mut self, amount: f64, now: Duration) {
        self.per_s = self.per_s(now) + amount / WINDOW.as_secs_f64();
        self.at = now;
    }

    pub(super) fn per_s(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.per_s * (-elapsed / WINDOW.as_secs_f64()).exp()
    }
}
