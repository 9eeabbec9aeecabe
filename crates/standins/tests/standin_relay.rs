//! The relay stand-in, and each of its faults.

#![expect(clippy::unwrap_used, reason = "a fixture that fails ends its test")]

mod support;

use std::time::Duration;

use amaranthscale_standins::http::{HttpClient, HttpError, HttpReply, RunningStandin};
use amaranthscale_standins::relay::{Relay, RelayCounts, RelayFaults, RelaySettings, RunningRelay};
use amaranthscale_standins::service::{Service, ServiceExecution, ServiceSettings};
use hyper::StatusCode;
use support::{call_headers, join_task, run_round_trips, set_faults};
use tokio::time::Instant;

struct Fixture {
    service: RunningStandin,
    relay: RunningRelay,
    /// Connects through the relay and reuses the connection between calls.
    through_relay: HttpClient,
    /// Connects without the relay.
    direct: HttpClient,
}

impl Fixture {
    async fn start() -> Self {
        let settings = ServiceSettings {
            service_ms: 0,
            ..ServiceSettings::default()
        };
        let service = Service::start(settings).await.unwrap();
        let settings = RelaySettings::to(service.address());
        Self {
            relay: Relay::start(settings).await.unwrap(),
            service,
            through_relay: HttpClient::new(),
            direct: HttpClient::new(),
        }
    }

    async fn set_faults(&self, faults: RelayFaults) {
        let url = self.relay.admin_url("/admin/faults");
        set_faults(&self.direct, url, &faults).await;
    }

    async fn counts(&self) -> RelayCounts {
        let url = self.relay.admin_url("/admin/counts");
        self.direct.get_json(url).await.unwrap()
    }

    async fn executions(&self) -> Vec<ServiceExecution> {
        let url = self.service.url("/executions");
        self.direct.get_json(url).await.unwrap()
    }

    async fn call(&self, client: &HttpClient, call_id: &str) -> Result<HttpReply, HttpError> {
        let url = self.relay.url("/settle");
        client.post(url, &call_headers(call_id), "{}").await
    }
}

#[tokio::test]
async fn bytes_pass_both_ways() {
    let fixture = Fixture::start().await;

    let reply = fixture.call(&fixture.through_relay, "c1").await.unwrap();

    assert_eq!(reply.status, StatusCode::OK);
    let counts = fixture.counts().await;
    assert_eq!(counts.accepted, 1);
    assert!(counts.to_server_bytes > 0 && counts.to_client_bytes > 0);
}

#[tokio::test]
async fn a_silenced_connection_stays_open_while_new_ones_work() {
    // Simulates a device between the two ends that has lost the state of an open connection: a
    // call over a connection that worked before gets neither an answer nor an error, while calls
    // over new connections to the same server are answered.
    let fixture = Fixture::start().await;
    fixture.call(&fixture.through_relay, "c1").await.unwrap();
    let faults = RelayFaults {
        silence_open: Some(true),
        ..RelayFaults::default()
    };
    fixture.set_faults(faults).await;

    let url = fixture.relay.url("/settle");
    let client = fixture.through_relay.clone();
    let silent = tokio::spawn(async move { client.post(url, &call_headers("c2"), "{}").await });
    run_round_trips(async || fixture.counts().await).await;
    let renewed = fixture.call(&HttpClient::new(), "c3").await.unwrap();

    assert_eq!(renewed.status, StatusCode::OK);
    assert!(!silent.is_finished());
    assert_eq!(fixture.counts().await.silenced, 1);
    let executions = fixture.executions().await;
    let call_ids: Vec<_> = executions.iter().map(|e| e.call_id.as_str()).collect();
    assert_eq!(call_ids, ["c1", "c3"]);
    silent.abort();
}

#[tokio::test]
async fn a_cut_closes_open_connections_including_silenced_ones() {
    let fixture = Fixture::start().await;
    fixture.call(&fixture.through_relay, "c1").await.unwrap();
    let silence = RelayFaults {
        silence_open: Some(true),
        ..RelayFaults::default()
    };
    let cut = RelayFaults {
        cut_open: Some(true),
        ..RelayFaults::default()
    };
    fixture.set_faults(silence).await;
    let url = fixture.relay.url("/settle");
    let client = fixture.through_relay.clone();
    let silent = tokio::spawn(async move { client.post(url, &call_headers("c2"), "{}").await });
    run_round_trips(async || fixture.counts().await).await;

    fixture.set_faults(cut).await;

    let ended = join_task(silent).await;
    assert!(matches!(ended, Err(HttpError::NoAnswer(_))), "{ended:?}");
    assert_eq!(fixture.counts().await.cut, 1);
    assert_eq!(fixture.executions().await.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_delay_applies_in_each_direction() {
    let fixture = Fixture::start().await;
    let faults = RelayFaults {
        delay_ms: Some(30_000),
        ..RelayFaults::default()
    };
    fixture.set_faults(faults).await;
    let started = Instant::now();

    fixture.call(&fixture.through_relay, "c1").await.unwrap();

    assert!(started.elapsed() >= Duration::from_mins(1));
}

#[tokio::test]
async fn refused_connections_do_not_reach_the_service() {
    let fixture = Fixture::start().await;
    let refuse = |refuse| RelayFaults {
        refuse_new: Some(refuse),
        ..RelayFaults::default()
    };
    fixture.set_faults(refuse(true)).await;

    let refused = fixture.call(&fixture.through_relay, "c1").await;
    fixture.set_faults(refuse(false)).await;
    let accepted = fixture.call(&fixture.through_relay, "c2").await.unwrap();

    assert!(
        matches!(refused, Err(HttpError::NoAnswer(_))),
        "{refused:?}"
    );
    assert_eq!(accepted.status, StatusCode::OK);
    assert_eq!(fixture.counts().await.refused, 1);
    assert_eq!(fixture.executions().await.len(), 1);
}
