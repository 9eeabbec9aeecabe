//! Regression of the time of events on the number of running requests.

/// Samples from which a line is used.
const MIN_SAMPLES: f64 = 24.0;
/// Variance of the running requests from which a line is used: below it, noise decides its slope.
const MIN_VARIANCE: f64 = 4.0;

/// Sums of samples at one engine, from which the slope of a least-squares line follows.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecodeLine {
    count: f64,
    running: f64,
    event_us: f64,
    running_squared: f64,
    product: f64,
}

impl DecodeLine {
    pub(super) fn add(&mut self, running: f64, event_us: f64) {
        self.count += 1.0;
        self.running += running;
        self.event_us += event_us;
        self.running_squared += running * running;
        self.product += running * event_us;
    }

    /// Mean number of running requests; none without samples.
    pub(super) fn mean_running(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.running / self.count)
    }

    /// Sums of squared and of mixed differences to the means.
    fn spread(&self) -> (f64, f64) {
        if self.count < 1.0 {
            return (0.0, 0.0);
        }
        let squared = self.running_squared - self.running * self.running / self.count;
        let mixed = self.product - self.running * self.event_us / self.count;
        (squared, mixed)
    }

    /// Additional microseconds for each further running request; none from few or equal samples.
    pub(super) fn slope_us(&self) -> Option<f64> {
        slope_us([self].into_iter())
    }
}

/// The common slope of several engines' samples, whose events differ in their usual time.
pub(super) fn slope_us<'a>(lines: impl Iterator<Item = &'a DecodeLine>) -> Option<f64> {
    let (mut count, mut squared, mut mixed) = (0.0, 0.0, 0.0);
    for line in lines {
        let spread = line.spread();
        count += line.count;
        squared += spread.0;
        mixed += spread.1;
    }
    let is_enough = count >= MIN_SAMPLES && squared >= MIN_VARIANCE * count;
    // More requests never make events faster.
    is_enough.then(|| (mixed / squared).max(0.0))
}
