//! Admission, limits, retry budgets, hedging and accounting of an entry.

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

/// A burst fills the generation stage. Requests that cannot be answered in time are refused at
/// once; as the burst continues, their retry delays grow and differ from each other.
#[test]
fn refusals_of_a_burst_get_growing_and_distinct_retry_delays() {
    let mut admission = Admission::new(3);
    let stages = [StageEstimate {
        queue_ms: 700,
        service_ms: 400,
    }];
    let budget = TimeBudget::from_millis(1_000);

    let retry_delays: Vec<u64> = (0..200)
        .map(|_| {
            admission
                .decide(budget, &stages, Class::Paid, Duration::ZERO)
                .unwrap_err()
        })
        .map(|refusal| refusal.retry_after_ms)
        .collect();

    let first: u64 = retry_delays[..20].iter().sum();
    let last: u64 = retry_delays[180..].iter().sum();
    assert!(last > 2 * first, "{first} then {last}");
    let distinct: BTreeSet<_> = retry_delays.iter().collect();
    assert!(distinct.len() > 100, "{} distinct", distinct.len());
}

/// Paid work that can be answered in time is admitted; trial work needs more time to spare.
#[test]
fn trial_work_needs_more_time_to_spare_than_paid_work() {
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

/// After many refusals every caller retries without limit. The budget admits one retry per ten
/// requests.
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

/// The hedging delay is the percentile of the latest attempts, not of earlier ones.
#[test]
fn hedging_delay_follows_the_latest_attempts() {
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
fn entries_together_admit_an_organisations_limit() {
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

/// A burst of callers exceeds its organisation's limit. If all of them got the time of the next
/// token, they would retry together and be refused again, so each gets its own retry time.
#[test]
fn refused_callers_get_distinct_retry_times() {
    let name = organisation("delta-basin");
    let limit = Some(RatePerSecond::new(10.0));
    let mut limits = OrganisationLimits::new();
    let mut retry_delays: Vec<_> = (0..30)
        .filter_map(|_| limits.admit(&name, limit, None, 1, Duration::ZERO).err())
        .map(|refusal| Duration::from_millis(refusal.retry_after_ms))
        .collect();
    retry_delays.dedup();

    assert_eq!(retry_delays.len(), 20);
    for retry_delay in retry_delays {
        let retry_at = retry_delay + Duration::from_millis(1);
        assert_eq!(
            limits.admit(&name, limit, None, 1, retry_at),
            Ok(()),
            "after {retry_delay:?}"
        );
    }
}

/// An organisation was idle for a long time, then all its callers return after a failure. It may
/// use five seconds of its limit at once, not the whole idle time.
#[test]
fn idle_time_allows_a_burst_of_five_seconds_of_a_limit() {
    let name = organisation("delta-basin");
    let limit = Some(RatePerSecond::new(10.0));
    let mut limits = OrganisationLimits::new();
    assert!(limits.admit(&name, limit, None, 1, Duration::ZERO).is_ok());
    let later = Duration::from_mins(1);

    let admitted = (0..100).filter(|_| limits.admit(&name, limit, None, 1, later).is_ok());

    assert_eq!(admitted.count(), 50);
}

/// Requests count as in flight until they end.
#[test]
fn requests_in_flight_are_limited() {
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

/// The write of a cost row seemed lost and was repeated, and a page of rows was read twice. The sum
/// does not change; a restarted process adds to it under its own incarnation.
#[test]
fn costs_written_twice_count_once() {
    let name = organisation("cedarline");
    let host = || "host-1".parse().unwrap();
    let cost = StageCost {
        queue_ms: 3,
        server_ms: 40,
        tokens: 7,
    };
    let mut earlier = CostTracker::new(host(), Incarnation::new(1));
    earlier.record(&name, "rerank", &cost, true);
    earlier.record(&name, "generate/large", &cost, false);
    let mut current = CostTracker::new(host(), Incarnation::new(2));
    current.record(&name, "rerank", &cost, true);
    let mut read = rows(&earlier);
    read.extend(rows(&earlier));
    read.extend(rows(&current));

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
