//! The age of what is known from the store.

use std::time::Duration;

use amaranthscale_core::process::Freshness;
use quickcheck::quickcheck;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn without_an_answer_nothing_is_known() {
    let freshness = Freshness::default();

    assert_eq!(freshness.age(ms(5_000)), None);
}

/// A store that is slow, or a connection that holds an answer up, delivers it seconds late. Dated
/// by its arrival, a key that was revoked meanwhile would be believed for seconds too long.
#[test]
fn an_answer_is_dated_by_when_it_was_given() {
    let mut freshness = Freshness::default();
    freshness.record_answer(ms(1_000), ms(50_000));

    freshness.record_answer(ms(2_000), ms(54_000));

    assert_eq!(freshness.age(ms(54_000)), Some(ms(3_000)));
}

#[test]
fn an_older_answer_that_comes_later_makes_nothing_fresher() {
    let mut freshness = Freshness::default();
    freshness.record_answer(ms(5_000), ms(55_000));

    freshness.record_answer(ms(3_000), ms(56_000));

    assert_eq!(freshness.age(ms(56_000)), Some(ms(1_000)));
}

/// A machine is suspended for a minute. The clock counts that time, so knowledge has aged by it.
#[test]
fn knowledge_ages_while_the_machine_is_suspended() {
    let mut freshness = Freshness::default();
    freshness.record_answer(ms(1_000), ms(50_000));

    let age = freshness.age(ms(50_000 + 60_000));

    assert_eq!(age, Some(ms(60_000)));
}

quickcheck! {
    fn an_age_is_never_below_the_true_one_by_more_than_the_shortest_way(
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
