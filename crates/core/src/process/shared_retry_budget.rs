//! A retry limit that all entries of a deployment keep together.
//!
//! Per window, a service allows a number of retries: a fraction of its requests and a fixed number.
//! Each entry may use the fraction of its own requests and divides the fixed number by the number
//! of entries, so that the sum keeps within the limit without communication. Entries that one
//! cannot reach are counted as well, as they may go on retrying, and so are those that left within
//! the window.
//!
//! An entry that restarts does not know what its earlier process used in the same window. For the
//! length of one window it uses only what every entry leaves of the fraction of its requests, so
//! that the sum holds for any number of restarts.

use std::collections::VecDeque;
use std::time::Duration;

use super::count::as_f64;

/// Parts into which a window is divided; they expire one by one.
const BUCKETS: u32 = 10;
/// Fraction of the allowance that is used: for a while, entries disagree on how many there are.
const USED_FRACTION: f64 = 0.7;
/// Fraction of the requests' part that is used in the first window after a restart.
const RESTARTED_FRACTION: f64 = 1.0 - USED_FRACTION;

/// The limit as set by operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries of all entries together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Whether an earlier process of this entry may have retried within the last window.
    pub is_restart: bool,
}

/// What an entry counted of a service in the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryUse {
    /// Requests.
    pub requests: u32,
    /// Retries.
    pub retries: u32,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// One entry's share of a service's retries; times count from the start of its process.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::{RetryBudgetSettings, SharedRetryBudget};
///
/// let settings = RetryBudgetSettings {
///     ratio: 0.2,
///     slack: 10.0,
///     window: Duration::from_secs(10),
///     is_restart: false,
/// };
/// let mut budget = SharedRetryBudget::new(settings);
/// let now = Duration::from_secs(5);
/// let taken = (0..20).filter(|_| budget.try_retry(2, now)).count();
/// assert_eq!(taken, 3);
/// ```
#[derive(Debug, Clone)]
pub struct SharedRetryBudget {
    settings: RetryBudgetSettings,
    buckets: VecDeque<Bucket>,
}

impl SharedRetryBudget {
    /// A budget without any requests so far.
    #[must_use]
    pub const fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            buckets: VecDeque::new(),
        }
    }

    /// Records a request for the service.
    pub fn record_request(&mut self, now: Duration) {
        self.bucket(now).requests += 1;
    }

    /// Takes one retry, if this entry has one left as one of `entries`.
    pub fn try_retry(&mut self, entries: usize, now: Duration) -> bool {
        self.drop_old(now);
        if self.remaining(entries, now) < 1.0 {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Records a retry that cannot be refused; it counts against those that follow.
    pub fn record_retry(&mut self, now: Duration) {
        self.bucket(now).retries += 1;
    }

    /// Retries left in the window.
    #[must_use]
    pub fn remaining(&self, entries: usize, now: Duration) -> f64 {
        let RetryUse { requests, retries } = self.usage();
        let of_requests = f64::from(requests) * self.settings.ratio;
        let allowed = if self.settings.is_restart && now < self.settings.window {
            of_requests * RESTARTED_FRACTION
        } else {
            (of_requests + self.settings.slack / as_f64(entries.max(1))) * USED_FRACTION
        };
        allowed - f64::from(retries)
    }

    /// What this entry counted in the window.
    #[must_use]
    pub fn usage(&self) -> RetryUse {
        RetryUse {
            requests: self.buckets.iter().map(|bucket| bucket.requests).sum(),
            retries: self.buckets.iter().map(|bucket| bucket.retries).sum(),
        }
    }

    fn bucket(&mut self, now: Duration) -> &mut Bucket {
        self.drop_old(now);
        let number = self.bucket_number(now);
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.number < number)
        {
            self.buckets.push_back(Bucket {
                number,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn drop_old(&mut self, now: Duration) {
        let oldest = self.bucket_number(now).saturating_sub(u64::from(BUCKETS));
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number < oldest)
        {
            self.buckets.pop_front();
        }
    }

    fn bucket_number(&self, now: Duration) -> u64 {
        let bucket_ms = (self.settings.window / BUCKETS).as_millis().max(1);
        u64::try_from(now.as_millis() / bucket_ms).unwrap_or(u64::MAX)
    }
}
