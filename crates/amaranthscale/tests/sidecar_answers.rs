//! Answers whose reader, time or memory limit is exhausted.
#![expect(
    clippy::unwrap_used,
    reason = "fixtures fail by panicking, like the tests that use them"
)]

#[path = "support/sidecar_support.rs"]
mod sidecar_support;

use std::time::Duration;

use amaranthscale::connection::{FrameError, FrameReader};
use amaranthscale_core::ResultCode;
use amaranthscale_core::process::FairQueueLimits;
use amaranthscale_core::unit::{ByteSize, TimeBudget};
use amaranthscale_core::wire::{Dispatch, Frame, RevokeAnswer, Stamp};
use sidecar_support::{
    BreakingBackend, FIRST_LINE, Fixture, LAST_LINES, fetch, fetch_within, fixture, fixture_with,
    read_to_end, with_timeout,
};

/// Long enough for the sidecar to evict answers that have expired.
const SEVERAL_TICKS: Duration = Duration::from_millis(400);

/// Waits until the answer of an attempt is evicted.
async fn wait_until_evicted(fixture: &Fixture, dispatch: &Dispatch) {
    loop {
        // Fetches only the end, which every retained answer has.
        let fetched = fetch(&fixture.entry, fixture.address(), dispatch, u64::MAX).await;
        let fetched = read_to_end(fetched, dispatch.attempt, u64::MAX).await;
        if fetched.code() == ResultCode::OutcomeUnknown {
            return;
        }
    }
}

/// Starts an attempt and waits until its blocked call has reached the backend server.
async fn start_blocked_call(fixture: &Fixture, dispatch: &Dispatch) -> FrameReader {
    let frames = fixture.open(dispatch).await;
    fixture.backend.wait_for_calls(1).await;
    frames
}

/// Guards against a truncated stream after the entry's connection was lost in the middle. The
/// attempt must continue, and the entry must be able to fetch the rest on a new connection from the
/// first missing chunk.
#[tokio::test]
async fn fetch_on_a_new_connection_resumes_the_answer() {
    let fixture = fixture().await;
    let dispatch = fixture.attempt(1, "/stream");
    let mut frames = fixture.open(&dispatch).await;
    let first = frames.next().await.unwrap();
    drop(frames);

    let rest = fixture.fetch(&dispatch, 1).await;
    fixture.backend.release_call();
    let rest = read_to_end(rest, dispatch.attempt, 1).await;

    assert!(matches!(first, Frame::Chunk(chunk) if chunk.data == FIRST_LINE));
    assert_eq!(rest.result, LAST_LINES);
    assert_eq!(rest.code(), ResultCode::Complete);
    assert_eq!(fixture.backend.calls().len(), 1);
}

/// Guards against reporting "not run" for an attempt that is unknown here, either never received or
/// already evicted: whether it ran is unknown, and "not run" would let the entry run it twice.
#[tokio::test]
async fn fetch_of_an_unknown_attempt_has_unknown_outcome() {
    let fixture = fixture().await;
    let dispatch = fixture.attempt(1, "/echo");

    let fetched = read_to_end(fixture.fetch(&dispatch, 0).await, dispatch.attempt, 0).await;

    assert_eq!(fetched.code(), ResultCode::OutcomeUnknown);
}

/// Guards against reporting a call as lost because a fetch of its outcome ran out of time: the
/// fetch must report that the call is still running, and the call continues.
#[tokio::test]
async fn fetch_that_times_out_reports_still_running() {
    let fixture = fixture().await;
    let dispatch = fixture.claimed(1, "/held");
    let frames = start_blocked_call(&fixture, &dispatch).await;

    let budget = TimeBudget::from_millis(20);
    let fetched = fetch_within(&fixture.entry, fixture.address(), &dispatch, 0, budget).await;
    let fetched = read_to_end(fetched, dispatch.attempt, 0).await;
    fixture.backend.release_call();
    let answer = read_to_end(frames, dispatch.attempt, 0).await;

    assert_eq!(fetched.code(), ResultCode::StillRunning);
    assert_eq!(answer.code(), ResultCode::Complete);
}

/// Guards against aborting a settlement whose deadline passes or which an entry tries to cancel: it
/// would be unknown whether it was paid. It must run to its end, and its outcome can be fetched.
#[tokio::test]
async fn claimed_call_is_never_cancelled() {
    let fixture = fixture().await;
    let mut dispatch = fixture.claimed(1, "/held");
    dispatch.budget = TimeBudget::from_millis(200);
    let frames = start_blocked_call(&fixture, &dispatch).await;
    let deadline = fixture.hello().await.clock.plus(Duration::from_millis(200));
    fixture.wait_for_clock(deadline).await;

    let revoked = fixture.revoke(&dispatch, true).await;
    fixture.backend.release_call();
    let answer = read_to_end(frames, dispatch.attempt, 0).await;

    assert_eq!(revoked, RevokeAnswer::Running);
    assert_eq!(answer.code(), ResultCode::Complete);
    assert_eq!(answer.result, b"truck 17");
}

/// A caller disconnects while its attempt runs. The entry revokes the attempt and asks for its
/// cancellation, which must free the slot.
#[tokio::test]
async fn revocation_cancels_running_work() {
    let fixture = fixture().await;
    let dispatch = fixture.attempt(1, "/held");
    let frames = start_blocked_call(&fixture, &dispatch).await;

    let revoked = fixture.revoke(&dispatch, true).await;
    let ended = read_to_end(frames, dispatch.attempt, 0).await;
    let cancelled = fixture.backend.wait_for_cancellation().await;

    assert_eq!(revoked, RevokeAnswer::Running);
    assert_eq!(ended.code(), ResultCode::Cancelled);
    assert_eq!(cancelled, dispatch.attempt.to_string());
}

/// Guards against a slow backend server that is reported as fast. It happens when entries cancel
/// slow work and only the fast rest is measured; requests would then be admitted that cannot end in
/// time. Cancelled work must count with the time it took.
#[tokio::test]
async fn cancelled_work_counts_in_the_load_report() {
    let fixture = fixture().await;
    fixture.run(&fixture.attempt(1, "/echo")).await;
    let before = fixture.hello().await;
    let slow = fixture.attempt(2, "/held");
    let frames = fixture.open(&slow).await;
    fixture.backend.wait_for_calls(2).await;
    fixture
        .wait_for_clock(before.clock.plus(SEVERAL_TICKS))
        .await;

    fixture.revoke(&slow, true).await;
    let ended = read_to_end(frames, slow.attempt, 0).await;
    let is_counted = |stamp: &Stamp| stamp.load.service_ms > before.load.service_ms;
    let after = with_timeout(fixture.wait_for_stamp(is_counted)).await;

    assert_eq!(ended.code(), ResultCode::Cancelled);
    assert_eq!(after.load.running, 0);
}

/// Guards against an answer that stays in memory forever because its reader's connection is dead
/// and the reader is never dropped. The answer must be evicted when its retention ends, and the
/// reader must see a truncated stream, not a complete answer.
#[tokio::test]
async fn unread_answer_is_evicted_when_its_retention_ends() {
    let fixture = fixture().await;
    let mut dispatch = fixture.attempt(1, "/huge");
    dispatch.budget = TimeBudget::from_millis(500);
    let mut frames = fixture.open(&dispatch).await;

    wait_until_evicted(&fixture, &dispatch).await;
    let broken = loop {
        match with_timeout(frames.next()).await {
            Ok(Frame::Chunk(_)) => {}
            Ok(Frame::End(end)) => panic!("the answer appears complete: {end:?}"),
            Err(error) => break error,
        }
    };
    let fetched = read_to_end(fixture.fetch(&dispatch, 0).await, dispatch.attempt, 0).await;

    assert!(matches!(broken, FrameError::Truncated), "{broken}");
    assert_eq!(fetched.code(), ResultCode::OutcomeUnknown);
}

/// Guards against an engine whose endless stream exhausts the sidecar's memory. Beyond the size
/// limit the work must be cancelled, and no part of it may appear as a complete answer.
#[tokio::test]
async fn result_beyond_the_size_limit_is_cancelled() {
    let fixture =
        fixture_with(|config| config.limits.max_result = ByteSize::from_bytes(1000)).await;

    let ended = fixture.run(&fixture.attempt(1, "/big")).await;

    assert_eq!(ended.code(), ResultCode::Cancelled);
}

/// Guards against mixed-up answers when many attempts end at once while many others are queued.
/// Each attempt must run exactly once and get its own answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_attempts_get_their_own_answers() {
    let fixture = fixture_with(|config| {
        config.limits.queue = FairQueueLimits {
            slots: 4,
            capacity: 256,
            paid_reserve_slots: 0,
        };
    })
    .await;
    let attempts: Vec<Dispatch> = (0..200_u32)
        .map(|number| Dispatch {
            input: format!("truck {number}").into_bytes(),
            ..fixture.attempt(number.into(), "/echo")
        })
        .collect();

    let mut sent = Vec::new();
    for dispatch in &attempts {
        sent.push(fixture.open(dispatch).await);
    }
    let mut answers = Vec::new();
    for (frames, dispatch) in sent.into_iter().zip(&attempts) {
        answers.push(read_to_end(frames, dispatch.attempt, 0).await);
    }

    for (answer, dispatch) in answers.iter().zip(&attempts) {
        assert_eq!(answer.result, dispatch.input);
    }
    assert_eq!(fixture.backend.calls().len(), attempts.len());
}

/// Runs an attempt at a backend server that sends these bytes and closes the connection.
async fn run_at(answer: &'static [u8], crashes: bool) -> ResultCode {
    let backend = BreakingBackend::start_with(answer, crashes).await;
    let fixture = fixture_with(|config| config.backend = backend.address()).await;
    fixture.run(&fixture.attempt(1, "/echo")).await.code()
}

/// Guards against half a result that looks complete because the backend server crashed.
#[tokio::test]
async fn a_close_delimited_answer_is_complete_only_if_its_backend_server_runs_on() {
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nmaybe half";

    assert_eq!(run_at(ANSWER, false).await, ResultCode::Complete);
    assert_eq!(run_at(ANSWER, true).await, ResultCode::BackendBroke);
}

/// Guards against a stream that looks complete without its end line.
#[tokio::test]
async fn a_close_delimited_stream_is_complete_only_with_its_end_line() {
    const WHOLE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\r\n\
        one\ntwo\n{\"end\":{}}\n";
    const SHORT: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\r\n\
        one\ntwo\n";

    assert_eq!(run_at(WHOLE, false).await, ResultCode::Complete);
    assert_eq!(run_at(SHORT, false).await, ResultCode::BackendBroke);
}

/// Largest result in the tests of answers that never end.
const MAX_RESULT_BYTES: u64 = 64 * 1024;
/// Bytes that are read of an answer that never ends, and those that sockets hold.
const MAX_READ_BYTES: usize = 12 * 1024 * 1024;

/// Answers that never end: what is sent first, and what is sent again and again.
fn endless_answers() -> Vec<(&'static [u8], &'static [u8])> {
    const PART: &[u8] = &[b'x'; 4_000];
    const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    vec![
        (b"HTTP/1.1 200 OK\r\nX-Long: ", PART),
        (b"HTTP/1.1 200 OK\r\n", b"X-More: more\r\n"),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", PART),
        (CHUNKED, b"4\r\nmore\r\n"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
            PART,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            b"X-More: more\r\n",
        ),
    ]
}

/// Guards against a slot and a processor that are held by an answer without end.
#[tokio::test]
async fn answers_without_end_are_given_up() {
    for (answer, part) in endless_answers() {
        let backend = BreakingBackend::start_endless(answer, part).await;
        let fixture = fixture_with(|config| {
            config.backend = backend.address();
            config.limits.max_result = ByteSize::from_bytes(MAX_RESULT_BYTES);
        })
        .await;

        let repeatable = with_timeout(fixture.run(&fixture.attempt(1, "/echo"))).await;
        let claimed = with_timeout(fixture.run(&fixture.claimed(2, "/echo"))).await;

        let text = String::from_utf8_lossy(answer);
        assert_ne!(repeatable.code(), ResultCode::Complete, "{text}");
        assert_eq!(claimed.code(), ResultCode::OutcomeUnknown, "{text}");
        assert_eq!(backend.calls(), 2, "{text}");
        let read = backend.endless_bytes();
        assert!(read <= MAX_READ_BYTES, "{text}: {read}");
    }
}
