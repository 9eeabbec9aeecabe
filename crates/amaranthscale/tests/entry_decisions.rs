//! Routing and admission decisions of an entry for the stages of a request.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::time::Duration;

use amaranthscale::entry::process::{
    AdmissionQuery, AttemptKind, Decisions, DecisionsArguments, DecisionsHandle, DecisionsMessage,
    RouteQuery,
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
        backoff_ms: 0,
        load: LoadReport {
            slots: 4,
            service_ms,
            ..LoadReport::default()
        },
    }
}

/// Decisions actor that has observed one reranker and one generator.
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
    handle.send(DecisionsMessage::HostsChanged(HostList {
        version: 1,
        hosts: vec![
            record("rerank-1", "rerankers"),
            record("assay-1", "assay-llm"),
        ],
    }));
    handle.send(DecisionsMessage::ObserveStamp(Box::new(stamp(
        "rerank-1", 20,
    ))));
    handle.send(DecisionsMessage::ObserveStamp(Box::new(stamp(
        "assay-1",
        GENERATION_MS,
    ))));
    handle
}

fn rerank(deadline: Instant) -> RouteQuery {
    RouteQuery {
        service: "rerankers".parse().unwrap(),
        later_services: vec!["assay-llm".parse().unwrap()],
        class: Class::Paid,
        exclude: Vec::new(),
        affinity: None,
        kind: AttemptKind::First,
        is_repeatable: true,
        deadline,
    }
}

/// Guards against reranking that starts so late that no time is left to generate the answer. It
/// happens on a busy reranker if the attempt's expiry is the request's whole remaining time; the
/// expiry must reserve the estimated time of the generation.
#[tokio::test(start_paused = true)]
async fn stage_deadline_reserves_time_for_later_stages() {
    let decisions = decisions().await;
    let deadline = Instant::now() + Duration::from_secs(1);

    let route = decisions.route(rerank(deadline)).await.unwrap();

    let reserved = Duration::from_millis(u64::from(GENERATION_MS));
    assert_eq!(route.stage_deadline, deadline - reserved);
}

/// Guards against a settlement that expires early because the stage after it, a printed receipt, is
/// slow. A call that may not be repeated gets all of the remaining time.
#[tokio::test(start_paused = true)]
async fn non_repeatable_call_gets_all_remaining_time() {
    let decisions = decisions().await;
    let deadline = Instant::now() + Duration::from_millis(100);
    let settlement = RouteQuery {
        is_repeatable: false,
        ..rerank(deadline)
    };

    let route = decisions.route(settlement).await.unwrap();

    assert_eq!(route.stage_deadline, deadline);
}

/// Guards against an attempt without any time left that is refused by one sidecar after another and
/// uses up the retry budget of other callers. It happens when a request reaches reranking with less
/// time than the generation after it needs; the entry must refuse it at once.
#[tokio::test(start_paused = true)]
async fn stage_without_remaining_time_is_refused_at_once() {
    let decisions = decisions().await;
    let deadline = Instant::now() + Duration::from_millis(100);

    let refusal = decisions.route(rerank(deadline)).await.unwrap_err();

    assert_eq!(refusal.code, ResultCode::DeadlineUnreachable);
}

/// Guards against requests that count as in flight although nothing runs. It happens when a caller
/// disconnects just as its request is admitted and the reply is never read; after some thousands of
/// them the organisation is refused (2102).
#[tokio::test]
async fn unread_admission_is_released() {
    // Arrange
    let decisions = decisions().await;
    let query = AdmissionQuery {
        organisation: "north-intake".parse().unwrap(),
        class: Class::Paid,
        limit_per_second: RatePerSecond::new(1000.0),
        max_in_flight: 1,
        services: vec!["rerankers".parse().unwrap()],
        budget: TimeBudget::from_millis(9000),
    };

    // Act: each admission is dropped, as if its caller had disconnected.
    for _ in 0..10 {
        let admitted = decisions.admit(query.clone()).await;
        assert!(
            admitted.is_ok(),
            "the previous admission was released: {admitted:?}"
        );
    }

    // Assert
    let mut committed = decisions.admit(query.clone()).await.unwrap();
    committed.commit();
    assert_eq!(decisions.status().await.in_flight, 1);
    assert!(
        decisions.admit(query).await.is_err(),
        "a committed admission counts"
    );
}
