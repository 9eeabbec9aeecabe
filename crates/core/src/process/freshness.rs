//! Age of this process's knowledge of the store.
//!
//! Every answer of the store carries the store's own clock. The smallest difference between that
//! clock and the local clock at an answer's arrival is the clocks' offset plus the shortest
//! latency, so it dates each later answer, however long its latency. Ages are measured by a clock
//! that keeps running while the host is suspended.

use std::time::Duration;

/// Age of the information from the store.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::Freshness;
///
/// let mut freshness = Freshness::default();
/// assert_eq!(freshness.age(Duration::from_secs(9)), None);
/// freshness.record_answer(Duration::from_secs(100), Duration::from_secs(10));
/// // An answer with a latency of two seconds is two seconds old when it arrives.
/// freshness.record_answer(Duration::from_secs(101), Duration::from_secs(13));
/// assert_eq!(freshness.age(Duration::from_secs(13)), Some(Duration::from_secs(2)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    offset_ms: Option<i128>,
    newest_at: Option<Duration>,
}

impl Freshness {
    /// Records the store's clock from an answer that has just arrived, whatever it was about.
    pub fn record_clock(&mut self, store_clock: Duration, now: Duration) {
        let difference = signed_ms(now) - signed_ms(store_clock);
        let offset_ms = self
            .offset_ms
            .map_or(difference, |offset| offset.min(difference));
        self.offset_ms = Some(offset_ms);
    }

    /// Whether an answer of the store itself has shown its clock. Before that, an answer that
    /// another process passes on would seem younger than it is.
    #[must_use]
    pub const fn is_clock_known(&self) -> bool {
        self.offset_ms.is_some()
    }

    /// Records the store's clock from an answer that has just arrived and dates the information.
    pub fn record_answer(&mut self, store_clock: Duration, now: Duration) {
        self.record_clock(store_clock, now);
        let offset_ms = self.offset_ms.unwrap_or_default();
        let sent_at_ms = u64::try_from(signed_ms(store_clock) + offset_ms).unwrap_or(0);
        let sent_at = Duration::from_millis(sent_at_ms);
        self.newest_at = self.newest_at.max(Some(sent_at));
    }

    /// Time since the store's clock showed the given time; none before the first answer.
    #[must_use]
    pub fn age_of(&self, store_clock: Duration, now: Duration) -> Option<Duration> {
        let age_ms = signed_ms(now) - signed_ms(store_clock) - self.offset_ms?;
        Some(Duration::from_millis(u64::try_from(age_ms).unwrap_or(0)))
    }

    /// The time that the store's clock shows now; none before the first answer.
    #[must_use]
    pub fn store_clock(&self, now: Duration) -> Option<Duration> {
        let clock_ms = signed_ms(now) - self.offset_ms?;
        Some(Duration::from_millis(u64::try_from(clock_ms).unwrap_or(0)))
    }

    /// Time since the newest answer was sent; none before the first answer.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.newest_at
            .map(|newest_at| now.saturating_sub(newest_at))
    }
}

fn signed_ms(time: Duration) -> i128 {
    i128::try_from(time.as_millis()).unwrap_or(i128::MAX)
}
