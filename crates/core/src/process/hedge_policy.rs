//! When to send a second attempt beside a slow first one.

use std::collections::VecDeque;
use std::time::Duration;

/// Samples kept; at a few requests a second this spans about a minute.
const WINDOW: usize = 256;
/// Samples below which a high percentile says nothing.
const MIN_SAMPLES: usize = 20;
/// The whole, in percent.
const PERCENT: usize = 100;

/// Delay of a hedge, from the measured times of one service.
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
    /// Hedges what takes longer than this percentile.
    #[must_use]
    pub fn new(percentile: u8) -> Self {
        Self {
            percentile: usize::from(percentile).min(PERCENT - 1),
            samples: VecDeque::with_capacity(WINDOW),
        }
    }

    /// Takes in how long an attempt took.
    pub fn record(&mut self, elapsed: Duration) {
        if self.samples.len() == WINDOW {
            self.samples.pop_front();
        }
        self.samples.push_back(elapsed);
    }

    /// Time to wait before a hedge; none while too little was measured.
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
