//! How old this process's knowledge of the store is.
//!
//! Every answer of the store carries the store's own clock. The smallest difference between that
//! clock and ours at an answer's arrival is the store's clock plus the shortest way, so each later
//! answer tells when the store gave it, however long it was on the way. Ages are taken from a
//! clock that goes on while the machine is suspended.

use std::time::Duration;

/// Age of what is known from the store.
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
/// // An answer that was two seconds on its way is two seconds old when it comes.
/// freshness.record_answer(Duration::from_secs(101), Duration::from_secs(13));
/// assert_eq!(freshness.age(Duration::from_secs(13)), Some(Duration::from_secs(2)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    ahead_ms: Option<i128>,
    known_at: Option<Duration>,
}

impl Freshness {
    /// Takes the store's clock from an answer that has just arrived.
    pub fn record_answer(&mut self, store_clock: Duration, now: Duration) {
        let difference = signed_ms(now) - signed_ms(store_clock);
        let ahead_ms = self
            .ahead_ms
            .map_or(difference, |ahead| ahead.min(difference));
        self.ahead_ms = Some(ahead_ms);
        let given_at_ms = u64::try_from(signed_ms(store_clock) + ahead_ms).unwrap_or(0);
        let given_at = Duration::from_millis(given_at_ms);
        self.known_at = self.known_at.max(Some(given_at));
    }

    /// Time since the store's clock showed a time; none without an answer.
    #[must_use]
    pub fn age_of(&self, store_clock: Duration, now: Duration) -> Option<Duration> {
        let age_ms = signed_ms(now) - signed_ms(store_clock) - self.ahead_ms?;
        Some(Duration::from_millis(u64::try_from(age_ms).unwrap_or(0)))
    }

    /// Time since the newest answer was given; none without an answer.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.known_at.map(|known_at| now.saturating_sub(known_at))
    }
}

fn signed_ms(time: Duration) -> i128 {
    i128::try_from(time.as_millis()).unwrap_or(i128::MAX)
}
