//! Limits of organisations: who is refused, and when they are told to come back.

use std::time::Duration;

use amaranthscale_core::id::OrganisationId;
use amaranthscale_core::process::{OrganisationLimits, Refusal};
use amaranthscale_core::unit::RatePerSecond;

/// Requests a second that the organisation may make.
const LIMIT_PER_SECOND: f64 = 20.0;

fn organisation() -> OrganisationId {
    "driver-trial".parse().expect("a valid name")
}

fn ask(limits: &mut OrganisationLimits, now: Duration) -> Result<(), Refusal> {
    let limit = Some(RatePerSecond::new(LIMIT_PER_SECOND));
    let asked = limits.admit(&organisation(), limit, None, 1, now);
    limits.ended(&organisation());
    asked
}

/// Callers of one organisation ask at the same moment; the bucket is empty, and all are told to
/// come back in 50 ms. All do: one is served, and the others are refused again. An unlucky one is
/// refused twenty times in a row, though the organisation is hardly above its limit. The cause:
/// every refusal promised the same token.
#[test]
fn each_refused_caller_is_given_a_turn_of_its_own() {
    // Arrange: an empty bucket.
    let mut limits = OrganisationLimits::new();
    while ask(&mut limits, Duration::ZERO).is_ok() {}

    // Act: forty callers are refused at once, and each comes back when told to.
    let turns: Vec<Duration> = (0..40)
        .map(|_| ask(&mut limits, Duration::ZERO).unwrap_err().retry_after_ms)
        .map(Duration::from_millis)
        .collect();
    let refused_again = turns
        .iter()
        .filter(|turn| ask(&mut limits, **turn).is_err())
        .count();

    // Assert: rounding to milliseconds may cost a few their turn.
    assert!(
        refused_again <= 2,
        "{refused_again} of 40 were refused again"
    );
}

/// Callers are refused by the thousand and never come back. A later caller would be told to wait
/// for all of their turns, minutes away, while the bucket is full.
#[test]
fn callers_who_never_come_back_do_not_push_turns_out_of_sight() {
    // Arrange
    let mut limits = OrganisationLimits::new();
    for _ in 0..10_000 {
        let _ = ask(&mut limits, Duration::ZERO);
    }

    // Act
    let refusal = ask(&mut limits, Duration::from_millis(1)).unwrap_err();

    // Assert
    assert!(
        refusal.retry_after_ms <= 10_000,
        "{} ms",
        refusal.retry_after_ms
    );
}
