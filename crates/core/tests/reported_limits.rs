//! Rate limits that servers report, and their publication to other entries.

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

fn with_own_report() -> ReportedLimits {
    let mut limits = ReportedLimits::default();
    assert!(limits.record_answer(&server(), Some(limit("2")), at(900), at(1_000)));
    limits
}

#[test]
fn only_rates_are_parsed() {
    for rate in ["0", "0.3", " 1.1 ", "1e3", "250"] {
        assert!(rate.parse::<ServerLimit>().is_ok(), "{rate}");
    }
    for other in ["", "-1", "-0.1", "NaN", "inf", "1,5", "many", "1/s"] {
        assert!(other.parse::<ServerLimit>().is_err(), "{other}");
    }
}

/// With no requests at all, the server could never report that its limit has ended.
#[test]
fn a_limit_of_zero_still_allows_an_occasional_request() {
    let none: ServerLimit = "0".parse().unwrap();

    assert!(none.per_s() > 0.0 && none.per_s() <= 0.1);
}

#[test]
fn an_answer_without_a_limit_ends_the_limit() {
    let mut limits = with_own_report();

    assert!(limits.record_answer(&server(), None, at(1_100), at(1_200)));

    assert_eq!(limits.limit(&server()), None);
    assert!(limits.is_empty());
}

/// An answer to a request sent before the limit was reported may arrive later.
#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_limit() {
    let mut limits = with_own_report();

    assert!(!limits.record_answer(&server(), None, at(950), at(1_200)));

    assert_eq!(limits.limit(&server()), Some(limit("2")));
}

#[test]
fn an_own_report_is_unpublished_until_the_store_has_it() {
    let mut limits = with_own_report();
    assert_eq!(limits.unpublished(), [(server(), Some(limit("2")))]);

    limits.mark_published(&server(), Some(limit("2")));

    assert!(limits.unpublished().is_empty());
}

/// Otherwise a server whose limit fluctuates would cause a write with each answer.
#[test]
fn a_small_change_of_a_limit_is_not_published() {
    let mut limits = with_own_report();
    limits.mark_published(&server(), Some(limit("2")));

    assert!(!limits.record_answer(&server(), Some(limit("2.1")), at(1_100), at(1_200)));
    assert!(limits.unpublished().is_empty());
    assert!(limits.record_answer(&server(), Some(limit("1")), at(1_300), at(1_400)));
    assert_eq!(limits.unpublished(), [(server(), Some(limit("1")))]);
}

/// An older state of the store must not end a limit that a server has just reported.
#[test]
fn an_unpublished_own_report_overrides_the_stores_older_state() {
    let mut limits = with_own_report();

    assert!(!limits.apply_published(&server(), None, at(1_050)));

    assert_eq!(limits.limit(&server()), Some(limit("2")));
    assert_eq!(limits.unpublished(), [(server(), Some(limit("2")))]);
}

#[test]
fn a_limit_published_by_another_entry_applies_and_is_not_published_again() {
    let mut limits = ReportedLimits::default();

    assert!(limits.apply_published(&server(), Some(limit("3")), at(500)));

    assert_eq!(limits.limit(&server()), Some(limit("3")));
    assert!(limits.unpublished().is_empty());
    assert!(limits.apply_published(&server(), None, at(700)));
    assert!(limits.is_empty());
}

/// Otherwise a limit would never end if the entry that sees its end did not publish it.
#[test]
fn the_end_of_a_limit_published_by_another_entry_is_published() {
    let mut limits = ReportedLimits::default();
    limits.apply_published(&server(), Some(limit("3")), at(500));

    assert!(limits.record_answer(&server(), None, at(600), at(700)));

    assert_eq!(limits.unpublished(), [(server(), None)]);
    limits.mark_published(&server(), None);
    assert!(limits.is_empty());
}

/// The removal of a row may have been missed, as when the store lost its history.
#[test]
fn a_whole_table_ends_the_limits_missing_from_it_except_own_reports() {
    let other: ServerIncarnation = "b@1".parse().unwrap();
    let mut limits = with_own_report();
    limits.mark_published(&server(), Some(limit("2")));
    limits.apply_published(&other, Some(limit("3")), at(1_100));

    let ended = limits.retain_published(&[]);

    assert_eq!(ended, [other]);
    assert_eq!(limits.unpublished(), [(server(), Some(limit("2")))]);
}

#[test]
fn limits_of_unlisted_servers_are_removed_and_their_rows_returned() {
    let mut limits = with_own_report();
    limits.mark_published(&server(), Some(limit("2")));

    let at_first = limits.remove_unlisted(|_| false);
    let while_listed = limits.remove_unlisted(|_| true);
    let again = limits.remove_unlisted(|_| false);
    let removed = limits.remove_unlisted(|_| false);

    assert!(at_first.is_empty() && while_listed.is_empty() && again.is_empty());
    assert_eq!(removed, [(server(), true)]);
    assert!(limits.is_empty());
}

/// A limit reported by an earlier incarnation must not apply to the next one.
#[test]
fn a_limit_applies_only_to_the_incarnation_that_reported_it() {
    let limits = with_own_report();

    assert_eq!(limits.limit(&"a@2".parse().unwrap()), None);
}
