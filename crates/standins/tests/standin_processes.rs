//! The stand-ins as separate processes, and the signals that tests send them.

#![expect(clippy::unwrap_used, reason = "a fixture that fails ends its test")]

mod support;

use amaranthscale_standins::http::HttpClient;
use hyper::StatusCode;
use serde_json::{Value, json};
use support::{
    ChildProcess, call_headers, join_task, run_round_trips, set_faults, sibling_program,
};

const PLATFORM: &str = env!("CARGO_BIN_EXE_standin-platform");
const ENGINE: &str = env!("CARGO_BIN_EXE_standin-engine");
const SERVICE: &str = env!("CARGO_BIN_EXE_standin-service");
const RELAY: &str = env!("CARGO_BIN_EXE_standin-relay");

fn start(program: &str) -> ChildProcess {
    ChildProcess::start(program, ["--listen", "127.0.0.1:0"]).unwrap()
}

#[tokio::test]
async fn the_platform_serves_requests_and_exits_on_sigterm() {
    let mut platform = start(PLATFORM);

    let url = platform.url("/table/row?key=a%2Fb");
    let row: Value = HttpClient::new().get_json(url).await.unwrap();
    platform.terminate().unwrap();

    assert_eq!(row["key"], "a/b");
    assert_eq!(row["version"], 0);
    assert!(platform.wait().unwrap().success());
}

#[tokio::test]
async fn an_engine_with_the_die_fault_exits_with_code_9() {
    let mut engine = start(ENGINE);

    let body = json!({"die": true}).to_string();
    let url = engine.url("/admin/faults");
    let answer = HttpClient::new().post(url, &[], body).await;

    assert!(answer.is_err());
    assert_eq!(engine.wait().unwrap().code(), Some(9));
}

#[tokio::test]
async fn a_paused_service_answers_once_it_resumes() {
    let mut service = start(SERVICE);
    let url = service.url("/settle");
    // Round trips to a running program give the paused service time in which it could answer.
    let platform = start(PLATFORM);
    let client = HttpClient::new();
    service.pause().unwrap();

    let call =
        tokio::spawn(async move { HttpClient::new().post(url, &call_headers("c1"), "{}").await });
    let other = platform.url("/hosts");
    run_round_trips(async || client.get(&other).await.unwrap()).await;
    let answered_while_paused = call.is_finished();
    service.resume().unwrap();

    assert!(!answered_while_paused);
    assert_eq!(join_task(call).await.unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn a_killed_service_no_longer_answers() {
    let mut service = start(SERVICE);
    let url = service.url("/executions");

    let status = service.kill().unwrap();

    assert!(!status.success());
    assert!(HttpClient::new().get(url).await.is_err());
}

#[tokio::test]
async fn a_relay_prints_its_listen_and_admin_addresses() {
    let service = start(SERVICE);
    let to = service.address().to_string();
    let relay = ChildProcess::start(RELAY, ["--to", to.as_str()]).unwrap();
    let admin = relay.wait_for_address("admin ").unwrap();
    let client = HttpClient::new();

    let faults = json!({"delay_ms": 1});
    set_faults(&client, format!("http://{admin}/admin/faults"), &faults).await;
    let reply = client
        .post(relay.url("/settle"), &call_headers("c1"), "{}")
        .await;

    assert_eq!(reply.unwrap().status, StatusCode::OK);
}

#[test]
fn starting_a_program_that_never_listens_fails() {
    let started = ChildProcess::start(PLATFORM, ["--help"]);

    let error = started.unwrap_err().to_string();
    assert!(error.contains("before the program's end"), "{error}");
}

#[test]
fn the_error_for_a_missing_program_names_the_build_command() {
    let found = sibling_program("standin-platform");
    let missing = sibling_program("no-such-program");

    assert!(found.is_ok(), "{found:?}");
    let error = missing.unwrap_err().to_string();
    assert!(error.contains("cargo build --workspace --bins"), "{error}");
}
