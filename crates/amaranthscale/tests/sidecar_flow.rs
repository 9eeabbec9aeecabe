//! Normal operation of a sidecar.
#![expect(
    clippy::unwrap_used,
    reason = "fixtures fail by panicking, like the tests that use them"
)]

#[path = "support/sidecar_support.rs"]
mod sidecar_support;

use std::time::Duration;

use amaranthscale::connection::{FrameReader, read_body};
use amaranthscale::process::settings::SidecarSettings;
use amaranthscale::sidecar::SidecarConfig;
use amaranthscale_core::ResultCode;
use amaranthscale_core::process::{CostTotals, FairQueueLimits};
use amaranthscale_core::request::{ClaimStatus, StoredResult, read_claim};
use amaranthscale_core::unit::Class;
use amaranthscale_core::wire::{self, Frame, TreeReply, TreeRequest};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::StatusCode;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use sidecar_support::{
    FIRST_LINE, Fixture, LAST_LINES, fixture, fixture_with, read_to_end, ticket,
};

async fn get(fixture: &Fixture, path: &str) -> (StatusCode, Bytes) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{}{path}", fixture.address())
        .parse()
        .unwrap();
    let response = client.get(uri).await.unwrap();
    let status = response.status();
    let body = read_body(response.into_body(), 1 << 20, Duration::from_secs(10)).await;
    (status, body.unwrap())
}

async fn status(fixture: &Fixture) -> Value {
    let (_status, body) = get(fixture, "/status").await;
    serde_json::from_slice(&body).unwrap()
}

#[tokio::test]
async fn returns_the_complete_answer() {
    let fixture = fixture().await;

    let answer = fixture.run(&fixture.attempt(1, "/echo")).await;

    assert_eq!(answer.code(), ResultCode::Complete);
    assert_eq!(answer.result, b"truck 17");
    assert_eq!(answer.end.outcome.backend_status, 200);
    assert_eq!(answer.end.stamp.incarnation, fixture.stamp.incarnation);
}

#[tokio::test]
async fn call_headers_identify_the_attempt() {
    let fixture = fixture().await;
    let mut dispatch = fixture.attempt(1, "/echo");
    dispatch.class = Class::Trial;
    dispatch.resume_token = 5;

    fixture.run(&dispatch).await;

    let headers = fixture.backend.headers().remove(0);
    assert_eq!(headers["x-call-id"], dispatch.attempt.to_string());
    assert_eq!(headers["x-organisation"], "delta-basin");
    assert_eq!(headers["x-class"], "trial");
    assert_eq!(headers["x-priority"], "0");
    assert_eq!(headers["x-resume-token"], "5");
}

#[tokio::test]
async fn forwards_a_stream_as_it_grows() {
    let fixture = fixture().await;
    let dispatch = fixture.attempt(1, "/stream");
    let mut frames = fixture.open(&dispatch).await;

    let Frame::Chunk(first) = frames.next().await.unwrap() else {
        panic!("the stream ended before it began");
    };
    fixture.backend.release_call();
    let rest = read_to_end(frames, dispatch.attempt, 1).await;

    assert_eq!(first.data, FIRST_LINE);
    assert_eq!(rest.result, LAST_LINES);
    assert_eq!(rest.end.chunks, 2);
    assert_eq!(rest.end.outcome.cost.tokens, 2);
}

#[tokio::test]
async fn forwards_an_error_of_the_backend_server() {
    let fixture = fixture().await;

    let answer = fixture.run(&fixture.attempt(1, "/fail")).await;

    assert_eq!(answer.code(), ResultCode::BackendFailed);
    assert_eq!(answer.end.outcome.backend_status, 500);
    assert_eq!(answer.result, b"no such truck");
}

#[tokio::test]
async fn not_run_refusal_of_the_backend_server_frees_the_claim() {
    let fixture = fixture().await;

    let answer = fixture.run(&fixture.claimed(1, "/busy")).await;
    let row = fixture.table.row(&ticket().key.to_string());

    assert_eq!(answer.code(), ResultCode::QueueFull);
    assert_eq!(answer.end.outcome.retry_after_ms, Some(2000));
    let reading = read_claim(&row, &ticket().fingerprint);
    assert!(matches!(reading, ClaimStatus::Free { .. }), "{reading:?}");
}

/// Guards against calls to a backend server that has turned one away and wants none for a while.
#[tokio::test]
async fn a_backend_server_that_requests_a_backoff_gets_no_calls() {
    let fixture = fixture().await;
    fixture.run(&fixture.attempt(1, "/busy")).await;
    let calls = fixture.backend.calls().len();

    let answer = fixture.run(&fixture.attempt(2, "/echo")).await;

    assert_eq!(answer.code(), ResultCode::ServersBackingOff);
    let retry_ms = answer.end.outcome.retry_after_ms.unwrap();
    assert!((1_000..=2_000).contains(&retry_ms), "{retry_ms}");
    assert!((1_000..=2_000).contains(&answer.end.stamp.backoff_ms));
    assert_eq!(fixture.backend.calls().len(), calls);
}

/// Guards against queued calls that are sent one by one to a server that turns them all away.
#[tokio::test]
async fn queued_attempts_are_refused_when_the_backend_server_requests_a_backoff() {
    let fixture = fixture().await;
    let running = fixture.open(&fixture.attempt(1, "/held")).await;
    fixture.backend.wait_for_calls(1).await;
    let mut queued = Vec::new();
    for number in 2..=5 {
        let attempt = fixture.attempt(number, "/busy");
        queued.push((fixture.open(&attempt).await, attempt.attempt));
    }

    fixture.backend.release_call();

    let first = read_to_end(running, fixture.attempt(1, "/held").attempt, 0).await;
    assert_eq!(first.code(), ResultCode::Complete);
    let mut codes = Vec::new();
    for (response, attempt) in queued {
        codes.push(read_to_end(response, attempt, 0).await.code());
    }
    codes.sort();
    let backing_off = ResultCode::ServersBackingOff;
    assert_eq!(
        codes,
        [ResultCode::QueueFull, backing_off, backing_off, backing_off]
    );
    assert_eq!(fixture.backend.calls().len(), 2);
}

#[tokio::test]
async fn stores_the_outcome_of_a_claimed_call_in_its_row() {
    let fixture = fixture().await;
    let key = ticket().key.to_string();

    let answer = fixture.run(&fixture.claimed(1, "/echo")).await;
    let is_finished = |row: &amaranthscale_core::wire::Row| row.version.get() == 2;
    let row = fixture.table.wait_for_row(&key, is_finished).await;

    assert_eq!(answer.code(), ResultCode::Complete);
    let ClaimStatus::Finished { outcome, result } = read_claim(&row, &ticket().fingerprint) else {
        panic!("the row does not show the outcome: {row:?}");
    };
    assert_eq!(outcome, answer.end.outcome);
    assert_eq!(result, StoredResult::Inline(b"truck 17".to_vec()));
}

#[tokio::test]
async fn stores_a_large_result_in_the_object_store() {
    let fixture = fixture().await;
    let key = ticket().key.to_string();

    fixture.run(&fixture.claimed(1, "/big")).await;
    let row = fixture
        .table
        .wait_for_row(&key, |row| row.version.get() == 2)
        .await;

    let ClaimStatus::Finished { result, .. } = read_claim(&row, &ticket().fingerprint) else {
        panic!("the row does not show the outcome: {row:?}");
    };
    let StoredResult::Object(object) = result else {
        panic!("the result is in the row");
    };
    assert_eq!(fixture.table.objects()[&object], vec![7_u8; 100_000]);
}

#[tokio::test]
async fn runs_paid_work_before_trial_work() {
    let fixture = fixture().await;
    let first = fixture.open(&fixture.attempt(1, "/held")).await;
    fixture.backend.wait_for_calls(1).await;
    let mut trial = fixture.attempt(2, "/echo");
    trial.class = Class::Trial;
    let paid = fixture.attempt(3, "/echo");

    let trial_frames = fixture.open(&trial).await;
    fixture
        .wait_for_stamp(|stamp| stamp.load.queued_trial == 1)
        .await;
    let paid_frames = fixture.open(&paid).await;
    fixture
        .wait_for_stamp(|stamp| stamp.load.queued_paid == 1)
        .await;
    fixture.backend.release_call();
    read_to_end(first, fixture.attempt(1, "/held").attempt, 0).await;
    read_to_end(trial_frames, trial.attempt, 0).await;
    read_to_end(paid_frames, paid.attempt, 0).await;

    let calls = fixture.backend.calls();
    assert_eq!(
        calls[1..],
        [paid.attempt.to_string(), trial.attempt.to_string()]
    );
}

#[tokio::test]
async fn refuses_attempts_beyond_the_queue_capacity() {
    let fixture = fixture_with(|config| {
        config.limits.queue = FairQueueLimits {
            slots: 1,
            capacity: 1,
            paid_reserve_slots: 0,
        };
    })
    .await;
    let _running = fixture.open(&fixture.attempt(1, "/held")).await;
    fixture.backend.wait_for_calls(1).await;
    let _queued = fixture.open(&fixture.attempt(2, "/held")).await;
    fixture
        .wait_for_stamp(|stamp| stamp.load.queued_paid == 1)
        .await;

    let refused = fixture.run(&fixture.attempt(3, "/echo")).await;

    assert_eq!(refused.code(), ResultCode::QueueFull);
    assert!(refused.end.outcome.retry_after_ms.is_some());
    assert_eq!(fixture.counter("refused.QueueFull"), 1);
}

#[tokio::test]
async fn refuses_an_attempt_for_another_service() {
    let fixture = fixture().await;
    let mut dispatch = fixture.attempt(1, "/echo");
    dispatch.service = "pile-yard".parse().unwrap();

    let refused = fixture.run(&dispatch).await;

    assert_eq!(refused.code(), ResultCode::WrongService);
    assert!(fixture.backend.calls().is_empty());
}

#[tokio::test]
async fn refuses_an_undecodable_message() {
    let fixture = fixture().await;

    let response = fixture
        .entry
        .post(fixture.address(), "/attempt", "no message")
        .await;

    assert_eq!(response.unwrap().status(), StatusCode::BAD_REQUEST);
    assert_eq!(fixture.counter("undecodable.attempt"), 1);
}

#[tokio::test]
async fn writes_costs_as_totals_of_its_incarnation() {
    let fixture = fixture_with(|config| {
        config.limits.cost_write_interval = Duration::from_millis(10);
    })
    .await;

    fixture.run(&fixture.attempt(1, "/echo")).await;
    let rows = fixture.table.wait_for_rows("cost/").await;

    let incarnation = fixture.stamp.incarnation;
    assert_eq!(
        rows[0].key,
        format!("cost/weighbridge-1/{incarnation}/delta-basin/scalehouse")
    );
    let totals: CostTotals = serde_json::from_str(&rows[0].value).unwrap();
    assert_eq!(totals.useful_attempts, 1);
}

#[tokio::test]
async fn status_shows_its_state() {
    let fixture = fixture().await;
    fixture.run(&fixture.attempt(1, "/echo")).await;

    let status_report = status(&fixture).await;
    let (healthz, _) = get(&fixture, "/healthz").await;
    let (readyz, _) = get(&fixture, "/readyz").await;

    assert_eq!(status_report["host"], "weighbridge-1");
    assert_eq!(status_report["load"]["slots"], 1);
    assert_eq!(status_report["gate"]["running"], 0);
    assert_eq!(status_report["counters"]["complete"], 1);
    assert_eq!(status_report["counters"]["control.attempt.messages"], 1);
    assert_eq!(healthz, StatusCode::OK);
    assert_eq!(readyz, StatusCode::OK);
}

#[tokio::test]
async fn answers_a_tree_request_of_a_peer() {
    let fixture = fixture().await;
    let request = TreeRequest {
        from: "entry-1".parse().unwrap(),
        version: fixture.stamp.tree_version,
    };

    let response = fixture
        .entry
        .post(fixture.address(), "/tree/since", wire::encode(&request))
        .await;
    let body = read_body(
        response.unwrap().into_body(),
        1 << 20,
        Duration::from_secs(10),
    )
    .await;

    let reply: TreeReply = wire::decode(body.unwrap()).unwrap();
    assert_eq!(reply, TreeReply::UpToDate(fixture.stamp.tree_version));
}

#[tokio::test]
async fn reads_its_limits_from_settings() {
    let text = "[sidecar]\nhost = s1\nregion = delta-south\nzone = north-yard\n\
                service = scalehouse\nbackend = 127.0.0.1:7100\nplatform = 127.0.0.1:7000\n\
                [queue]\nslots = 3\n[drain]\ndrain_ms = 1500\n";
    let settings = SidecarSettings::parse("sidecar.ini", text).unwrap();

    let config = SidecarConfig::from(&settings);

    assert_eq!(config.service.as_str(), "scalehouse");
    assert_eq!(config.limits.queue.slots, 3);
    assert_eq!(config.limits.drain_timeout, Duration::from_millis(1500));
}

#[tokio::test]
async fn answer_outlives_its_reader() {
    let fixture = fixture().await;
    let dispatch = fixture.attempt(1, "/stream");
    let frames: FrameReader = fixture.open(&dispatch).await;
    fixture.backend.wait_for_calls(1).await;
    drop(frames);
    fixture.backend.release_call();

    let fetched = read_to_end(fixture.fetch(&dispatch, 0).await, dispatch.attempt, 0).await;

    assert_eq!(fetched.code(), ResultCode::Complete);
    assert_eq!(fetched.result, [FIRST_LINE, LAST_LINES].concat());
}
