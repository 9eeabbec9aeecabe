//! Leaving and graceful stop of a sidecar.
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
    Fixture, LAST_LINES, fetch, fixture, fixture_with, hello, new_entry, open, read_to_end, ticket,
};

/// Refused table calls after which a stop that does not wait for outcomes would have ended; more
/// than the write of the costs makes.
const TABLE_TRIES: usize = 9;

/// Number of new connections after which a stop that does not wait would have closed the listener.
const CONNECTIONS_DURING_STOP: usize = 30;

fn reading(row: &Row) -> ClaimStatus {
    read_claim(row, &ticket().fingerprint)
}

async fn leave(fixture: &Fixture) {
    let response = fixture.entry.post(fixture.address(), "/leave", "").await;
    assert_eq!(response.unwrap().status(), StatusCode::OK);
}

async fn wait_until_leaving(entry: &PeerClient, address: SocketAddr) {
    while !hello(entry, address).await.is_leaving {
        tokio::task::yield_now().await;
    }
}

/// Starts an attempt and waits until its blocked call has reached the backend server.
async fn start_blocked_call(fixture: &Fixture, dispatch: &Dispatch) -> FrameReader {
    let frames = fixture.open(dispatch).await;
    fixture.backend.wait_for_calls(1).await;
    frames
}

/// A backend server leaves while one attempt runs and one is queued. New attempts must be refused
/// at once, the queued one must be refused as not run after the grace period, so that it is sent
/// elsewhere in time, and the running one must end.
#[tokio::test]
async fn leaving_refuses_new_and_queued_attempts() {
    let fixture = fixture_with(|config| config.limits.leave_grace = Duration::ZERO).await;
    let running = fixture.attempt(1, "/held");
    let running_frames = start_blocked_call(&fixture, &running).await;
    let queued = fixture.attempt(2, "/echo");
    let queued_frames = fixture.open(&queued).await;
    fixture
        .wait_for_stamp(|stamp| stamp.load.queued_paid == 1)
        .await;

    leave(&fixture).await;
    let refused = fixture.run(&fixture.attempt(3, "/echo")).await;
    let refused_in_queue = read_to_end(queued_frames, queued.attempt, 0).await;
    fixture.backend.release_call();
    let ended = read_to_end(running_frames, running.attempt, 0).await;

    assert_eq!(refused.code(), ResultCode::Leaving);
    assert_eq!(refused_in_queue.code(), ResultCode::Leaving);
    assert_eq!(ended.code(), ResultCode::Complete);
    assert!(fixture.hello().await.is_leaving);
    assert_eq!(fixture.backend.calls().len(), 1);
}

/// A backend server leaves with a short queue. Queued attempts may start within the grace period
/// and need not be sent elsewhere.
#[tokio::test]
async fn leaving_runs_a_short_queue_within_the_grace_period() {
    let fixture = fixture_with(|config| config.limits.leave_grace = Duration::from_mins(1)).await;
    let running = fixture.attempt(1, "/held");
    let running_frames = start_blocked_call(&fixture, &running).await;
    let queued = fixture.attempt(2, "/echo");
    let queued_frames = fixture.open(&queued).await;
    fixture
        .wait_for_stamp(|stamp| stamp.load.queued_paid == 1)
        .await;

    leave(&fixture).await;
    let refused = fixture.run(&fixture.attempt(3, "/echo")).await;
    fixture.backend.release_call();
    read_to_end(running_frames, running.attempt, 0).await;
    let queued_answer = read_to_end(queued_frames, queued.attempt, 0).await;

    assert_eq!(refused.code(), ResultCode::Leaving);
    assert_eq!(queued_answer.code(), ResultCode::Complete);
    assert_eq!(fixture.backend.calls().len(), 2);
}

/// Guards against a truncated stream when an operator stops the sidecar: the stop must wait for the
/// end of the stream.
#[tokio::test]
async fn graceful_stop_waits_for_a_stream_to_end() {
    let fixture = fixture().await;
    let dispatch = fixture.attempt(1, "/stream");
    let mut frames = fixture.open(&dispatch).await;
    frames.next().await.unwrap();
    let address = fixture.address();
    let Fixture {
        sidecar,
        backend,
        entry,
        ..
    } = fixture;

    let stopping = tokio::spawn(sidecar.stop());
    wait_until_leaving(&entry, address).await;
    backend.release_call();
    let rest = read_to_end(frames, dispatch.attempt, 1).await;

    assert_eq!(rest.code(), ResultCode::Complete);
    assert_eq!(rest.result, LAST_LINES);
    assert!(stopping.await.unwrap());
}

/// Guards against a truncated stream when the entry's connection is lost during a stop. No stream
/// is open then, but the attempt still runs, so the sidecar must continue and accept the new
/// connection on which the entry fetches the rest.
#[tokio::test]
async fn graceful_stop_waits_for_a_fetch() {
    let fixture = fixture().await;
    let dispatch = fixture.attempt(1, "/stream");
    let mut frames = open(&new_entry(), fixture.address(), &dispatch).await;
    frames.next().await.unwrap();
    drop(frames);
    let address = fixture.address();
    let Fixture {
        sidecar, backend, ..
    } = fixture;

    let stopping = tokio::spawn(sidecar.stop());
    for _connection in 0..CONNECTIONS_DURING_STOP {
        wait_until_leaving(&new_entry(), address).await;
    }
    let rest = fetch(&new_entry(), address, &dispatch, 1).await;
    backend.release_call();
    let rest = read_to_end(rest, dispatch.attempt, 1).await;

    assert_eq!(rest.code(), ResultCode::Complete);
    assert_eq!(rest.result, LAST_LINES);
    assert!(stopping.await.unwrap());
}

/// Guards against losing an outcome that is only in memory when an operator stops the sidecar while
/// the table is down: the stop must wait for the table.
#[tokio::test]
async fn graceful_stop_waits_for_the_outcome_to_be_stored() {
    let fixture = fixture().await;
    let key = ticket().key.to_string();
    let dispatch = fixture.claimed(1, "/held");
    let frames = start_blocked_call(&fixture, &dispatch).await;
    fixture.table.set_down(true);
    fixture.backend.release_call();
    read_to_end(frames, dispatch.attempt, 0).await;
    let address = fixture.address();
    let Fixture {
        sidecar,
        table,
        entry,
        ..
    } = fixture;

    let stopping = tokio::spawn(sidecar.stop());
    wait_until_leaving(&entry, address).await;
    table.wait_for_refusals(TABLE_TRIES).await;
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

/// A backend server hangs while the sidecar is being stopped. The stop must end at its timeout and
/// report unfinished work.
#[tokio::test]
async fn stop_ends_at_its_timeout() {
    let fixture =
        fixture_with(|config| config.limits.drain_timeout = Duration::from_millis(50)).await;
    let dispatch = fixture.attempt(1, "/held");
    let _frames = start_blocked_call(&fixture, &dispatch).await;
    let Fixture { sidecar, .. } = fixture;

    let is_clean = sidecar.stop().await;

    assert!(!is_clean);
}
