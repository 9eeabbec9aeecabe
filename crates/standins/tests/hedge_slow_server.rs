//! Hedged requests to a slow server, each answered once, and calls that are never hedged.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use amaranthscale_core::version::SettingsTree;
use amaranthscale_standins::backend::BackendFaults;
use amaranthscale_standins::deployment::{BackendKind, Deployment, DeploymentPlan};
use amaranthscale_standins::engine::{EngineExecution, EngineSettings};
use amaranthscale_standins::http::HttpClient;
use amaranthscale_standins::service::ServiceSettings;
use serde_json::{Value, json};
use support::{MILL_ACCOUNTS_KEY, set_faults, wait_until};
use tokio::task::JoinSet;

/// Settings tree of the Delta Basin example.
const TREE: &str = include_str!("../../../examples/delta-basin/tree.json");
/// Requests after which the entry knows a service's typical latency.
const WARM_UP: u32 = 30;
/// Concurrent requests; enough that each of the two servers gets some of them.
const CONCURRENT_REQUESTS: u32 = 4;
/// Few, so that one request in flight makes the router consider the other server.
const SLOTS: u32 = 2;
/// Slows a call of some milliseconds beyond every deadline.
const STUCK_FACTOR: f64 = 100_000.0;
/// Slows a call of some milliseconds well above its typical latency; it still ends.
const SLOW_FACTOR: f64 = 100.0;

/// Long enough on a busy host; a stuck call takes longer.
const DEADLINE_MS: &str = "30000";

const ENCODING: &str = "/v1/services/encoders/run/encoding";
const SETTLEMENTS: &str = "/v1/services/grower-ledger/settlements";

async fn start_deployment(service: &str, kind: BackendKind) -> Deployment {
    let tree = SettingsTree::from_json(TREE).unwrap();
    let plan = DeploymentPlan::new(tree).with_backends(service.parse().unwrap(), kind, 2, SLOTS);
    Deployment::start(plan).await.unwrap()
}

fn first_entry(deployment: &Deployment) -> SocketAddr {
    deployment.entries().next().unwrap()
}

async fn send_request(entry: SocketAddr, path: &str, key: String) -> Value {
    let bearer = format!("Bearer {MILL_ACCOUNTS_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", key.as_str()),
        ("content-type", "application/json"),
        ("x-deadline-ms", DEADLINE_MS),
    ];
    let body = json!({"marker": key}).to_string();
    let url = format!("http://{entry}{path}");
    let reply = HttpClient::new().post(url, &headers, body).await.unwrap();
    reply.success().unwrap().json().unwrap()
}

async fn send_concurrently(entry: SocketAddr, path: &'static str, name: &str) -> Vec<Value> {
    let mut tasks = JoinSet::new();
    for number in 0..CONCURRENT_REQUESTS {
        tasks.spawn(send_request(entry, path, format!("{name}-{number}")));
    }
    tasks.join_all().await
}

async fn warm_up(entry: SocketAddr, path: &str) {
    for number in 0..WARM_UP {
        send_request(entry, path, format!("warm-{number}")).await;
    }
}

async fn counter(entry: SocketAddr, name: &str) -> u64 {
    let url = format!("http://{entry}/status");
    let status: Value = HttpClient::new().get_json(url).await.unwrap();
    status["counters"][name].as_u64().unwrap_or_default()
}

async fn slow_down(server: SocketAddr, slow_factor: f64) {
    let faults = BackendFaults {
        slow_factor: Some(slow_factor),
        ..BackendFaults::default()
    };
    let url = format!("http://{server}/admin/faults");
    set_faults(&HttpClient::new(), url, &faults).await;
}

async fn executions(engine: SocketAddr) -> Vec<EngineExecution> {
    let url = format!("http://{engine}/executions");
    HttpClient::new().get_json(url).await.unwrap()
}

async fn running_count(engine: SocketAddr) -> u64 {
    let url = format!("http://{engine}/load");
    let load: Value = HttpClient::new().get_json(url).await.unwrap();
    load["running"].as_u64().unwrap()
}

fn call_id(answer: &Value) -> &str {
    answer["call_id"].as_str().unwrap()
}

/// Returns the request ids of the executions: call ids without the attempt's number.
fn request_ids<'a>(executions: impl Iterator<Item = &'a EngineExecution>) -> BTreeSet<&'a str> {
    let request = |execution: &'a EngineExecution| {
        let call = execution.call_id.as_str();
        call.rsplit_once('/').unwrap().0
    };
    executions.map(request).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_stuck_engine_are_answered_by_the_other_engine() {
    // One of two encoders gets stuck, and its requests would miss their deadline although the
    // other encoder is idle. Once an attempt takes longer than nearly all earlier ones, a second
    // attempt must go to the other encoder, its answer to the caller, and the stuck attempt must
    // be cancelled.
    let engine = BackendKind::Engine(EngineSettings::default());
    let deployment = start_deployment("encoders", engine).await;
    let entry = first_entry(&deployment);
    let [stuck, healthy] = [0, 1].map(|number| deployment.backends()[number].backend_address());
    warm_up(entry, ENCODING).await;
    let before = executions(stuck).await.len();
    let won_before = counter(entry, "hedge.won").await;
    slow_down(stuck, STUCK_FACTOR).await;

    let mut answers = Vec::new();
    wait_until("a request at the stuck encoder is answered", async || {
        answers.extend(send_concurrently(entry, ENCODING, "truck").await);
        counter(entry, "hedge.won").await > won_before
    })
    .await;

    wait_until("the stuck attempts are cancelled", async || {
        running_count(stuck).await == 0
    })
    .await;
    let lost = executions(stuck).await.split_off(before);
    let done = executions(healthy).await;
    let finished = request_ids(done.iter().filter(|execution| execution.finished));
    assert!(lost.iter().all(|execution| !execution.finished));
    assert!(request_ids(lost.iter()).is_subset(&finished));
    let calls: BTreeSet<_> = answers.iter().map(call_id).collect();
    assert_eq!(calls.len(), answers.len(), "one execution per answer");
    let ran_at_healthy = |call: &&str| {
        done.iter()
            .any(|execution| execution.call_id.as_str() == *call)
    };
    assert!(calls.iter().all(ran_at_healthy), "{calls:?}");
    let sent = counter(entry, "hedge.sent").await;
    assert_eq!(counter(entry, "attempt.cancelled").await, sent);
    slow_down(stuck, 1.0).await;
    assert!(deployment.stop().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_settlement_is_never_hedged() {
    // A service whose calls must not be repeated slows down. A second attempt beside a slow
    // settlement would pay twice, so the caller waits for the first and each settlement runs once.
    let ledger = BackendKind::Service(ServiceSettings::default());
    let deployment = start_deployment("grower-ledger", ledger).await;
    let entry = first_entry(&deployment);
    warm_up(entry, SETTLEMENTS).await;
    for ledger in deployment.backends() {
        slow_down(ledger.backend_address(), SLOW_FACTOR).await;
    }

    let answers = send_concurrently(entry, SETTLEMENTS, "load").await;

    let calls: BTreeSet<_> = answers.iter().map(call_id).collect();
    assert_eq!(calls.len(), answers.len(), "one execution per answer");
    let mut runs = 0;
    for ledger in deployment.backends() {
        let url = format!("http://{}/executions", ledger.backend_address());
        let executions: Vec<Value> = HttpClient::new().get_json(url).await.unwrap();
        runs += executions.len();
    }
    assert_eq!(
        runs,
        usize::try_from(WARM_UP + CONCURRENT_REQUESTS).unwrap()
    );
    assert_eq!(counter(entry, "hedge.sent").await, 0);
    assert!(deployment.stop().await);
}
