//! What a sidecar does with attempts that come twice, late, or for another.
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
use sidecar_support::{Bench, bench, whole};

/// Long enough for the sidecar to drop what it need not keep.
const SEVERAL_TICKS: Duration = Duration::from_millis(400);

/// Runs an attempt whose call is held, up to the call.
async fn start_held(bench: &Bench, dispatch: &Dispatch) -> FrameReader {
    let frames = bench.open(dispatch).await;
    bench.backend.called(1).await;
    frames
}

/// A network that repeats a message, or an entry with a fault, delivers an attempt twice.
/// The second delivery comes while the first one runs. A user would see the truck assessed twice;
/// the ledger knows the attempt and refuses the second delivery.
#[tokio::test]
async fn duplicated_dispatch_runs_once() {
    let bench = bench().await;
    let dispatch = bench.attempt(1, "/held");
    let first = start_held(&bench, &dispatch).await;

    let second = bench.run(&dispatch).await;
    bench.backend.let_go();
    let first = whole(first, dispatch.attempt, 0).await;
    let third = bench.run(&dispatch).await;

    assert_eq!(second.code(), ResultCode::DuplicateAttempt);
    assert_eq!(third.code(), ResultCode::DuplicateAttempt);
    assert_eq!(first.code(), ResultCode::Complete);
    assert_eq!(bench.backend.calls().len(), 1);
}

/// An entry gives an attempt up while it waits in the queue, and sends the work elsewhere.
/// If the attempt still started here, the work would run twice. The revocation takes it out of
/// the queue and ends its answer.
#[tokio::test]
async fn revoked_in_queue_never_runs() {
    let bench = bench().await;
    let running = bench.attempt(1, "/held");
    let running_frames = start_held(&bench, &running).await;
    let waiting = bench.attempt(2, "/echo");
    let waiting_frames = bench.open(&waiting).await;
    bench.stamp_when(|stamp| stamp.load.queued_paid == 1).await;

    let answer = bench.revoke(&waiting, false).await;
    bench.backend.let_go();
    whole(running_frames, running.attempt, 0).await;
    let ended = whole(waiting_frames, waiting.attempt, 0).await;

    assert_eq!(answer, RevokeAnswer::Revoked);
    assert_eq!(ended.code(), ResultCode::AttemptRevoked);
    assert_eq!(bench.backend.calls().len(), 1);
}

/// A dispatch is slow on its way; the entry asks on a new connection and overtakes it.
/// It hears "did not run" and repeats the work elsewhere. Then the dispatch arrives. It finds the
/// mark that the revocation left, and does not run.
#[tokio::test]
async fn revoked_before_arrival_never_runs() {
    let bench = bench().await;
    let dispatch = bench.attempt(1, "/echo");

    let answer = bench.revoke(&dispatch, false).await;
    let late = bench.run(&dispatch).await;

    assert_eq!(answer, RevokeAnswer::Revoked);
    assert_eq!(late.code(), ResultCode::AttemptRevoked);
    assert!(bench.backend.calls().is_empty());
}

/// A sidecar restarts, and an attempt meant for its former life arrives.
/// The former life may have run it already. The new life refuses it, and never says of it that it
/// did not run.
#[tokio::test]
async fn another_incarnation_is_refused() {
    let bench = bench().await;
    let mut dispatch = bench.attempt(1, "/echo");
    dispatch.incarnation = bench.other_incarnation();

    let refused = bench.run(&dispatch).await;
    let revoked = bench.revoke(&dispatch, false).await;
    let fetched = whole(bench.fetch(&dispatch, 0).await, dispatch.attempt, 0).await;

    assert_eq!(refused.code(), ResultCode::WrongIncarnation);
    assert_eq!(revoked, RevokeAnswer::OtherIncarnation);
    assert_eq!(fetched.code(), ResultCode::OutcomeUnknown);
    assert!(bench.backend.calls().is_empty());
}

/// An entry is frozen for an hour with an attempt in its socket, and wakes.
/// The attempt has expired: its caller has long been answered. Run now, it would be work that
/// nobody waits for, or a second run.
#[tokio::test]
async fn expired_attempt_never_runs() {
    let bench = bench().await;
    let mut dispatch = bench.attempt(1, "/echo");
    dispatch.expiry = SidecarClock::from_millis(1);
    bench.clock_past(dispatch.expiry).await;

    let refused = bench.run(&dispatch).await;
    let revoked = bench.revoke(&dispatch, false).await;

    assert_eq!(refused.code(), ResultCode::AttemptExpired);
    assert_eq!(revoked, RevokeAnswer::Forgotten);
    assert!(bench.backend.calls().is_empty());
}

/// A clerk asks for an assessment while a long one holds the only slot.
/// The deadline passes in the queue. The clerk is told so, and the assessment does not run when
/// the slot comes free afterwards.
#[tokio::test]
async fn deadline_passes_in_queue() {
    let bench = bench().await;
    let running = bench.attempt(1, "/held");
    let running_frames = start_held(&bench, &running).await;
    let mut waiting = bench.attempt(2, "/echo");
    waiting.budget = TimeBudget::from_millis(50);

    let refused = bench.run(&waiting).await;
    bench.backend.let_go();
    whole(running_frames, running.attempt, 0).await;

    assert_eq!(refused.code(), ResultCode::ExpiredInQueue);
    assert_eq!(bench.backend.calls().len(), 1);
}

/// An assessment waits until the time that the later stages need is all that is left.
/// Started then, it would hold a slot for an answer that comes too late for them. Its expiry ends
/// its wait, although the request's own deadline is far.
#[tokio::test]
async fn expiry_passes_in_queue() {
    let bench = bench().await;
    let running = bench.attempt(1, "/held");
    let running_frames = start_held(&bench, &running).await;
    let mut waiting = bench.attempt(2, "/echo");
    waiting.expiry = bench.hello().await.clock.plus(Duration::from_millis(50));

    let refused = bench.run(&waiting).await;
    bench.backend.let_go();
    whole(running_frames, running.attempt, 0).await;

    assert_eq!(refused.code(), ResultCode::ExpiredInQueue);
    assert_eq!(bench.backend.calls().len(), 1);
}

/// An assessment takes longer than the later stages' estimates leave it.
/// Cut off at its expiry, a truck's answer would be lost although the later stages may be quick.
/// The expiry only ends the wait in the queue; what runs may use all of its budget.
#[tokio::test]
async fn running_work_outlives_its_expiry() {
    let bench = bench().await;
    let mut dispatch = bench.attempt(1, "/held");
    dispatch.expiry = bench.hello().await.clock.plus(SEVERAL_TICKS);
    let frames = start_held(&bench, &dispatch).await;
    bench.clock_past(dispatch.expiry.plus(SEVERAL_TICKS)).await;

    bench.backend.let_go();
    let answer = whole(frames, dispatch.attempt, 0).await;

    assert_eq!(answer.code(), ResultCode::Complete);
}
