//! What a sidecar lets end when it leaves or stops.
#![expect(
    clippy::unwrap_used,
    reason = "fixtures fail by panicking, like the tests that use them"
)]

#[path = "support/sidecar_support.rs"]
mod sidecar_support;

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale::connection::{FrameReader, PeerClient};
use amaranthscale_core::ResultCode;
use amaranthscale_core::request::{ClaimStatus, read_claim};
use amaranthscale_core::wire::{Dispatch, Row};
use hyper::StatusCode;
use sidecar_support::{
    Bench, LAST_LINES, bench, bench_with, fetch, hello, new_entry, open, ticket, whole,
};

/// Refused calls after which a stop that does not wait for outcomes would have ended: more than
/// it takes to write the costs.
const TABLE_TRIES: usize = 9;

/// New connections that a stop which does not wait would no longer take.
const CONNECTIONS_DURING_STOP: usize = 30;

fn reading(row: &Row) -> ClaimStatus {
    read_claim(row, &ticket().fingerprint)
}

async fn leave(bench: &Bench) {
    let response = bench.entry.post(bench.address(), "/leave", "").await;
    assert_eq!(response.unwrap().status(), StatusCode::OK);
}

async fn until_leaving(entry: &PeerClient, address: SocketAddr) {
    while !hello(entry, address).await.is_leaving {
        tokio::task::yield_now().await;
    }
}

/// Runs an attempt whose call is held, up to the call.
async fn start_held(bench: &Bench, dispatch: &Dispatch) -> FrameReader {
    let frames = bench.open(dispatch).await;
    bench.backend.called(1).await;
    frames
}

/// A backend server is told to leave while one attempt runs and one waits.
/// It takes nothing new at once. What waits is handed back as not run after the grace, so that it
/// goes elsewhere in time, and what runs is let end.
#[tokio::test]
async fn leaving_takes_nothing_new() {
    let bench = bench_with(|config| config.limits.leave_grace = Duration::ZERO).await;
    let running = bench.attempt(1, "/held");
    let running_frames = start_held(&bench, &running).await;
    let waiting = bench.attempt(2, "/echo");
    let waiting_frames = bench.open(&waiting).await;
    bench.stamp_when(|stamp| stamp.load.queued_paid == 1).await;

    leave(&bench).await;
    let refused = bench.run(&bench.attempt(3, "/echo")).await;
    let handed_back = whole(waiting_frames, waiting.attempt, 0).await;
    bench.backend.let_go();
    let ended = whole(running_frames, running.attempt, 0).await;

    assert_eq!(refused.code(), ResultCode::Leaving);
    assert_eq!(handed_back.code(), ResultCode::Leaving);
    assert_eq!(ended.code(), ResultCode::Complete);
    assert!(bench.hello().await.is_leaving);
    assert_eq!(bench.backend.calls().len(), 1);
}

/// A backend server is told to leave while a short queue waits.
/// What it has admitted may start within the grace; nobody has to go elsewhere for it.
#[tokio::test]
async fn leaving_lets_a_short_queue_run() {
    let bench = bench_with(|config| config.limits.leave_grace = Duration::from_mins(1)).await;
    let running = bench.attempt(1, "/held");
    let running_frames = start_held(&bench, &running).await;
    let waiting = bench.attempt(2, "/echo");
    let waiting_frames = bench.open(&waiting).await;
    bench.stamp_when(|stamp| stamp.load.queued_paid == 1).await;

    leave(&bench).await;
    let refused = bench.run(&bench.attempt(3, "/echo")).await;
    bench.backend.let_go();
    whole(running_frames, running.attempt, 0).await;
    let waited = whole(waiting_frames, waiting.attempt, 0).await;

    assert_eq!(refused.code(), ResultCode::Leaving);
    assert_eq!(waited.code(), ResultCode::Complete);
    assert_eq!(bench.backend.calls().len(), 2);
}

/// An operator stops a sidecar while a summary streams to a caseworker.
/// The caseworker must get the whole summary. The stop waits for the stream's end.
#[tokio::test]
async fn graceful_stop_lets_a_stream_end() {
    let bench = bench().await;
    let dispatch = bench.attempt(1, "/stream");
    let mut frames = bench.open(&dispatch).await;
    frames.next().await.unwrap();
    let address = bench.address();
    let Bench {
        sidecar,
        backend,
        entry,
        ..
    } = bench;

    let stopping = tokio::spawn(sidecar.stop());
    until_leaving(&entry, address).await;
    backend.let_go();
    let rest = whole(frames, dispatch.attempt, 1).await;

    assert_eq!(rest.code(), ResultCode::Complete);
    assert_eq!(rest.result, LAST_LINES);
    assert!(stopping.await.unwrap());
}

/// An operator stops a sidecar while a summary streams, and the entry's connection breaks.
/// No stream is open then, but the summary is still being written. The sidecar goes on and still
/// takes the new connection on which the entry fetches the rest.
#[tokio::test]
async fn graceful_stop_waits_for_a_fetch() {
    let bench = bench().await;
    let dispatch = bench.attempt(1, "/stream");
    let mut frames = open(&new_entry(), bench.address(), &dispatch).await;
    frames.next().await.unwrap();
    drop(frames);
    let address = bench.address();
    let Bench {
        sidecar, backend, ..
    } = bench;

    let stopping = tokio::spawn(sidecar.stop());
    for _connection in 0..CONNECTIONS_DURING_STOP {
        until_leaving(&new_entry(), address).await;
    }
    let rest = fetch(&new_entry(), address, &dispatch, 1).await;
    backend.let_go();
    let rest = whole(rest, dispatch.attempt, 1).await;

    assert_eq!(rest.code(), ResultCode::Complete);
    assert_eq!(rest.result, LAST_LINES);
    assert!(stopping.await.unwrap());
}

/// An operator stops a sidecar while the table is away and a settlement's outcome is unwritten.
/// Stopped at once, the outcome would be lost with the memory. The stop waits for the table.
#[tokio::test]
async fn graceful_stop_waits_for_the_outcome_to_be_kept() {
    let bench = bench().await;
    let key = ticket().key.to_string();
    let dispatch = bench.claimed(1, "/held");
    let frames = start_held(&bench, &dispatch).await;
    bench.table.set_down(true);
    bench.backend.let_go();
    whole(frames, dispatch.attempt, 0).await;
    let address = bench.address();
    let Bench {
        sidecar,
        table,
        entry,
        ..
    } = bench;

    let stopping = tokio::spawn(sidecar.stop());
    until_leaving(&entry, address).await;
    table.refused(TABLE_TRIES).await;
    let has_waited = !stopping.is_finished();
    table.set_down(false);
    let is_clean = stopping.await.unwrap();

    assert!(has_waited);
    assert!(is_clean);
    let row = table.row(&key);
    assert!(
        matches!(reading(&row), ClaimStatus::Finished { .. }),
        "{row:?}"
    );
}

/// A backend server hangs for good while the sidecar is being stopped.
/// The stop does not hang with it: at its bound it says that work was left.
#[tokio::test]
async fn stop_ends_at_its_bound() {
    let bench = bench_with(|config| config.limits.drain_timeout = Duration::from_millis(50)).await;
    let dispatch = bench.attempt(1, "/held");
    let _frames = start_held(&bench, &dispatch).await;
    let Bench { sidecar, .. } = bench;

    let is_clean = sidecar.stop().await;

    assert!(!is_clean);
}
