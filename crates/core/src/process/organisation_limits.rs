//! Limits of organisations at one entry.
//!
//! The tree's limit is the sum over entries, so each entry grants its share. A share may be below
//! one request a second; the bucket then still holds one whole token, so that the share is met
//! over time. The limits are soft: the sidecars' queues are what protects paid work.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Refusal;
use crate::ResultCode;
use crate::id::OrganisationId;
use crate::unit::RatePerSecond;

/// Time in which a request in flight is likely to end.
const IN_FLIGHT_RETRY_AFTER_MS: u64 = 500;
/// Time to come back for an organisation whose limit is zero.
const NO_SHARE_RETRY_AFTER_MS: u64 = 60_000;
/// Seconds of its share that an organisation may use at once.
const BURST_S: f64 = 1.0;
/// Longest time ahead for which a refused caller is given a turn; callers who never come back
/// must not push everybody else's turn out of sight.
const MAX_TURN_AHEAD: Duration = Duration::from_secs(10);

/// Tokens of one organisation.
#[derive(Debug, Default)]
struct Bucket {
    tokens: f64,
    filled_at: Option<Duration>,
    in_flight: u32,
    /// Last time at which a refused caller was told to come back.
    last_turn: Duration,
}

/// Token buckets and counts in flight, by organisation.
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
    /// Limits with full buckets.
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
        if let Some(most) = max_in_flight {
            bucket.check_in_flight(most.div_ceil(entries))?;
        }
        if let Some(limit) = limit {
            bucket.take_token(limit.get() / f64::from(entries), now)?;
        }
        bucket.in_flight += 1;
        Ok(())
    }

    /// Notes that an admitted request has ended.
    pub fn ended(&mut self, organisation: &OrganisationId) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.in_flight = bucket.in_flight.saturating_sub(1);
        }
    }

    /// Requests of an organisation that this entry has in flight.
    #[must_use]
    pub fn in_flight(&self, organisation: &OrganisationId) -> u32 {
        self.buckets
            .get(organisation)
            .map_or(0, |bucket| bucket.in_flight)
    }
}

impl Bucket {
    const fn check_in_flight(&self, most: u32) -> Result<(), Refusal> {
        if self.in_flight < most {
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
        self.fill(share_per_s, now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Refusal::new(
            ResultCode::OverLimit,
            self.next_turn_ms(share_per_s, now),
        ))
    }

    /// Time until the turn of one more refused caller.
    ///
    /// Guards against refused callers who all come back for the same token: one gets it and the
    /// others are refused again and again, which shows as a request that is tried twenty times.
    /// Each refusal is given a turn of its own, one token after the turn before.
    fn next_turn_ms(&mut self, share_per_s: f64, now: Duration) -> u64 {
        let token = Duration::from_secs_f64((1.0 / share_per_s).min(MAX_TURN_AHEAD.as_secs_f64()));
        let first = now + token.mul_f64(1.0 - self.tokens.clamp(0.0, 1.0));
        let turn = first.max(self.last_turn + token).min(now + MAX_TURN_AHEAD);
        self.last_turn = turn;
        u64::try_from(turn.saturating_sub(now).as_millis())
            .unwrap_or(u64::MAX)
            .max(1)
    }

    fn fill(&mut self, share_per_s: f64, now: Duration) {
        let most = (share_per_s * BURST_S).max(1.0);
        self.tokens = match self.filled_at {
            None => most,
            Some(at) => {
                let passed = now.saturating_sub(at);
                (self.tokens + passed.as_secs_f64() * share_per_s).min(most)
            }
        };
        self.filled_at = Some(now);
    }
}
