//! Decides when to send a second attempt in parallel to a slow first one.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of samples; at a few requests a second they span about a minute.
const WINDOW: usize = 256;
/// Number of samples below which a high percentile is meaningless.
const MIN_SAMPLES: usize = 20;
/// One hundred percent.
const PERCENT: usize = 100;

/// Hedge delay, from the measured times of one service.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use amaranthscale_core::process::HedgePolicy;
///
/// let mut policy = HedgePolicy::new(95);
/// assert_eq!(policy.delay(), None);
/// for elapsed_ms in 1..=100 {
///     policy.record(Duration::from_millis(elapsed_ms));
/// }
/// assert_eq!(policy.delay(), Some(Duration::from_millis(96)));
/// ```
#[derive(Debug, Clone)]
pub struct HedgePolicy {
    percentile: usize,
    samples: VecDeque<Duration>,
}

impl HedgePolicy {
    /// Hedges attempts that take longer than this percentile.
    #[must_use]
    pub fn new(percentile: u8) -> Self {
        Self {
            percentile: usize::from(percentile).min(PERCENT - 1),
            samples: VecDeque::with_capacity(WINDOW),
        }
    }

    /// Records how long an attempt took.
    pub fn record(&mut self, elapsed: Duration) {
        if self.samples.len() == WINDOW {
            self.samples.pop_front();
        }
        self.samples.push_back(elapsed);
    }

    /// Time to wait before a hedge; none until there are enough samples.
    #[must_use]
    pub fn delay(&self) -> Option<Duration> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<_> = self.samples.iter().copied().collect();
        let index = sorted.len() * self.percentile / PERCENT;
        let (_, delay, _) = sorted.select_nth_unstable(index);
        Some(*delay)
    }
}
