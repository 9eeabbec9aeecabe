//! Failures of the table or the backend server around a claim.
#![expect(
    clippy::unwrap_used,
    reason = "fixtures fail by panicking, like the tests that use them"
)]

#[path = "support/sidecar_support.rs"]
mod sidecar_support;

use std::time::Duration;

use amaranthscale::connection::FrameReader;
use amaranthscale::sidecar::SidecarLimits;
use amaranthscale_core::ResultCode;
use amaranthscale_core::request::{ClaimStatus, read_claim};
use amaranthscale_core::unit::TimeBudget;
use amaranthscale_core::wire::{Dispatch, Row};
use sidecar_support::{
    BreakingBackend, Fixture, fixture, fixture_with, open, read_to_end, start_sidecar, ticket,
};

/// Long enough for the sidecar to evict answers that have expired.
const SEVERAL_TICKS: Duration = Duration::from_millis(400);

fn reading(row: &Row) -> ClaimStatus {
    read_claim(row, &ticket().fingerprint)
}

fn is_free(row: &Row) -> bool {
    row.version.get() > 0 && matches!(reading(row), ClaimStatus::Free { .. })
}

/// Starts an attempt and waits until its blocked call has reached the backend server.
async fn start_blocked_call(fixture: &Fixture, dispatch: &Dispatch) -> FrameReader {
    let frames = fixture.open(dispatch).await;
    fixture.backend.wait_for_calls(1).await;
    frames
}

/// Guards against paying a settlement twice that a load balancer duplicates, so that two entries
/// send it to two sidecars with the same version of the claim row. Only one claim may win.
#[tokio::test]
async fn call_claimed_by_two_sidecars_runs_once() {
    let fixture = fixture().await;
    let other = start_sidecar(&fixture.table, fixture.backend.address(), |config| {
        config.host = "weighbridge-2".parse().unwrap();
    })
    .await;
    let here = fixture.claimed(1, "/echo");
    let mut there = fixture.claimed(2, "/echo");
    there.incarnation = other.incarnation();

    let (here_answer, there_answer) = tokio::join!(fixture.run(&here), async {
        let frames = open(&fixture.entry, other.address(), &there).await;
        read_to_end(frames, there.attempt, 0).await
    });

    let mut codes = [here_answer.code(), there_answer.code()];
    codes.sort();
    assert_eq!(codes, [ResultCode::Complete, ResultCode::ClaimLost]);
    assert_eq!(fixture.backend.calls().len(), 1);
}

/// Guards against making a call without a claim while the table refuses every call, since it could
/// be made twice. The attempt must be refused as "not run", the backend server must not be called,
/// and the row must stay free for a retry.
#[tokio::test]
async fn attempt_is_refused_while_the_table_is_down() {
    let fixture = fixture().await;
    fixture.table.set_down(true);

    let refused = fixture.run(&fixture.claimed(1, "/echo")).await;
    fixture.table.set_down(false);
    let mut repeat = fixture.claimed(2, "/echo");
    let mut repeated = fixture.run(&repeat).await;
    if repeated.code() == ResultCode::ClaimLost {
        // The time for the claim ended while one of its writes was on its way, so the sidecar has
        // cancelled the version. An entry reads the row and repeats the call at the next one.
        let key = ticket().key.to_string();
        let row = fixture.table.wait_for_row(&key, is_free).await;
        repeat = fixture.claimed(3, "/echo");
        repeat.claim.as_mut().unwrap().version = row.version;
        repeated = fixture.run(&repeat).await;
    }

    assert_eq!(refused.code(), ResultCode::TableAway);
    assert_eq!(repeated.code(), ResultCode::Complete);
    assert_eq!(fixture.backend.calls().len(), 1);
}

/// Guards against treating a claim whose reply was lost as a lost race: the call would never run,
/// and its row would block every retry. The sidecar must read the row back, find its own claim and
/// make the call once.
#[tokio::test]
async fn claim_with_a_lost_reply_is_settled() {
    let claim_timeout = SidecarLimits::default().claim_timeout;
    let fixture = fixture_with(|config| config.limits.claim_timeout = claim_timeout).await;
    fixture.table.lose_answers(1);

    let answer = fixture.run(&fixture.claimed(1, "/echo")).await;

    assert_eq!(answer.code(), ResultCode::Complete);
    assert_eq!(fixture.backend.calls().len(), 1);
}

/// Guards against a row that stays claimed by a call that is never made. It happens when the claim
/// and its retries are delayed until the caller was told "not run" and then take effect. The
/// sidecar must find its late claim, free the row and not make the call.
#[tokio::test]
async fn claim_that_takes_effect_late_is_freed() {
    let fixture = fixture().await;
    let key = ticket().key.to_string();
    fixture.table.delay_transactions(usize::MAX);

    let refused = fixture.run(&fixture.claimed(1, "/echo")).await;
    fixture.table.apply_delayed();
    fixture.table.delay_transactions(0);
    let row = fixture.table.wait_for_row(&key, is_free).await;
    let mut repeat = fixture.claimed(2, "/echo");
    repeat.claim.as_mut().unwrap().version = row.version;
    let repeated = fixture.run(&repeat).await;

    assert_eq!(refused.code(), ResultCode::TableAway);
    assert_eq!(repeated.code(), ResultCode::Complete);
    assert_eq!(fixture.backend.calls(), [repeat.attempt.to_string()]);
}

/// Guards against losing the outcome of a call that ends while the table is down, which would make
/// it unknown. The sidecar must answer at once, retain the outcome and write it when the table is
/// back.
#[tokio::test]
async fn outcome_is_retained_until_the_table_is_back() {
    let fixture = fixture_with(|config| config.limits.ledger.keep_finished = Duration::ZERO).await;
    let key = ticket().key.to_string();
    let dispatch = fixture.claimed(1, "/held");
    let frames = start_blocked_call(&fixture, &dispatch).await;
    fixture.table.set_down(true);
    fixture.backend.release_call();

    let answer = read_to_end(frames, dispatch.attempt, 0).await;
    let swept = answer.end.stamp.clock.plus(SEVERAL_TICKS);
    fixture.wait_for_clock(swept).await;
    let fetched = read_to_end(fixture.fetch(&dispatch, 0).await, dispatch.attempt, 0).await;
    fixture.table.set_down(false);
    let is_finished = |row: &Row| matches!(reading(row), ClaimStatus::Finished { .. });
    fixture.table.wait_for_row(&key, is_finished).await;

    assert_eq!(answer.code(), ResultCode::Complete);
    assert_eq!(fetched.result, answer.result);
}

/// Guards against exhausting the sidecar's memory with unsettled claims during a long outage of the
/// table. Beyond the limit, attempts must be refused before anything is written.
#[tokio::test]
async fn unsettled_claims_are_limited() {
    let fixture = fixture_with(|config| config.limits.max_unsettled_claims = 1).await;
    fixture.table.delay_transactions(usize::MAX);
    let (first, second) = (fixture.claimed(1, "/echo"), fixture.claimed(2, "/echo"));
    let first_request = first.attempt.request.to_string();
    let second_request = second.attempt.request.to_string();

    let first = fixture.run(&first).await;
    let second = fixture.run(&second).await;

    assert!(fixture.table.is_delayed_with(&first_request));
    assert!(!fixture.table.is_delayed_with(&second_request));
    assert_eq!(first.code(), ResultCode::TableAway);
    assert_eq!(second.code(), ResultCode::TableAway);
    assert!(fixture.table.rows("claim/").is_empty());
    assert!(fixture.backend.calls().is_empty());
}

/// Guards against passing on half a result as complete when the backend server fails in the middle
/// of an answer. The entry must be told that the server failed after it had started, so that it may
/// send the work elsewhere.
#[tokio::test]
async fn failure_of_the_backend_server_is_reported() {
    let broken = BreakingBackend::start().await;
    let fixture = fixture_with(|config| config.backend = broken.address()).await;

    let answer = fixture.run(&fixture.attempt(1, "/echo")).await;

    assert_eq!(answer.code(), ResultCode::BackendBroke);
    assert_eq!(broken.calls(), 1);
}

/// Guards against repeating a settlement whose backend server failed in the middle, so that it is
/// unknown whether it was paid. The answer and the row must show the outcome as unknown, which
/// prevents another call with this key.
#[tokio::test]
async fn failure_of_the_backend_server_leaves_a_claimed_call_unknown() {
    let broken = BreakingBackend::start().await;
    let fixture = fixture_with(|config| config.backend = broken.address()).await;
    let key = ticket().key.to_string();

    let answer = fixture.run(&fixture.claimed(1, "/echo")).await;
    let is_unknown = |row: &Row| reading(row) == ClaimStatus::Unknown;
    fixture.table.wait_for_row(&key, is_unknown).await;

    assert_eq!(answer.code(), ResultCode::OutcomeUnknown);
    assert_eq!(broken.calls(), 1);
}

/// Guards against a claim that still exists when the entry sends the next attempt. If the backend
/// server cannot be reached, no byte was sent and the call did not run, so the claim must be freed
/// before the entry is answered.
#[tokio::test]
async fn unreachable_backend_frees_the_claim() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let fixture = fixture_with(|config| config.backend = address).await;

    let refused = fixture.run(&fixture.claimed(1, "/echo")).await;
    let row = fixture.table.row(&ticket().key.to_string());

    assert_eq!(refused.code(), ResultCode::BackendUnreachable);
    assert!(is_free(&row), "{row:?}");
}

/// Guards against an unresponsive backend server whose call holds its slot forever. Repeatable work
/// must be cancelled when the deadline passes, and the slot must serve the next attempt.
#[tokio::test]
async fn deadline_cancels_repeatable_work() {
    let fixture = fixture().await;
    let mut dispatch = fixture.attempt(1, "/held");
    dispatch.budget = TimeBudget::from_millis(500);

    let ended = fixture.run(&dispatch).await;
    let cancelled = fixture.backend.wait_for_cancellation().await;
    let next = fixture.run(&fixture.attempt(2, "/echo")).await;

    assert_eq!(ended.code(), ResultCode::DeadlinePassed);
    assert_eq!(cancelled, dispatch.attempt.to_string());
    assert_eq!(next.code(), ResultCode::Complete);
}
