//! Scenarios of an entry's admission, limits and books.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::collections::BTreeSet;
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{Incarnation, OrganisationId, RowVersion};
use amaranthscale_core::process::{
    Admission, AttainmentTracker, CostTracker, HedgePolicy, OrganisationLimits, RetryBudget,
    StageEstimate, sum_by_organisation,
};
use amaranthscale_core::unit::{Class, RatePerSecond, TimeBudget};
use amaranthscale_core::wire::{Row, RowWrite, StageCost};

fn organisation(name: &str) -> OrganisationId {
    name.parse().unwrap()
}

fn rows(book: &CostTracker) -> Vec<Row> {
    let to_row = |write: RowWrite| Row {
        key: write.key,
        version: RowVersion::new(1),
        value: write.value,
    };
    book.rows().map(to_row).collect()
}

/// A burst fills the generation stage. What cannot be answered in time is refused at once and
/// told to come back; as the wave goes on, callers are sent away for longer, and not in step.
#[test]
fn a_wave_is_refused_and_spread() {
    let mut admission = Admission::new(3);
    let stages = [StageEstimate {
        queue_ms: 700,
        service_ms: 400,
    }];
    let budget = TimeBudget::from_millis(1_000);

    let waits: Vec<u64> = (0..200)
        .map(|_| {
            admission
                .decide(budget, &stages, Class::Paid, Duration::ZERO)
                .unwrap_err()
        })
        .map(|refusal| refusal.retry_after_ms)
        .collect();

    let first: u64 = waits[..20].iter().sum();
    let last: u64 = waits[180..].iter().sum();
    assert!(last > 2 * first, "{first} then {last}");
    let distinct: BTreeSet<_> = waits.iter().collect();
    assert!(distinct.len() > 100, "{} distinct", distinct.len());
}

/// What can be answered in time is admitted, and trials need more room than paid work.
#[test]
fn trials_need_more_room() {
    let mut admission = Admission::new(3);
    let stages = [StageEstimate {
        queue_ms: 100,
        service_ms: 400,
    }; 2];
    let budget = TimeBudget::from_millis(1_100);

    let paid = admission.decide(budget, &stages, Class::Paid, Duration::ZERO);
    let trial = admission.decide(budget, &stages, Class::Trial, Duration::ZERO);

    assert_eq!(paid, Ok(()));
    assert_eq!(trial.unwrap_err().code, ResultCode::DeadlineUnreachable);
}

/// After a refusal wave every caller retries at will. The budget passes one retry in ten.
#[test]
fn retries_stay_within_their_budget() {
    let mut budget = RetryBudget::new(10);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.first_try();
        for _ in 0..5 {
            retries += u32::from(budget.try_retry());
        }
    }

    assert!((100..=110).contains(&retries), "{retries}");
}

/// A hedge waits for the measured percentile of the last attempts, not of those long gone.
#[test]
fn hedges_follow_the_latest_times() {
    let mut policy = HedgePolicy::new(90);
    for _ in 0..300 {
        policy.record(Duration::from_secs(9));
    }
    for _ in 0..300 {
        policy.record(Duration::from_millis(50));
    }

    assert_eq!(policy.delay(), Some(Duration::from_millis(50)));
}

/// Four entries share ten requests a second. Together they admit the limit and no more.
#[test]
fn entries_share_a_limit() {
    let name = organisation("delta-basin");
    let limit = Some(RatePerSecond::new(10.0));
    let mut entries: Vec<_> = (0..4).map(|_| OrganisationLimits::new()).collect();
    let mut admitted = 0;
    for tick in 0..10_000 {
        let now = Duration::from_millis(tick);
        for entry in &mut entries {
            if entry.admit(&name, limit, None, 4, now).is_ok() {
                entry.ended(&name);
                admitted += 1;
            }
        }
    }

    assert!((100..=110).contains(&admitted), "{admitted} in 10 s");
}

/// A wave of callers is above its organisation's limit. If all were told the time of the next
/// token, they would come back together and be refused again; each is told its own.
#[test]
fn refused_callers_come_back_one_by_one() {
    let name = organisation("delta-basin");
    let limit = Some(RatePerSecond::new(10.0));
    let mut limits = OrganisationLimits::new();
    let mut waits: Vec<_> = (0..30)
        .filter_map(|_| limits.admit(&name, limit, None, 1, Duration::ZERO).err())
        .map(|refusal| Duration::from_millis(refusal.retry_after_ms))
        .collect();
    waits.dedup();

    assert_eq!(waits.len(), 20);
    for wait in waits {
        let comes_back = wait + Duration::from_millis(1);
        assert_eq!(
            limits.admit(&name, limit, None, 1, comes_back),
            Ok(()),
            "after {wait:?}"
        );
    }
}

/// An organisation was idle for long, then all its callers come back after a failure. It may use
/// five seconds of its share at once, and not all the time that it was idle.
#[test]
fn idle_time_saves_five_seconds_of_a_limit() {
    let name = organisation("delta-basin");
    let limit = Some(RatePerSecond::new(10.0));
    let mut limits = OrganisationLimits::new();
    assert!(limits.admit(&name, limit, None, 1, Duration::ZERO).is_ok());
    let later = Duration::from_mins(1);

    let admitted = (0..100).filter(|_| limits.admit(&name, limit, None, 1, later).is_ok());

    assert_eq!(admitted.count(), 50);
}

/// Requests in flight count until they end.
#[test]
fn requests_in_flight_are_bounded() {
    let name = organisation("delta-basin");
    let mut limits = OrganisationLimits::new();
    assert!(
        limits
            .admit(&name, None, Some(1), 1, Duration::ZERO)
            .is_ok()
    );
    let above = limits
        .admit(&name, None, Some(1), 1, Duration::ZERO)
        .unwrap_err();
    limits.ended(&name);
    let after = limits.admit(&name, None, Some(1), 1, Duration::ZERO);

    assert_eq!(above.code, ResultCode::OverLimit);
    assert!(after.is_ok());
}

/// A cost row's write seemed lost and was repeated, and a page of rows was read twice. The sum
/// is the same; a restarted process adds to it under its own incarnation.
#[test]
fn costs_written_twice_count_once() {
    let name = organisation("cedarline");
    let host = || "host-1".parse().unwrap();
    let cost = StageCost {
        queue_ms: 3,
        server_ms: 40,
        tokens: 7,
    };
    let mut former = CostTracker::new(host(), Incarnation::new(1));
    former.record(&name, "rerank", &cost, true);
    former.record(&name, "generate/large", &cost, false);
    let mut present = CostTracker::new(host(), Incarnation::new(2));
    present.record(&name, "rerank", &cost, true);
    let mut read = rows(&former);
    read.extend(rows(&former));
    read.extend(rows(&present));

    let sums = sum_by_organisation(&read);

    assert_eq!(sums[&name].useful_server_ms, 80);
    assert_eq!(sums[&name].wasted_server_ms, 40);
    assert_eq!(sums[&name].queue_ms, 9);
}

/// Late, refused and failed answers all count against attainment, each under its own code.
#[test]
fn attainment_counts_every_answer() {
    let mut book = AttainmentTracker::default();
    let (delta, cedar) = (organisation("delta-basin"), organisation("cedarline"));
    book.record(Class::Paid, &delta, ResultCode::Complete, true);
    book.record(Class::Paid, &delta, ResultCode::Complete, false);
    book.record(Class::Paid, &cedar, ResultCode::QueueFull, true);
    book.record(Class::Paid, &cedar, ResultCode::BackendFailed, true);
    book.record(Class::Trial, &cedar, ResultCode::Complete, true);

    let paid = book.class(Class::Paid);

    assert_eq!(paid.attainment_basis_points(), Some(2_500));
    assert_eq!(paid.late, 1);
    assert_eq!(paid.refused[&ResultCode::QueueFull], 1);
    assert_eq!(paid.failed[&ResultCode::BackendFailed], 1);
    assert_eq!(
        book.class(Class::Trial).attainment_basis_points(),
        Some(10_000)
    );
}
