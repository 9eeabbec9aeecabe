//! Time that the stages of a route take before its engine.

use std::time::Duration;

/// Weight of each new sample.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Usual time from a request's arrival to the results of its stages, with its deviation.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::StageTime;
///
/// let mut time = StageTime::default();
/// assert_eq!(time.upper(), None);
/// time.record(Duration::from_millis(400));
/// assert_eq!(time.upper(), Some(Duration::from_millis(400)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct StageTime {
    mean_s: Option<f64>,
    deviation_s: f64,
}

impl StageTime {
    /// Records the time of a request.
    pub fn record(&mut self, time: Duration) {
        let sample_s = time.as_secs_f64();
        let mean_s = self.mean_s.unwrap_or(sample_s);
        let difference_s = sample_s - mean_s;
        self.mean_s = Some(mean_s + SAMPLE_WEIGHT * difference_s);
        self.deviation_s += SAMPLE_WEIGHT * (difference_s.abs() - self.deviation_s);
    }

    /// The mean plus one mean deviation; none without samples.
    #[must_use]
    pub fn upper(&self) -> Option<Duration> {
        Duration::try_from_secs_f64(self.mean_s? + self.deviation_s).ok()
    }
}
