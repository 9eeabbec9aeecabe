//! A value that readers see with a delay.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// A value that readers see with a delay, and the history that this needs.
#[derive(Debug)]
pub(crate) struct LaggingValue<T> {
    history: VecDeque<(Instant, T)>,
}

impl<T: Clone> LaggingValue<T> {
    /// A value that is valid from now on.
    pub(crate) fn new(now: Instant, value: T) -> Self {
        Self {
            history: VecDeque::from([(now, value)]),
        }
    }

    /// Replaces the value.
    pub(crate) fn set(&mut self, now: Instant, lag: Duration, value: T) {
        self.history.push_back((now, value));
        self.drop_replaced(now, lag);
    }

    /// The value as it was `lag` ago, or the oldest one known, and its age.
    pub(crate) fn get(&mut self, now: Instant, lag: Duration) -> Option<(T, Duration)> {
        self.drop_replaced(now, lag);
        let (since, value) = self.history.front()?;
        let age = now.saturating_duration_since(*since).min(lag);
        Some((value.clone(), age))
    }

    /// Drops values that were replaced more than `lag` ago.
    fn drop_replaced(&mut self, now: Instant, lag: Duration) {
        while let Some((replaced, _)) = self.history.get(1)
            && now.saturating_duration_since(*replaced) >= lag
        {
            self.history.pop_front();
        }
    }
}
