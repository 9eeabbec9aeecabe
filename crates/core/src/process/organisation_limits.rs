//! Rate and concurrency limits of organisations at one entry.
//!
//! The configured limit applies to all entries together, so each entry grants its share. A share
//! may be below one request per second; the bucket still holds one whole token then, so that the
//! share is met over time. The limits are soft: the sidecars' queues are what protects paid work.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Refusal;
use crate::ResultCode;
use crate::id::OrganisationId;
use crate::unit::RatePerSecond;

/// Time in which a request in flight is likely to end.
const IN_FLIGHT_RETRY_AFTER_MS: u64 = 500;
/// Retry delay for an organisation whose limit is zero.
const NO_SHARE_RETRY_AFTER_MS: u64 = 60_000;
/// Seconds of its share that an organisation can accumulate; with one, callers that retry after a
/// failure are refused although there is capacity, and with ten a flood costs trials three points.
const BURST_S: f64 = 5.0;
/// Tokens that every bucket can accumulate, however small its share. A load balancer spreads
/// requests at random, so a small share gets two requests at once as often as none; with one token
/// most of them would be refused although the organisation is within its limit. It does not raise
/// the average rate.
const MIN_BURST: f64 = 8.0;
/// Seconds of its share in a new bucket, so that starting entries grant no burst.
const INITIAL_S: f64 = 1.0;
/// Longest retry delay; a later time would outlive most callers.
const MAX_WAIT_S: f64 = 10.0;

/// Token bucket of one organisation.
#[derive(Debug, Default)]
struct Bucket {
    tokens: f64,
    filled_at: Option<Duration>,
    last_retry_at: Duration,
    in_flight: u32,
}

/// Token buckets and numbers of requests in flight, by organisation.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use amaranthscale_core::ResultCode;
/// use amaranthscale_core::process::OrganisationLimits;
/// use amaranthscale_core::unit::RatePerSecond;
///
/// let mut limits = OrganisationLimits::default();
/// let organisation = "delta-basin".parse().unwrap();
/// let rate = Some(RatePerSecond::new(2.0));
/// assert!(limits.admit(&organisation, rate, None, 2, Duration::ZERO).is_ok());
/// let refusal = limits.admit(&organisation, rate, None, 2, Duration::ZERO).unwrap_err();
/// assert_eq!(refusal.code, ResultCode::OverLimit);
/// ```
#[derive(Debug, Default)]
pub struct OrganisationLimits {
    buckets: BTreeMap<OrganisationId, Bucket>,
}

impl OrganisationLimits {
    /// Limits without any requests so far.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a request within the organisation's share, or refuses it.
    pub fn admit(
        &mut self,
        organisation: &OrganisationId,
        limit: Option<RatePerSecond>,
        max_in_flight: Option<u32>,
        live_entries: u32,
        now: Duration,
    ) -> Result<(), Refusal> {
        let entries = live_entries.max(1);
        let bucket = self.buckets.entry(organisation.clone()).or_default();
        if let Some(max) = max_in_flight {
            bucket.check_in_flight(max.div_ceil(entries))?;
        }
        if let Some(limit) = limit {
            bucket.take_token(limit.get() / f64::from(entries), now)?;
        }
        bucket.in_flight += 1;
        Ok(())
    }

    /// Records that an admitted request has ended.
    pub fn ended(&mut self, organisation: &OrganisationId) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.in_flight = bucket.in_flight.saturating_sub(1);
        }
    }

    /// Number of an organisation's requests in flight at this entry.
    #[must_use]
    pub fn in_flight(&self, organisation: &OrganisationId) -> u32 {
        self.buckets
            .get(organisation)
            .map_or(0, |bucket| bucket.in_flight)
    }
}

impl Bucket {
    const fn check_in_flight(&self, max_in_flight: u32) -> Result<(), Refusal> {
        if self.in_flight < max_in_flight {
            return Ok(());
        }
        Err(Refusal::new(
            ResultCode::OverLimit,
            IN_FLIGHT_RETRY_AFTER_MS,
        ))
    }

    fn take_token(&mut self, share_per_s: f64, now: Duration) -> Result<(), Refusal> {
        if share_per_s <= 0.0 {
            return Err(Refusal::new(ResultCode::OverLimit, NO_SHARE_RETRY_AFTER_MS));
        }
        self.refill(share_per_s, now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Refusal::new(
            ResultCode::OverLimit,
            self.retry_delay_ms(share_per_s, now),
        ))
    }

    /// Gives each refused caller the time of another future token; returns the delay in
    /// milliseconds.
    ///
    /// If all refused callers were told the time of the next token, they would all return for it,
    /// and most would be refused again and again until their deadlines had passed.
    fn retry_delay_ms(&mut self, share_per_s: f64, now: Duration) -> u64 {
        let next =
            now + Duration::from_secs_f64(((1.0 - self.tokens) / share_per_s).min(MAX_WAIT_S));
        let interval = Duration::from_secs_f64((1.0 / share_per_s).min(MAX_WAIT_S));
        let latest = now + Duration::from_secs_f64(MAX_WAIT_S);
        self.last_retry_at = next.max(self.last_retry_at + interval).min(latest);
        let wait = self.last_retry_at.saturating_sub(now);
        u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).max(1)
    }

    fn refill(&mut self, share_per_s: f64, now: Duration) {
        let max_tokens = (share_per_s * BURST_S).max(MIN_BURST);
        self.tokens = match self.filled_at {
            None => (share_per_s * INITIAL_S).max(1.0),
            Some(at) => {
                let elapsed = now.saturating_sub(at);
                (self.tokens + elapsed.as_secs_f64() * share_per_s).min(max_tokens)
            }
        };
        self.filled_at = Some(now);
    }
}
