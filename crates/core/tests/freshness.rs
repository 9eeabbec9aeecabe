//! The age of data read from the store.

use std::time::Duration;

use amaranthscale_core::process::Freshness;
use quickcheck::quickcheck;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn without_an_answer_there_is_no_age() {
    let freshness = Freshness::default();

    assert_eq!(freshness.age(ms(5_000)), None);
}

/// A slow store or connection delivers an answer seconds late. If its age counted from its arrival,
/// a key that was revoked meanwhile would be accepted for seconds too long.
#[test]
fn the_age_of_an_answer_counts_from_when_it_was_given() {
    let mut freshness = Freshness::default();
    freshness.record_answer(ms(1_000), ms(50_000));

    freshness.record_answer(ms(2_000), ms(54_000));

    assert_eq!(freshness.age(ms(54_000)), Some(ms(3_000)));
}

#[test]
fn an_older_answer_that_arrives_later_does_not_reduce_the_age() {
    let mut freshness = Freshness::default();
    freshness.record_answer(ms(5_000), ms(55_000));

    freshness.record_answer(ms(3_000), ms(56_000));

    assert_eq!(freshness.age(ms(56_000)), Some(ms(1_000)));
}

/// A host is suspended for a minute. The clock counts that time, so the data is older by it.
#[test]
fn data_ages_while_the_host_is_suspended() {
    let mut freshness = Freshness::default();
    freshness.record_answer(ms(1_000), ms(50_000));

    let age = freshness.age(ms(50_000 + 60_000));

    assert_eq!(age, Some(ms(60_000)));
}

quickcheck! {
    fn an_age_is_below_the_true_one_by_at_most_the_shortest_delay(
        delays_ms: Vec<u16>
    ) -> bool {
        let shortest_ms = u64::from(delays_ms.iter().copied().min().unwrap_or(0));
        let mut freshness = Freshness::default();
        let mut given_ms = 0;
        let mut newest_ms = 0;
        delays_ms.iter().all(|delay_ms| {
            given_ms += 1_000;
            let now_ms = 90_000 + given_ms + u64::from(*delay_ms);
            freshness.record_answer(ms(given_ms), ms(now_ms));
            newest_ms = newest_ms.max(given_ms);
            let true_age_ms = now_ms - (90_000 + newest_ms);
            let age = freshness.age(ms(now_ms)).unwrap();
            age + ms(shortest_ms) + ms(u64::from(u16::MAX)) >= ms(true_age_ms)
        })
    }
}

/// A process starts, and its first information was passed on by another one. Its age must be right:
/// dated by its arrival alone, a revoked key would be accepted for longer than allowed.
#[test]
fn information_that_was_passed_on_is_dated_by_the_stores_own_answer() {
    let second = Duration::from_secs(1);
    let mut freshness = Freshness::default();
    assert!(!freshness.is_clock_known());

    freshness.record_clock(100 * second, 10 * second);
    let before = freshness.age(11 * second);
    freshness.record_answer(97 * second, 11 * second);

    assert_eq!(before, None);
    assert_eq!(freshness.age(11 * second), Some(4 * second));
}
