//! A bound on repeats that all entries of a deployment keep together.
//!
//! A service allows so many repeats a window: a share of its requests and a fixed number more.
//! Each entry earns its own requests' share and takes its part of the fixed number by the count of
//! live entries, so that the sum stays within the bound without a word between them.

use std::collections::VecDeque;
use std::time::Duration;

use super::count::as_f64;

/// Parts of a window that are forgotten one by one.
const BUCKETS: u32 = 10;
/// Part of the allowance that is used: entries disagree for a while on how many there are.
const USED_PART: f64 = 0.7;

/// The bound as the operators set it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats beyond them, over all entries.
    pub slack: f64,
    /// Span that is counted.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// One entry's part of a service's repeats.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::{RetryBudgetSettings, SharedRetryBudget};
///
/// let terms = RetryBudgetSettings { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
/// let mut budget = SharedRetryBudget::new(terms);
/// let now = Duration::from_secs(5);
/// let taken = (0..20).filter(|_| budget.try_retry(2, now)).count();
/// assert_eq!(taken, 3);
/// ```
#[derive(Debug, Clone)]
pub struct SharedRetryBudget {
    terms: RetryBudgetSettings,
    buckets: VecDeque<Bucket>,
}

impl SharedRetryBudget {
    /// A budget without a past.
    #[must_use]
    pub const fn new(terms: RetryBudgetSettings) -> Self {
        Self {
            terms,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request for the service.
    pub fn record_request(&mut self, now: Duration) {
        self.bucket(now).requests += 1;
    }

    /// Takes so many repeats if they are left to one of `live` entries.
    pub fn try_retry(&mut self, live: usize, now: Duration) -> bool {
        self.forget(now);
        if self.remaining(live) < 1.0 {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }

    /// Repeats left in the window.
    #[must_use]
    pub fn remaining(&self, live: usize) -> f64 {
        let live = as_f64(live.max(1));
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let allowed = f64::from(requests) * self.terms.ratio + self.terms.slack / live;
        allowed * USED_PART - f64::from(repeats)
    }

    fn bucket(&mut self, now: Duration) -> &mut Bucket {
        self.forget(now);
        let number = self.number(now);
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.number < number)
        {
            self.buckets.push_back(Bucket {
                number,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn forget(&mut self, now: Duration) {
        let oldest = self.number(now).saturating_sub(u64::from(BUCKETS));
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number < oldest)
        {
            self.buckets.pop_front();
        }
    }

    fn number(&self, now: Duration) -> u64 {
        let bucket_ms = (self.terms.window / BUCKETS).as_millis().max(1);
        u64::try_from(now.as_millis() / bucket_ms).unwrap_or(u64::MAX)
    }
}
