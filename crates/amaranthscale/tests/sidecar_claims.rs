//! What a sidecar does when the table or the backend server fails around a claim.
#![expect(
    clippy::unwrap_used,
    reason = "fixtures fail by panicking, like the tests that use them"
)]

#[path = "support/sidecar_support.rs"]
mod sidecar_support;

use std::time::Duration;

use amaranthscale::connection::FrameReader;
use amaranthscale_core::ResultCode;
use amaranthscale_core::request::{ClaimStatus, read_claim};
use amaranthscale_core::unit::TimeBudget;
use amaranthscale_core::wire::{Dispatch, Row};
use sidecar_support::{
    Bench, BreakingBackend, bench, bench_with, open, start_sidecar, ticket, whole,
};

/// Long enough for the sidecar to drop what it need not keep.
const SEVERAL_TICKS: Duration = Duration::from_millis(400);

fn reading(row: &Row) -> ClaimStatus {
    read_claim(row, &ticket().fingerprint)
}

fn is_free(row: &Row) -> bool {
    row.version.get() > 0 && matches!(reading(row), ClaimStatus::Free { .. })
}

/// Runs an attempt whose call is held, up to the call.
async fn start_held(bench: &Bench, dispatch: &Dispatch) -> FrameReader {
    let frames = bench.open(dispatch).await;
    bench.backend.called(1).await;
    frames
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
    let is_finished = |row: &Row| matches!(reading(row), ClaimStatus::Finished { .. });
    bench.table.row_when(&key, is_finished).await;

    assert_eq!(answer.code(), ResultCode::Complete);
    assert_eq!(fetched.result, answer.result);
}

/// The table is away for long, and settlements keep coming.
/// Each one whose claim is not settled stays in memory. Beyond the bound they are refused before
/// anything is written, so that the sidecar does not run out of memory.
#[tokio::test]
async fn unsettled_claims_are_bounded() {
    let bench = bench_with(|config| config.limits.max_unsettled_claims = 1).await;
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
    let is_unknown = |row: &Row| reading(row) == ClaimStatus::Unknown;
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

/// A backend server is stuck, and the deadline passes while an assessment runs.
/// Without a cut, the stuck call would hold its slot for good. Repeatable work is cancelled, and
/// the slot takes the next attempt.
#[tokio::test]
async fn deadline_cancels_repeatable_work() {
    let bench = bench().await;
    let mut dispatch = bench.attempt(1, "/held");
    dispatch.budget = TimeBudget::from_millis(50);

    let ended = bench.run(&dispatch).await;
    let cancelled = bench.backend.cancelled().await;
    let next = bench.run(&bench.attempt(2, "/echo")).await;

    assert_eq!(ended.code(), ResultCode::DeadlinePassed);
    assert_eq!(cancelled, dispatch.attempt.to_string());
    assert_eq!(next.code(), ResultCode::Complete);
}
