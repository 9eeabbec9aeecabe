//! The service stand-in, and each of its faults.

#![expect(clippy::unwrap_used, reason = "a fixture that fails ends its test")]

mod support;

use amaranthscale_standins::backend::BackendFaults;
use amaranthscale_standins::http::{HttpClient, HttpError, HttpReply, RunningStandin};
use amaranthscale_standins::service::{Service, ServiceExecution, ServiceSettings};
use hyper::StatusCode;
use serde_json::Value;
use support::{call_headers, eventually, join_task, run_round_trips, set_faults};
use tokio::task::JoinHandle;

struct Fixture {
    service: RunningStandin,
    client: HttpClient,
}

impl Fixture {
    async fn start() -> Self {
        let settings = ServiceSettings {
            name: "grower-ledger".to_owned(),
            service_ms: 0,
            ..ServiceSettings::default()
        };
        Self {
            service: Service::start(settings).await.unwrap(),
            client: HttpClient::new(),
        }
    }

    async fn set_faults(&self, faults: BackendFaults) {
        set_faults(&self.client, self.service.url("/admin/faults"), &faults).await;
    }

    async fn call(&self, call_id: &str) -> Result<HttpReply, HttpError> {
        let url = self.service.url("/settle/grower");
        self.client.post(url, &call_headers(call_id), "{}").await
    }

    /// Sends a call in the background, over a separate connection.
    fn spawn_call(&self, call_id: &'static str) -> JoinHandle<Result<HttpReply, HttpError>> {
        let url = self.service.url("/settle/grower");
        tokio::spawn(async move {
            let client = HttpClient::new();
            client.post(url, &call_headers(call_id), "{}").await
        })
    }

    async fn executions(&self) -> Vec<ServiceExecution> {
        let url = self.service.url("/executions");
        self.client.get_json(url).await.unwrap()
    }
}

#[tokio::test]
async fn each_execution_is_recorded_and_counted() {
    let fixture = Fixture::start().await;

    fixture.call("c1").await.unwrap();
    let again: Value = fixture.call("c1").await.unwrap().json().unwrap();

    assert_eq!(again["service"], "grower-ledger");
    assert_eq!(again["path"], "settle/grower");
    assert_eq!(again["execution"], 2);
    let executions = fixture.executions().await;
    assert_eq!(executions.len(), 2);
    assert_eq!(executions[1].order, 2);
    assert_eq!(again["body_digest"], executions[1].body_digest);
}

#[tokio::test]
async fn a_call_without_id_is_refused_and_not_run() {
    let fixture = Fixture::start().await;

    let url = fixture.service.url("/settle");
    let reply = fixture.client.post(url, &[], "{}").await.unwrap();

    assert_eq!(reply.status, StatusCode::BAD_REQUEST);
    assert_eq!(fixture.executions().await, []);
}

#[tokio::test]
async fn a_held_call_runs_at_once_but_is_answered_on_release() {
    // A settlement runs, but its answer arrives much later. A caller that takes the delay for a
    // call that did not run would pay twice.
    let fixture = Fixture::start().await;
    let hold = |hold| BackendFaults {
        hold: Some(hold),
        ..BackendFaults::default()
    };
    fixture.set_faults(hold(true)).await;

    let call = fixture.spawn_call("c1");
    eventually("the execution", async || {
        fixture.executions().await.len() == 1
    })
    .await;
    run_round_trips(async || fixture.executions().await).await;
    let answered_while_held = call.is_finished();
    fixture.set_faults(hold(false)).await;

    assert!(!answered_while_held);
    assert_eq!(join_task(call).await.unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn a_frozen_service_starts_no_call_until_unfrozen() {
    let fixture = Fixture::start().await;
    let frozen = |frozen| BackendFaults {
        frozen: Some(frozen),
        ..BackendFaults::default()
    };
    fixture.set_faults(frozen(true)).await;

    let call = fixture.spawn_call("c1");
    run_round_trips(async || fixture.executions().await).await;
    let while_frozen = fixture.executions().await;
    fixture.set_faults(frozen(false)).await;

    assert_eq!(while_frozen, []);
    assert_eq!(join_task(call).await.unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn a_failed_call_is_recorded_as_an_execution() {
    let fixture = Fixture::start().await;
    let faults = BackendFaults {
        fail_next: Some(1),
        ..BackendFaults::default()
    };
    fixture.set_faults(faults).await;

    let failed = fixture.call("c1").await.unwrap();
    let next = fixture.call("c2").await.unwrap();

    assert_eq!(failed.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(next.status, StatusCode::OK);
    assert_eq!(fixture.executions().await.len(), 2);
}

#[tokio::test]
async fn an_incomplete_answer_is_reported_as_broken_off() {
    // The connection closes after half of the answer. The call has run, and the half must not be
    // taken for the whole answer.
    let fixture = Fixture::start().await;
    let faults = BackendFaults {
        break_mid_stream: Some(1),
        ..BackendFaults::default()
    };
    fixture.set_faults(faults).await;

    let broken = fixture.call("c1").await;

    let Err(HttpError::Truncated(StatusCode::OK, arrived, _)) = broken else {
        panic!("not broken off: {broken:?}");
    };
    assert!(!arrived.is_empty());
    assert_eq!(fixture.executions().await.len(), 1);
}

#[tokio::test]
async fn a_dead_service_accepts_no_connections() {
    let mut fixture = Fixture::start().await;
    let faults = BackendFaults {
        die: Some(true),
        ..BackendFaults::default()
    };

    let url = fixture.service.url("/admin/faults");
    let body = serde_json::to_vec(&faults).unwrap();
    // The answer may or may not be sent before the service ends.
    let _ = fixture.client.post(url, &[], body).await;
    fixture.service.wait_until_stopped().await;

    let call = fixture.call("c1").await;
    assert!(matches!(call, Err(HttpError::NoAnswer(_))), "{call:?}");
}
