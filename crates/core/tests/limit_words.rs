//! What servers say of their limits, and what of it others are told.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{ReportedLimits, ServerLimit};

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn server() -> ServerIncarnation {
    "a@1".parse().unwrap()
}

fn limit(text: &str) -> ServerLimit {
    text.parse().unwrap()
}

fn with_own_word() -> ReportedLimits {
    let mut words = ReportedLimits::default();
    assert!(words.record_answer(&server(), Some(limit("2")), at(900), at(1_000)));
    words
}

#[test]
fn rates_are_read_and_nothing_else() {
    for rate in ["0", "0.3", " 1.1 ", "1e3", "250"] {
        assert!(rate.parse::<ServerLimit>().is_ok(), "{rate}");
    }
    for other in ["", "-1", "-0.1", "NaN", "inf", "1,5", "many", "1/s"] {
        assert!(other.parse::<ServerLimit>().is_err(), "{other}");
    }
}

/// Guards against a server that names none and is never asked again.
#[test]
fn a_limit_of_nothing_still_lets_one_request_through_from_time_to_time() {
    let none: ServerLimit = "0".parse().unwrap();

    assert!(none.per_s() > 0.0 && none.per_s() <= 0.1);
}

#[test]
fn an_answer_without_a_limit_ends_it() {
    let mut words = with_own_word();

    assert!(words.record_answer(&server(), None, at(1_100), at(1_200)));

    assert_eq!(words.limit(&server()), None);
    assert!(words.is_empty());
}

/// Guards against an answer that was on its way before the word and ends it.
#[test]
fn an_answer_to_an_earlier_request_ends_nothing() {
    let mut words = with_own_word();

    assert!(!words.record_answer(&server(), None, at(950), at(1_200)));

    assert_eq!(words.limit(&server()), Some(limit("2")));
}

#[test]
fn an_own_word_is_told_until_the_store_says_it() {
    let mut words = with_own_word();
    assert_eq!(words.unpublished(), [(server(), Some(limit("2")))]);

    words.mark_published(&server(), Some(limit("2")));

    assert!(words.unpublished().is_empty());
}

/// Guards against a write for each answer of a server whose number trembles.
#[test]
fn a_limit_that_changes_little_is_no_news() {
    let mut words = with_own_word();
    words.mark_published(&server(), Some(limit("2")));

    assert!(!words.record_answer(&server(), Some(limit("2.1")), at(1_100), at(1_200)));
    assert!(words.unpublished().is_empty());
    assert!(words.record_answer(&server(), Some(limit("1")), at(1_300), at(1_400)));
    assert_eq!(words.unpublished(), [(server(), Some(limit("1")))]);
}

/// Guards against the store's older word that ends what a server has just said.
#[test]
fn an_own_word_that_is_not_told_yet_outlasts_the_stores_older_one() {
    let mut words = with_own_word();

    assert!(!words.apply_published(&server(), None, at(1_050)));

    assert_eq!(words.limit(&server()), Some(limit("2")));
    assert_eq!(words.unpublished(), [(server(), Some(limit("2")))]);
}

#[test]
fn another_ones_word_counts_and_is_not_told_again() {
    let mut words = ReportedLimits::default();

    assert!(words.apply_published(&server(), Some(limit("3")), at(500)));

    assert_eq!(words.limit(&server()), Some(limit("3")));
    assert!(words.unpublished().is_empty());
    assert!(words.apply_published(&server(), None, at(700)));
    assert!(words.is_empty());
}

/// Guards against a limit that stands for good, as those who hear its end do not tell it.
#[test]
fn the_end_of_another_ones_word_is_told() {
    let mut words = ReportedLimits::default();
    words.apply_published(&server(), Some(limit("3")), at(500));

    assert!(words.record_answer(&server(), None, at(600), at(700)));

    assert_eq!(words.unpublished(), [(server(), None)]);
    words.mark_published(&server(), None);
    assert!(words.is_empty());
}

/// Guards against a removed row that was not told, as while the store had lost its history.
#[test]
fn a_whole_table_ends_what_it_leaves_out_but_not_an_own_word() {
    let other: ServerIncarnation = "b@1".parse().unwrap();
    let mut words = with_own_word();
    words.mark_published(&server(), Some(limit("2")));
    words.apply_published(&other, Some(limit("3")), at(1_100));

    let ended = words.retain_published(&[]);

    assert_eq!(ended, [other]);
    assert_eq!(words.unpublished(), [(server(), Some(limit("2")))]);
}

#[test]
fn servers_that_are_gone_are_forgotten_and_their_rows_named() {
    let mut words = with_own_word();
    words.mark_published(&server(), Some(limit("2")));

    let rows = words.remove_unlisted(|_| false);

    assert_eq!(rows, [server()]);
    assert!(words.is_empty());
}

/// Guards against the word of an earlier life that binds the next one.
#[test]
fn a_word_binds_only_the_life_that_said_it() {
    let words = with_own_word();

    assert_eq!(words.limit(&"a@2".parse().unwrap()), None);
}
