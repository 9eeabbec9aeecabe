//! Duplicate, revoked, expired and misdirected attempts at a sidecar.
#![expect(
    clippy::unwrap_used,
    reason = "fixtures fail by panicking, like the tests that use them"
)]

#[path = "support/sidecar_support.rs"]
mod sidecar_support;

use std::time::Duration;

use amaranthscale::connection::FrameReader;
use amaranthscale_core::ResultCode;
use amaranthscale_core::unit::{SidecarClock, TimeBudget};
use amaranthscale_core::wire::{Dispatch, RevokeAnswer};
use sidecar_support::{Fixture, fixture, read_to_end};

/// Long enough for the sidecar to process several ticks.
const SEVERAL_TICKS: Duration = Duration::from_millis(400);

/// Starts an attempt and waits until its blocked call has reached the backend server.
async fn start_blocked_call(fixture: &Fixture, dispatch: &Dispatch) -> FrameReader {
    let frames = fixture.open(dispatch).await;
    fixture.backend.wait_for_calls(1).await;
    frames
}

/// Guards against running an attempt twice that the network or a faulty entry delivers twice. The
/// ledger must refuse further deliveries, both while the first one runs and afterwards.
#[tokio::test]
async fn duplicate_dispatch_runs_once() {
    let fixture = fixture().await;
    let dispatch = fixture.attempt(1, "/held");
    let first = start_blocked_call(&fixture, &dispatch).await;

    let second = fixture.run(&dispatch).await;
    fixture.backend.release_call();
    let first = read_to_end(first, dispatch.attempt, 0).await;
    let third = fixture.run(&dispatch).await;

    assert_eq!(second.code(), ResultCode::DuplicateAttempt);
    assert_eq!(third.code(), ResultCode::DuplicateAttempt);
    assert_eq!(first.code(), ResultCode::Complete);
    assert_eq!(fixture.backend.calls().len(), 1);
}

/// Guards against running work twice that an entry has revoked while it was queued and sent
/// elsewhere. The revocation must remove the attempt from the queue and end its answer.
#[tokio::test]
async fn attempt_revoked_in_the_queue_never_runs() {
    let fixture = fixture().await;
    let running = fixture.attempt(1, "/held");
    let running_frames = start_blocked_call(&fixture, &running).await;
    let queued = fixture.attempt(2, "/echo");
    let queued_frames = fixture.open(&queued).await;
    fixture
        .wait_for_stamp(|stamp| stamp.load.queued_paid == 1)
        .await;

    let answer = fixture.revoke(&queued, false).await;
    fixture.backend.release_call();
    read_to_end(running_frames, running.attempt, 0).await;
    let ended = read_to_end(queued_frames, queued.attempt, 0).await;

    assert_eq!(answer, RevokeAnswer::Revoked);
    assert_eq!(ended.code(), ResultCode::AttemptRevoked);
    assert_eq!(fixture.backend.calls().len(), 1);
}

/// Guards against running work twice when a revocation overtakes a delayed dispatch on another
/// connection. The entry is told "not run" and repeats the work elsewhere, so the dispatch must not
/// run when it arrives later.
#[tokio::test]
async fn attempt_revoked_before_its_arrival_never_runs() {
    let fixture = fixture().await;
    let dispatch = fixture.attempt(1, "/echo");

    let answer = fixture.revoke(&dispatch, false).await;
    let late = fixture.run(&dispatch).await;

    assert_eq!(answer, RevokeAnswer::Revoked);
    assert_eq!(late.code(), ResultCode::AttemptRevoked);
    assert!(fixture.backend.calls().is_empty());
}

/// Guards against running an attempt that the sidecar's previous incarnation may have run before a
/// restart. The new incarnation must refuse it and must not report that it did not run.
#[tokio::test]
async fn attempt_for_another_incarnation_is_refused() {
    let fixture = fixture().await;
    let mut dispatch = fixture.attempt(1, "/echo");
    dispatch.incarnation = fixture.other_incarnation();

    let refused = fixture.run(&dispatch).await;
    let revoked = fixture.revoke(&dispatch, false).await;
    let fetched = read_to_end(fixture.fetch(&dispatch, 0).await, dispatch.attempt, 0).await;

    assert_eq!(refused.code(), ResultCode::WrongIncarnation);
    assert_eq!(revoked, RevokeAnswer::OtherIncarnation);
    assert_eq!(fetched.code(), ResultCode::OutcomeUnknown);
    assert!(fixture.backend.calls().is_empty());
}

/// Guards against running an attempt that an entry sends long after its expiry, for instance
/// because the entry was frozen for an hour. Its caller has been answered, so the work would be
/// wasted or done twice.
#[tokio::test]
async fn expired_attempt_never_runs() {
    let fixture = fixture().await;
    let mut dispatch = fixture.attempt(1, "/echo");
    dispatch.expiry = SidecarClock::from_millis(1);
    fixture.wait_for_clock(dispatch.expiry).await;

    let refused = fixture.run(&dispatch).await;
    let revoked = fixture.revoke(&dispatch, false).await;

    assert_eq!(refused.code(), ResultCode::AttemptExpired);
    assert_eq!(revoked, RevokeAnswer::Forgotten);
    assert!(fixture.backend.calls().is_empty());
}

/// Guards against starting an attempt whose deadline has passed in the queue. It must be refused
/// when the deadline passes and must not run when the only slot becomes free afterwards.
#[tokio::test]
async fn attempt_is_refused_when_its_deadline_passes_in_the_queue() {
    let fixture = fixture().await;
    let running = fixture.attempt(1, "/held");
    let running_frames = start_blocked_call(&fixture, &running).await;
    let mut queued = fixture.attempt(2, "/echo");
    queued.budget = TimeBudget::from_millis(50);

    let refused = fixture.run(&queued).await;
    fixture.backend.release_call();
    read_to_end(running_frames, running.attempt, 0).await;

    assert_eq!(refused.code(), ResultCode::ExpiredInQueue);
    assert_eq!(fixture.backend.calls().len(), 1);
}

/// Guards against starting an attempt when the remaining time is only enough for the later stages:
/// it would use a slot for an answer that is too late. It must be refused at its expiry, although
/// the request's deadline is far away.
#[tokio::test]
async fn attempt_is_refused_when_its_expiry_passes_in_the_queue() {
    let fixture = fixture().await;
    let running = fixture.attempt(1, "/held");
    let running_frames = start_blocked_call(&fixture, &running).await;
    let mut queued = fixture.attempt(2, "/echo");
    queued.expiry = fixture.hello().await.clock.plus(Duration::from_millis(50));

    let refused = fixture.run(&queued).await;
    fixture.backend.release_call();
    read_to_end(running_frames, running.attempt, 0).await;

    assert_eq!(refused.code(), ResultCode::ExpiredInQueue);
    assert_eq!(fixture.backend.calls().len(), 1);
}

/// Guards against cancelling a running attempt at its expiry, which would lose an answer although
/// the later stages may be faster than estimated. The expiry only limits the time in the queue; a
/// running attempt may use all of its budget.
#[tokio::test]
async fn running_attempt_may_exceed_its_expiry() {
    let fixture = fixture().await;
    let mut dispatch = fixture.attempt(1, "/held");
    dispatch.expiry = fixture.hello().await.clock.plus(SEVERAL_TICKS);
    let frames = start_blocked_call(&fixture, &dispatch).await;
    fixture
        .wait_for_clock(dispatch.expiry.plus(SEVERAL_TICKS))
        .await;

    fixture.backend.release_call();
    let answer = read_to_end(frames, dispatch.attempt, 0).await;

    assert_eq!(answer.code(), ResultCode::Complete);
}
