//! What a sidecar does while nothing fails.
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
use sidecar_support::{Bench, FIRST_LINE, LAST_LINES, bench, bench_with, ticket, whole};

async fn get(bench: &Bench, path: &str) -> (StatusCode, Bytes) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{}{path}", bench.address()).parse().unwrap();
    let response = client.get(uri).await.unwrap();
    let status = response.status();
    let body = read_body(response.into_body(), 1 << 20, Duration::from_secs(10)).await;
    (status, body.unwrap())
}

async fn status(bench: &Bench) -> Value {
    let (_status, body) = get(bench, "/status").await;
    serde_json::from_slice(&body).unwrap()
}

#[tokio::test]
async fn answers_whole() {
    let bench = bench().await;

    let answer = bench.run(&bench.attempt(1, "/echo")).await;

    assert_eq!(answer.code(), ResultCode::Complete);
    assert_eq!(answer.result, b"truck 17");
    assert_eq!(answer.end.outcome.backend_status, 200);
    assert_eq!(answer.end.stamp.incarnation, bench.stamp.incarnation);
}

#[tokio::test]
async fn tells_the_backend_server_whose_call_it_is() {
    let bench = bench().await;
    let mut dispatch = bench.attempt(1, "/echo");
    dispatch.class = Class::Trial;
    dispatch.resume_token = 5;

    bench.run(&dispatch).await;

    let headers = bench.backend.headers().remove(0);
    assert_eq!(headers["x-call-id"], dispatch.attempt.to_string());
    assert_eq!(headers["x-organisation"], "delta-basin");
    assert_eq!(headers["x-class"], "trial");
    assert_eq!(headers["x-priority"], "0");
    assert_eq!(headers["x-resume-token"], "5");
}

#[tokio::test]
async fn passes_a_stream_on_as_it_grows() {
    let bench = bench().await;
    let dispatch = bench.attempt(1, "/stream");
    let mut frames = bench.open(&dispatch).await;

    let Frame::Chunk(first) = frames.next().await.unwrap() else {
        panic!("the stream ended before it began");
    };
    bench.backend.let_go();
    let rest = whole(frames, dispatch.attempt, 1).await;

    assert_eq!(first.data, FIRST_LINE);
    assert_eq!(rest.result, LAST_LINES);
    assert_eq!(rest.end.chunks, 2);
    assert_eq!(rest.end.outcome.cost.tokens, 2);
}

#[tokio::test]
async fn passes_an_error_of_the_backend_server_on() {
    let bench = bench().await;

    let answer = bench.run(&bench.attempt(1, "/fail")).await;

    assert_eq!(answer.code(), ResultCode::BackendFailed);
    assert_eq!(answer.end.outcome.backend_status, 500);
    assert_eq!(answer.result, b"no such truck");
}

#[tokio::test]
async fn believes_a_backend_server_that_says_not_run() {
    let bench = bench().await;

    let answer = bench.run(&bench.claimed(1, "/busy")).await;
    let row = bench.table.row(&ticket().key.to_string());

    assert_eq!(answer.code(), ResultCode::QueueFull);
    assert_eq!(answer.end.outcome.retry_after_ms, Some(2000));
    let reading = read_claim(&row, &ticket().fingerprint);
    assert!(matches!(reading, ClaimStatus::Free { .. }), "{reading:?}");
}

#[tokio::test]
async fn keeps_the_outcome_of_a_claimed_call_in_its_row() {
    let bench = bench().await;
    let key = ticket().key.to_string();

    let answer = bench.run(&bench.claimed(1, "/echo")).await;
    let is_finished = |row: &amaranthscale_core::wire::Row| row.version.get() == 2;
    let row = bench.table.row_when(&key, is_finished).await;

    assert_eq!(answer.code(), ResultCode::Complete);
    let ClaimStatus::Finished { outcome, result } = read_claim(&row, &ticket().fingerprint) else {
        panic!("the row does not show the outcome: {row:?}");
    };
    assert_eq!(outcome, answer.end.outcome);
    assert_eq!(result, StoredResult::Inline(b"truck 17".to_vec()));
}

#[tokio::test]
async fn keeps_a_large_result_in_the_object_store() {
    let bench = bench().await;
    let key = ticket().key.to_string();

    bench.run(&bench.claimed(1, "/big")).await;
    let row = bench
        .table
        .row_when(&key, |row| row.version.get() == 2)
        .await;

    let ClaimStatus::Finished { result, .. } = read_claim(&row, &ticket().fingerprint) else {
        panic!("the row does not show the outcome: {row:?}");
    };
    let StoredResult::Object(object) = result else {
        panic!("the result is in the row");
    };
    assert_eq!(bench.table.objects()[&object], vec![7_u8; 100_000]);
}

#[tokio::test]
async fn runs_paid_work_before_trial_work() {
    let bench = bench().await;
    let first = bench.open(&bench.attempt(1, "/held")).await;
    bench.backend.called(1).await;
    let mut trial = bench.attempt(2, "/echo");
    trial.class = Class::Trial;
    let paid = bench.attempt(3, "/echo");

    let trial_frames = bench.open(&trial).await;
    bench.stamp_when(|stamp| stamp.load.queued_trial == 1).await;
    let paid_frames = bench.open(&paid).await;
    bench.stamp_when(|stamp| stamp.load.queued_paid == 1).await;
    bench.backend.let_go();
    whole(first, bench.attempt(1, "/held").attempt, 0).await;
    whole(trial_frames, trial.attempt, 0).await;
    whole(paid_frames, paid.attempt, 0).await;

    let calls = bench.backend.calls();
    assert_eq!(
        calls[1..],
        [paid.attempt.to_string(), trial.attempt.to_string()]
    );
}

#[tokio::test]
async fn refuses_what_the_queue_cannot_hold() {
    let bench = bench_with(|config| {
        config.limits.queue = FairQueueLimits {
            slots: 1,
            capacity: 1,
            paid_reserve_slots: 0,
        };
    })
    .await;
    let _running = bench.open(&bench.attempt(1, "/held")).await;
    bench.backend.called(1).await;
    let _waiting = bench.open(&bench.attempt(2, "/held")).await;
    bench.stamp_when(|stamp| stamp.load.queued_paid == 1).await;

    let refused = bench.run(&bench.attempt(3, "/echo")).await;

    assert_eq!(refused.code(), ResultCode::QueueFull);
    assert!(refused.end.outcome.retry_after_ms.is_some());
    assert_eq!(bench.counter("refused.QueueFull"), 1);
}

#[tokio::test]
async fn refuses_another_service() {
    let bench = bench().await;
    let mut dispatch = bench.attempt(1, "/echo");
    dispatch.service = "pile-yard".parse().unwrap();

    let refused = bench.run(&dispatch).await;

    assert_eq!(refused.code(), ResultCode::WrongService);
    assert!(bench.backend.calls().is_empty());
}

#[tokio::test]
async fn refuses_what_it_cannot_read() {
    let bench = bench().await;

    let response = bench
        .entry
        .post(bench.address(), "/attempt", "no message")
        .await;

    assert_eq!(response.unwrap().status(), StatusCode::BAD_REQUEST);
    assert_eq!(bench.counter("undecodable.attempt"), 1);
}

#[tokio::test]
async fn writes_costs_as_totals_of_its_life() {
    let bench = bench_with(|config| {
        config.limits.cost_write_interval = Duration::from_millis(10);
    })
    .await;

    bench.run(&bench.attempt(1, "/echo")).await;
    let rows = bench.table.rows_when_any("cost/").await;

    let life = bench.stamp.incarnation;
    assert_eq!(
        rows[0].key,
        format!("cost/weighbridge-1/{life}/delta-basin/scalehouse")
    );
    let totals: CostTotals = serde_json::from_str(&rows[0].value).unwrap();
    assert_eq!(totals.useful_attempts, 1);
}

#[tokio::test]
async fn shows_its_state() {
    let bench = bench().await;
    bench.run(&bench.attempt(1, "/echo")).await;

    let shown = status(&bench).await;
    let (healthz, _) = get(&bench, "/healthz").await;
    let (readyz, _) = get(&bench, "/readyz").await;

    assert_eq!(shown["host"], "weighbridge-1");
    assert_eq!(shown["load"]["slots"], 1);
    assert_eq!(shown["gate"]["running"], 0);
    assert_eq!(shown["counters"]["complete"], 1);
    assert_eq!(shown["counters"]["control.attempt.messages"], 1);
    assert_eq!(healthz, StatusCode::OK);
    assert_eq!(readyz, StatusCode::OK);
}

#[tokio::test]
async fn answers_a_peer_that_asks_for_the_tree() {
    let bench = bench().await;
    let ask = TreeRequest {
        from: "entry-1".parse().unwrap(),
        version: bench.stamp.tree_version,
    };

    let response = bench
        .entry
        .post(bench.address(), "/tree/since", wire::encode(&ask))
        .await;
    let body = read_body(
        response.unwrap().into_body(),
        1 << 20,
        Duration::from_secs(10),
    )
    .await;

    let reply: TreeReply = wire::decode(body.unwrap()).unwrap();
    assert_eq!(reply, TreeReply::UpToDate(bench.stamp.tree_version));
}

#[tokio::test]
async fn takes_its_bounds_from_settings() {
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
async fn an_answer_outlives_its_reader() {
    let bench = bench().await;
    let dispatch = bench.attempt(1, "/stream");
    let frames: FrameReader = bench.open(&dispatch).await;
    bench.backend.called(1).await;
    drop(frames);
    bench.backend.let_go();

    let fetched = whole(bench.fetch(&dispatch, 0).await, dispatch.attempt, 0).await;

    assert_eq!(fetched.code(), ResultCode::Complete);
    assert_eq!(fetched.result, [FIRST_LINE, LAST_LINES].concat());
}
