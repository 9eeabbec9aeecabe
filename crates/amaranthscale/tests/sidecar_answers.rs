//! What becomes of an answer whose reader, time or room is gone.
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
    Bench, FIRST_LINE, LAST_LINES, bench, bench_with, fetch, fetch_within, soon, whole,
};

/// Long enough for the sidecar to drop what it need not keep.
const SEVERAL_TICKS: Duration = Duration::from_millis(400);

/// Waits until the answer of an attempt is no longer kept.
async fn until_forgotten(bench: &Bench, dispatch: &Dispatch) {
    loop {
        // Wants only the end, which any kept answer has.
        let kept = fetch(&bench.entry, bench.address(), dispatch, u64::MAX).await;
        let kept = whole(kept, dispatch.attempt, u64::MAX).await;
        if kept.code() == ResultCode::OutcomeUnknown {
            return;
        }
    }
}

/// Runs an attempt whose call is held, up to the call.
async fn start_held(bench: &Bench, dispatch: &Dispatch) -> FrameReader {
    let frames = bench.open(dispatch).await;
    bench.backend.called(1).await;
    frames
}

/// The connection from the entry breaks in the middle of a stream.
/// The caseworker must get the whole summary. The attempt runs on, and the entry reads the rest
/// on a new connection from the chunk that it misses.
#[tokio::test]
async fn fetch_on_a_new_connection_goes_on() {
    let bench = bench().await;
    let dispatch = bench.attempt(1, "/stream");
    let mut frames = bench.open(&dispatch).await;
    let first = frames.next().await.unwrap();
    drop(frames);

    let rest = bench.fetch(&dispatch, 1).await;
    bench.backend.let_go();
    let rest = whole(rest, dispatch.attempt, 1).await;

    assert!(matches!(first, Frame::Chunk(chunk) if chunk.data == FIRST_LINE));
    assert_eq!(rest.result, LAST_LINES);
    assert_eq!(rest.code(), ResultCode::Complete);
    assert_eq!(bench.backend.calls().len(), 1);
}

/// An entry asks for the answer of an attempt that this sidecar has never seen or has forgotten.
/// Whether it ran cannot be told here; "not run" would let the entry run it twice.
#[tokio::test]
async fn fetch_of_the_forgotten_is_unknown() {
    let bench = bench().await;
    let dispatch = bench.attempt(1, "/echo");

    let fetched = whole(bench.fetch(&dispatch, 0).await, dispatch.attempt, 0).await;

    assert_eq!(fetched.code(), ResultCode::OutcomeUnknown);
}

/// An entry asks for the outcome of a settlement that takes longer than the entry can wait.
/// It hears that the call still runs, not that it is lost, and the call goes on.
#[tokio::test]
async fn fetch_that_runs_out_of_time_says_still_running() {
    let bench = bench().await;
    let dispatch = bench.claimed(1, "/held");
    let frames = start_held(&bench, &dispatch).await;

    let budget = TimeBudget::from_millis(20);
    let fetched = fetch_within(&bench.entry, bench.address(), &dispatch, 0, budget).await;
    let fetched = whole(fetched, dispatch.attempt, 0).await;
    bench.backend.let_go();
    let answer = whole(frames, dispatch.attempt, 0).await;

    assert_eq!(fetched.code(), ResultCode::StillRunning);
    assert_eq!(answer.code(), ResultCode::Complete);
}

/// The deadline passes while a settlement runs, and an entry tries to cancel it.
/// Cut off half-way, nobody would know whether the grower was paid. It runs on to its end, and
/// its outcome can be fetched.
#[tokio::test]
async fn claimed_call_is_never_cut_off() {
    let bench = bench().await;
    let mut dispatch = bench.claimed(1, "/held");
    dispatch.budget = TimeBudget::from_millis(200);
    let frames = start_held(&bench, &dispatch).await;
    let deadline = bench.hello().await.clock.plus(Duration::from_millis(200));
    bench.clock_past(deadline).await;

    let revoked = bench.revoke(&dispatch, true).await;
    bench.backend.let_go();
    let answer = whole(frames, dispatch.attempt, 0).await;

    assert_eq!(revoked, RevokeAnswer::Running);
    assert_eq!(answer.code(), ResultCode::Complete);
    assert_eq!(answer.result, b"truck 17");
}

/// A caller goes away while its summary is being written.
/// The entry revokes the attempt and wants it cancelled, so that the slot serves others.
#[tokio::test]
async fn revocation_cancels_running_work() {
    let bench = bench().await;
    let dispatch = bench.attempt(1, "/held");
    let frames = start_held(&bench, &dispatch).await;

    let revoked = bench.revoke(&dispatch, true).await;
    let ended = whole(frames, dispatch.attempt, 0).await;
    let cancelled = bench.backend.cancelled().await;

    assert_eq!(revoked, RevokeAnswer::Running);
    assert_eq!(ended.code(), ResultCode::Cancelled);
    assert_eq!(cancelled, dispatch.attempt.to_string());
}

/// A backend server slows down, and entries cancel what takes too long there.
/// Measured by the quick survivors alone it would still be reported as fast, and a caller's request
/// would be admitted although it cannot end in time. Cancelled work counts with the time it took.
#[tokio::test]
async fn cancelled_work_counts_in_the_load_report() {
    let bench = bench().await;
    bench.run(&bench.attempt(1, "/echo")).await;
    let before = bench.hello().await;
    let slow = bench.attempt(2, "/held");
    let frames = bench.open(&slow).await;
    bench.backend.called(2).await;
    bench.clock_past(before.clock.plus(SEVERAL_TICKS)).await;

    bench.revoke(&slow, true).await;
    let ended = whole(frames, slow.attempt, 0).await;
    let is_counted = |stamp: &Stamp| stamp.load.service_ms > before.load.service_ms;
    let after = soon(bench.stamp_when(is_counted)).await;

    assert_eq!(ended.code(), ResultCode::Cancelled);
    assert_eq!(after.load.running, 0);
}

/// An entry's connection goes silent while it reads an answer.
/// Its reader is never dropped, so that the answer would stay in memory for good. After its time
/// the answer is dropped under its reader, which sees the stream end early and not a whole answer.
#[tokio::test]
async fn unread_answer_is_dropped_in_its_time() {
    let bench = bench().await;
    let mut dispatch = bench.attempt(1, "/huge");
    dispatch.budget = TimeBudget::from_millis(500);
    let mut frames = bench.open(&dispatch).await;

    until_forgotten(&bench, &dispatch).await;
    let broken = loop {
        match soon(frames.next()).await {
            Ok(Frame::Chunk(_)) => {}
            Ok(Frame::End(end)) => panic!("the answer passes for whole: {end:?}"),
            Err(error) => break error,
        }
    };
    let fetched = whole(bench.fetch(&dispatch, 0).await, dispatch.attempt, 0).await;

    assert!(matches!(broken, FrameError::Truncated), "{broken}");
    assert_eq!(fetched.code(), ResultCode::OutcomeUnknown);
}

/// A faulty engine streams without end.
/// Kept whole, its answer would take the sidecar's memory. Beyond the bound the work is cancelled,
/// and no part of it passes for a whole answer.
#[tokio::test]
async fn result_beyond_its_bound_is_cancelled() {
    let bench = bench_with(|config| config.limits.max_result = ByteSize::from_bytes(1000)).await;

    let ended = bench.run(&bench.attempt(1, "/big")).await;

    assert_eq!(ended.code(), ResultCode::Cancelled);
}

/// Many slots end at once while many attempts wait.
/// Each attempt runs exactly once and gets its own answer, never that of another.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowd_gets_each_its_own_answer() {
    let bench = bench_with(|config| {
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
            ..bench.attempt(number.into(), "/echo")
        })
        .collect();

    let mut sent = Vec::new();
    for dispatch in &attempts {
        sent.push(bench.open(dispatch).await);
    }
    let mut answers = Vec::new();
    for (frames, dispatch) in sent.into_iter().zip(&attempts) {
        answers.push(whole(frames, dispatch.attempt, 0).await);
    }

    for (answer, dispatch) in answers.iter().zip(&attempts) {
        assert_eq!(answer.result, dispatch.input);
    }
    assert_eq!(bench.backend.calls().len(), attempts.len());
}
