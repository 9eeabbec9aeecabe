//! What an entry's decisions answer to the stages of a request.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::time::Duration;

use amaranthscale::entry::process::{
    AdmissionQuestion, AttemptKind, Decision, Decisions, DecisionsArguments, DecisionsHandle,
    RouteQuestion,
};
use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{Incarnation, TreeVersion};
use amaranthscale_core::unit::{Class, RatePerSecond, SidecarClock, TimeBudget};
use amaranthscale_core::wire::{HostList, HostRecord, HostState, LoadReport, Stamp};
use ractor::Actor;
use tokio::time::Instant;

const GENERATION_MS: u32 = 300;

fn record(host: &str, service: &str) -> HostRecord {
    HostRecord {
        host: host.parse().unwrap(),
        address: "10.0.0.1:7000".parse().unwrap(),
        region: "delta-south".parse().unwrap(),
        zone: "north-yard".parse().unwrap(),
        service: Some(service.parse().unwrap()),
        state: HostState::Live,
    }
}

fn stamp(host: &str, service_ms: u32) -> Stamp {
    Stamp {
        host: host.parse().unwrap(),
        incarnation: Incarnation::new(1),
        clock: SidecarClock::from_millis(1),
        tree_version: TreeVersion::new(1),
        is_leaving: false,
        load: LoadReport {
            slots: 4,
            service_ms,
            ..LoadReport::default()
        },
    }
}

/// Decisions that know one reranker and one generator.
async fn decisions() -> DecisionsHandle {
    let arguments = DecisionsArguments {
        host: "entry-1".parse().unwrap(),
        zone: "north-yard".parse().unwrap(),
        seed: 7,
        retry_percent: 10,
        hedge_percent: 1,
    };
    let (actor, _joined) = Actor::spawn(None, Decisions, arguments).await.unwrap();
    let handle = DecisionsHandle::new(actor);
    handle.tell(Decision::Hosts(HostList {
        version: 1,
        hosts: vec![
            record("rerank-1", "rerankers"),
            record("assay-1", "assay-llm"),
        ],
    }));
    handle.tell(Decision::Observe(Box::new(stamp("rerank-1", 20))));
    handle.tell(Decision::Observe(Box::new(stamp("assay-1", GENERATION_MS))));
    handle
}

fn rerank(due: Instant) -> RouteQuestion {
    RouteQuestion {
        service: "rerankers".parse().unwrap(),
        later: vec!["assay-llm".parse().unwrap()],
        class: Class::Paid,
        exclude: Vec::new(),
        affinity: None,
        kind: AttemptKind::First,
        is_repeatable: true,
        due,
    }
}

/// Reranking is busy, and a driver's answer still has to be generated after it.
/// With the whole rest as its expiry the reranking would start so late that the driver gets no
/// answer in time. Its expiry leaves the generation its time.
#[tokio::test(start_paused = true)]
async fn a_stage_leaves_the_later_ones_their_time() {
    let decisions = decisions().await;
    let due = Instant::now() + Duration::from_secs(1);

    let route = decisions.route(rerank(due)).await.unwrap();

    let kept = Duration::from_millis(u64::from(GENERATION_MS));
    assert_eq!(route.stage_due, due - kept);
}

/// A settlement is followed by a printed receipt whose service is slow.
/// Expired early for the receipt's sake, the grower would not be paid in time. The settlement keeps
/// the whole rest.
#[tokio::test(start_paused = true)]
async fn a_call_that_may_not_be_repeated_keeps_the_whole_rest() {
    let decisions = decisions().await;
    let due = Instant::now() + Duration::from_millis(100);
    let settlement = RouteQuestion {
        is_repeatable: false,
        ..rerank(due)
    };

    let route = decisions.route(settlement).await.unwrap();

    assert_eq!(route.stage_due, due);
}

/// A driver's request comes to reranking with less time than the generation after it takes.
/// Sent without any time of its own, it would be refused by one sidecar after the other and use up
/// the retries of other callers. It is refused at once, and the driver hears of it early.
#[tokio::test(start_paused = true)]
async fn a_stage_without_time_is_refused_at_once() {
    let decisions = decisions().await;
    let due = Instant::now() + Duration::from_millis(100);

    let refusal = decisions.route(rerank(due)).await.unwrap_err();

    assert_eq!(refusal.code, ResultCode::DeadlineUnreachable);
}

/// A caller closes the connection just as its request is admitted and routed. Nothing runs, yet from
/// then on one request more counts as in flight; after some thousands the organisation is refused
/// (2102) though nothing of its runs. The cause: an answer that nobody reads has set something aside.
#[tokio::test]
async fn an_answer_that_nobody_reads_sets_nothing_aside() {
    // Arrange
    let decisions = decisions().await;
    let question = AdmissionQuestion {
        organisation: "north-intake".parse().unwrap(),
        class: Class::Paid,
        limit_per_second: RatePerSecond::new(1000.0),
        max_in_flight: 1,
        services: vec!["rerankers".parse().unwrap()],
        budget: TimeBudget::from_millis(9000),
    };

    // Act: each admission is dropped as with its caller.
    for _ in 0..10 {
        let admitted = decisions.admit(question.clone()).await;
        assert!(
            admitted.is_ok(),
            "the one before was given back: {admitted:?}"
        );
    }

    // Assert
    let mut kept = decisions.admit(question.clone()).await.unwrap();
    kept.keep();
    assert_eq!(decisions.status().await.in_flight, 1);
    assert!(
        decisions.admit(question).await.is_err(),
        "a kept one counts"
    );
}
