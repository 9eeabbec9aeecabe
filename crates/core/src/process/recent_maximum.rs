//! The largest of the values that were recorded lately.

use std::collections::VecDeque;
use std::time::Duration;

/// The largest of the values that were recorded within a window.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::RecentMaximum;
///
/// let seconds = Duration::from_secs;
/// let mut maximum = RecentMaximum::new(seconds(10));
/// assert_eq!(maximum.record(5, seconds(1)), 5);
/// assert_eq!(maximum.record(2, seconds(8)), 5);
/// assert_eq!(maximum.record(1, seconds(12)), 2);
/// ```
#[derive(Debug, Clone)]
pub struct RecentMaximum {
    window: Duration,
    /// Values that are larger than all later ones, in the order of their times.
    values: VecDeque<(Duration, usize)>,
}

impl RecentMaximum {
    /// Creates a window without any values.
    #[must_use]
    pub const fn new(window: Duration) -> Self {
        Self {
            window,
            values: VecDeque::new(),
        }
    }

    /// Records a value and returns the largest one in the window.
    pub fn record(&mut self, value: usize, now: Duration) -> usize {
        while self.values.back().is_some_and(|(_, last)| *last <= value) {
            self.values.pop_back();
        }
        self.values.push_back((now, value));
        let start = now.saturating_sub(self.window);
        while self.values.front().is_some_and(|(at, _)| *at < start) {
            self.values.pop_front();
        }
        self.values.front().map_or(value, |(_, largest)| *largest)
    }
}
