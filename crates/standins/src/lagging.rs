//! A value that its readers see late.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// A value with as much of its history as late readers need.
#[derive(Debug)]
pub(crate) struct Lagging<T> {
    history: VecDeque<(Instant, T)>,
}

impl<T: Clone> Lagging<T> {
    /// A value that stands from now on.
    pub(crate) fn new(now: Instant, value: T) -> Self {
        Self {
            history: VecDeque::from([(now, value)]),
        }
    }

    /// Replaces the value.
    pub(crate) fn set(&mut self, now: Instant, lag: Duration, value: T) {
        self.history.push_back((now, value));
        self.forget(now, lag);
    }

    /// The value as it stood `lag` ago, or the oldest kept, and how long ago that was.
    pub(crate) fn get(&mut self, now: Instant, lag: Duration) -> Option<(T, Duration)> {
        self.forget(now, lag);
        let (since, value) = self.history.front()?;
        let age = now.saturating_duration_since(*since).min(lag);
        Some((value.clone(), age))
    }

    /// Drops values that were replaced more than `lag` ago.
    fn forget(&mut self, now: Instant, lag: Duration) {
        while let Some((replaced, _)) = self.history.get(1)
            && now.saturating_duration_since(*replaced) >= lag
        {
            self.history.pop_front();
        }
    }
}
