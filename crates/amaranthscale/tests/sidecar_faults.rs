//! What a sidecar does when messages, the table, the backend server or time fail.
#![expect(
    clippy::unwrap_used,
    reason = "fixtures fail by panicking, like the tests that use them"
)]

#[path = "support/sidecar_support.rs"]
mod sidecar_support;

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale::connection::{FrameError, FrameReader, PeerClient};
use amaranthscale_core::ResultCode;
use amaranthscale_core::process::FairQueueLimits;
use amaranthscale_core::request::{ClaimReading, read_claim};
use amaranthscale_core::unit::{Budget, ByteSize, SidecarClock};
use amaranthscale_core::wire::{Dispatch, Frame, RevokeAnswer, Row, Stamp};
use hyper::StatusCode;
use sidecar_support::{
    Bench, BreakingBackend, FIRST_LINE, LAST_LINES, bench, bench_with, fetch, fetch_within, hello,
    new_entry, open, soon, start_sidecar, ticket, whole,
};

/// Refused calls after which a stop that does not wait for outcomes would have ended: more than
/// it takes to write the costs.
const TABLE_TRIES: usize = 9;

/// New connections that a stop which does not wait would no longer take.
const CONNECTIONS_DURING_STOP: usize = 30;

/// Long enough for the sidecar to drop what it need not keep.
const SEVERAL_TICKS: Duration = Duration::from_millis(400);

fn reading(row: &Row) -> ClaimReading {
    read_claim(row, &ticket().fingerprint)
}

fn is_free(row: &Row) -> bool {
    row.version.get() > 0 && matches!(reading(row), ClaimReading::Free { .. })
}

async fn leave(bench: &Bench) {
    let response = bench.entry.post(bench.address(), "/leave", "").await;
    assert_eq!(response.unwrap().status(), StatusCode::OK);
}

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
    waiting.budget = Budget::from_millis(50);

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

/// A balancer doubles a grower's settlement, and two entries send it to two sidecars.
/// Both read the same version of the claim row. Paying twice would have to be reclaimed from the
/// grower; only one of the two claims can win the version.
#[tokio::test]
async fn claim_raced_by_two_sidecars_runs_once() {
    let bench = bench().await;
    let other = start_sidecar(&bench.table, bench.backend.address(), |config| {
        config.host = "weighbridge-2".parse().unwrap();
    })
    .await;
    let here = bench.claimed(1, "/echo");
    let mut there = bench.claimed(2, "/echo");
    there.incarnation = other.incarnation();

    let (here_answer, there_answer) = tokio::join!(bench.run(&here), async {
        let frames = open(&bench.entry, other.address(), &there).await;
        whole(frames, there.attempt, 0).await
    });

    let mut codes = [here_answer.code(), there_answer.code()];
    codes.sort();
    assert_eq!(codes, [ResultCode::Complete, ResultCode::ClaimLost]);
    assert_eq!(bench.backend.calls().len(), 1);
}

/// The platform's table refuses every call, and a settlement comes in.
/// Without a claim it might be paid twice, so it is not paid: the caller hears "not run", nothing
/// reaches the ledger, and the row stays free for a repeat.
#[tokio::test]
async fn table_down_before_the_claim_refuses() {
    let bench = bench().await;
    bench.table.set_down(true);

    let refused = bench.run(&bench.claimed(1, "/echo")).await;
    bench.table.set_down(false);
    let repeated = bench.run(&bench.claimed(2, "/echo")).await;

    assert_eq!(refused.code(), ResultCode::TableAway);
    assert_eq!(repeated.code(), ResultCode::Complete);
    assert_eq!(bench.backend.calls().len(), 1);
}

/// The claim takes effect, and the table's answer to it is lost.
/// Taken for a lost race, the settlement would never run and its row would block every repeat.
/// The sidecar reads the row back, finds its own mark, and makes the call once.
#[tokio::test]
async fn lost_answer_to_the_claim_is_settled() {
    let bench = bench().await;
    bench.table.lose_answers(1);

    let answer = bench.run(&bench.claimed(1, "/echo")).await;

    assert_eq!(answer.code(), ResultCode::Complete);
    assert_eq!(bench.backend.calls().len(), 1);
}

/// The claim is stuck on its way, and so is each repeat of it, until the caller is told "not run".
/// Then the table takes the claim after all. A row claimed by a call that nobody makes would
/// refuse the grower's payment for good; the sidecar finds its late claim and frees the row, and
/// does not make the call.
#[tokio::test]
async fn claim_that_takes_effect_late_is_freed() {
    let bench = bench().await;
    let key = ticket().key.to_string();
    bench.table.hold(usize::MAX);

    let refused = bench.run(&bench.claimed(1, "/echo")).await;
    bench.table.let_held_take_effect();
    bench.table.hold(0);
    let row = bench.table.row_when(&key, is_free).await;
    let mut repeat = bench.claimed(2, "/echo");
    repeat.claim.as_mut().unwrap().version = row.version;
    let repeated = bench.run(&repeat).await;

    assert_eq!(refused.code(), ResultCode::TableAway);
    assert_eq!(repeated.code(), ResultCode::Complete);
    assert_eq!(bench.backend.calls(), [repeat.attempt.to_string()]);
}

/// The table goes away while a settlement runs, and comes back later.
/// The grower is paid; a lost outcome would have the entry call it unknown. The sidecar answers at
/// once, keeps the outcome in memory, and writes it when the table is back.
#[tokio::test]
async fn outcome_waits_for_the_table() {
    let bench = bench_with(|config| config.limits.ledger.keep_finished = Duration::ZERO).await;
    let key = ticket().key.to_string();
    let dispatch = bench.claimed(1, "/held");
    let frames = start_held(&bench, &dispatch).await;
    bench.table.set_down(true);
    bench.backend.let_go();

    let answer = whole(frames, dispatch.attempt, 0).await;
    let swept = answer.end.stamp.clock.plus(SEVERAL_TICKS);
    bench.clock_past(swept).await;
    let fetched = whole(bench.fetch(&dispatch, 0).await, dispatch.attempt, 0).await;
    bench.table.set_down(false);
    let is_finished = |row: &Row| matches!(reading(row), ClaimReading::Finished { .. });
    bench.table.row_when(&key, is_finished).await;

    assert_eq!(answer.code(), ResultCode::Complete);
    assert_eq!(fetched.result, answer.result);
}

/// The table is away for long, and settlements keep coming.
/// Each one whose claim is not settled stays in memory. Beyond the bound they are refused before
/// anything is written, so that the sidecar does not run out of memory.
#[tokio::test]
async fn unsettled_claims_are_bounded() {
    let bench = bench_with(|config| config.limits.max_table_jobs = 1).await;
    bench.table.hold(usize::MAX);
    let (first, second) = (bench.claimed(1, "/echo"), bench.claimed(2, "/echo"));
    let first_request = first.attempt.request.to_string();
    let second_request = second.attempt.request.to_string();

    let first = bench.run(&first).await;
    let second = bench.run(&second).await;

    assert!(bench.table.is_held_with(&first_request));
    assert!(!bench.table.is_held_with(&second_request));
    assert_eq!(first.code(), ResultCode::TableAway);
    assert_eq!(second.code(), ResultCode::TableAway);
    assert!(bench.table.rows("claim/").is_empty());
    assert!(bench.backend.calls().is_empty());
}

/// The backend server dies in the middle of an assessment.
/// The clerk must not get half an assessment for a whole one. The entry hears that the server
/// broke off after it had started, and may send the work elsewhere.
#[tokio::test]
async fn backend_that_breaks_is_reported() {
    let broken = BreakingBackend::start().await;
    let bench = bench_with(|config| config.backend = broken.address()).await;

    let answer = bench.run(&bench.attempt(1, "/echo")).await;

    assert_eq!(answer.code(), ResultCode::BackendBroke);
    assert_eq!(broken.calls(), 1);
}

/// The backend server dies in the middle of a settlement.
/// Whether the grower was paid cannot be told. The answer says so, the row keeps it, and nobody
/// makes the call again under this key.
#[tokio::test]
async fn backend_that_breaks_leaves_a_claimed_call_unknown() {
    let broken = BreakingBackend::start().await;
    let bench = bench_with(|config| config.backend = broken.address()).await;
    let key = ticket().key.to_string();

    let answer = bench.run(&bench.claimed(1, "/echo")).await;
    let is_unknown = |row: &Row| reading(row) == ClaimReading::Unknown;
    bench.table.row_when(&key, is_unknown).await;

    assert_eq!(answer.code(), ResultCode::OutcomeUnknown);
    assert_eq!(broken.calls(), 1);
}

/// The backend server is not there, and a settlement comes in.
/// Not a byte of it was sent, so it truly did not run. The claim is freed before the entry hears
/// of it, and the next attempt can go to another server at once.
#[tokio::test]
async fn unreachable_backend_frees_the_claim() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let bench = bench_with(|config| config.backend = address).await;

    let refused = bench.run(&bench.claimed(1, "/echo")).await;
    let row = bench.table.row(&ticket().key.to_string());

    assert_eq!(refused.code(), ResultCode::BackendUnreachable);
    assert!(is_free(&row), "{row:?}");
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

    let budget = Budget::from_millis(20);
    let fetched = fetch_within(&bench.entry, bench.address(), &dispatch, 0, budget).await;
    let fetched = whole(fetched, dispatch.attempt, 0).await;
    bench.backend.let_go();
    let answer = whole(frames, dispatch.attempt, 0).await;

    assert_eq!(fetched.code(), ResultCode::StillRunning);
    assert_eq!(answer.code(), ResultCode::Complete);
}

/// A backend server is stuck, and the deadline passes while an assessment runs.
/// Without a cut, the stuck call would hold its slot for good. Repeatable work is cancelled, and
/// the slot takes the next attempt.
#[tokio::test]
async fn deadline_cancels_repeatable_work() {
    let bench = bench().await;
    let mut dispatch = bench.attempt(1, "/held");
    dispatch.budget = Budget::from_millis(50);

    let ended = bench.run(&dispatch).await;
    let cancelled = bench.backend.cancelled().await;
    let next = bench.run(&bench.attempt(2, "/echo")).await;

    assert_eq!(ended.code(), ResultCode::DeadlinePassed);
    assert_eq!(cancelled, dispatch.attempt.to_string());
    assert_eq!(next.code(), ResultCode::Complete);
}

/// The deadline passes while a settlement runs, and an entry tries to cancel it.
/// Cut off half-way, nobody would know whether the grower was paid. It runs on to its end, and
/// its outcome can be fetched.
#[tokio::test]
async fn claimed_call_is_never_cut_off() {
    let bench = bench().await;
    let mut dispatch = bench.claimed(1, "/held");
    dispatch.budget = Budget::from_millis(200);
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
    dispatch.budget = Budget::from_millis(500);
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
        matches!(reading(&row), ClaimReading::Finished { .. }),
        "{row:?}"
    );
}

/// A backend server hangs for good while the sidecar is being stopped.
/// The stop does not hang with it: at its bound it says that work was left.
#[tokio::test]
async fn stop_ends_at_its_bound() {
    let bench = bench_with(|config| config.limits.drain_bound = Duration::from_millis(50)).await;
    let dispatch = bench.attempt(1, "/held");
    let _frames = start_held(&bench, &dispatch).await;
    let Bench { sidecar, .. } = bench;

    let is_clean = sidecar.stop().await;

    assert!(!is_clean);
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
