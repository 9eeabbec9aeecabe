//! Rate limits of organisations: refusals and their retry times.

use std::time::Duration;

use amaranthscale_core::id::OrganisationId;
use amaranthscale_core::process::{OrganisationLimits, Refusal};
use amaranthscale_core::unit::RatePerSecond;

/// Requests per second that the organisation may send.
const LIMIT_PER_SECOND: f64 = 20.0;

fn organisation() -> OrganisationId {
    "driver-trial".parse().expect("a valid name")
}

fn request(limits: &mut OrganisationLimits, now: Duration) -> Result<(), Refusal> {
    let limit = Some(RatePerSecond::new(LIMIT_PER_SECOND));
    let admitted = limits.admit(&organisation(), limit, None, 1, now);
    limits.ended(&organisation());
    admitted
}

/// Callers of one organisation send at the same time while the bucket is empty. If every refusal
/// names the same token, all retry after 50 ms, one is served and the others are refused again,
/// some of them twenty times in a row although the organisation is barely above its limit.
#[test]
fn each_refused_caller_gets_its_own_retry_time() {
    // Arrange: an empty bucket.
    let mut limits = OrganisationLimits::new();
    while request(&mut limits, Duration::ZERO).is_ok() {}

    // Act: forty callers are refused at once, and each retries at its retry time.
    let retry_times: Vec<Duration> = (0..40)
        .map(|_| {
            request(&mut limits, Duration::ZERO)
                .unwrap_err()
                .retry_after_ms
        })
        .map(Duration::from_millis)
        .collect();
    let refused_again = retry_times
        .iter()
        .filter(|retry_time| request(&mut limits, **retry_time).is_err())
        .count();

    // Assert: because of rounding to milliseconds a few may be refused again.
    assert!(
        refused_again <= 2,
        "{refused_again} of 40 were refused again"
    );
}

/// Thousands of callers are refused and never retry. If their tokens stayed reserved, a later
/// caller would get a retry time minutes away while the bucket is full.
#[test]
fn callers_that_never_retry_do_not_delay_later_callers() {
    // Arrange
    let mut limits = OrganisationLimits::new();
    for _ in 0..10_000 {
        let _ = request(&mut limits, Duration::ZERO);
    }

    // Act
    let refusal = request(&mut limits, Duration::from_millis(1)).unwrap_err();

    // Assert
    assert!(
        refusal.retry_after_ms <= 10_000,
        "{} ms",
        refusal.retry_after_ms
    );
}
