//! Kills (SIGKILL) of each process around a settlement, which runs at most once.
//!
//! "Before the claim" means that the settlement waits in the sidecar's queue behind another one;
//! "held" that the backend server has begun it; "before the finish write" that the backend server
//! has done it, and the table is away.

mod support;

use amaranthscale_standins::service::ServiceExecution;
use support::{
    Answer, AnswerChecker, BackendPlan, BasinPlan, DeltaBasin, Request, await_answer, kill,
    wait_until,
};
use tokio::task::JoinHandle;

/// Two entries and one host of the grower ledger.
async fn basin() -> DeltaBasin {
    DeltaBasin::start(BasinPlan::new([BackendPlan::ledger(1)])).await
}

/// The same, with a sidecar that takes one attempt at a time.
async fn basin_with_one_slot() -> DeltaBasin {
    let backend = BackendPlan::ledger(1).with_one_slot();
    DeltaBasin::start(BasinPlan::new([backend])).await
}

/// Two settlements on their way at the first entry: one that the backend server holds, and one
/// that waits in the sidecar's queue, before its claim.
async fn held_and_queued(basin: &DeltaBasin) -> [(Request, JoinHandle<Option<Answer>>); 2] {
    let (entry, backend) = (&basin.entries[0], &basin.backends[0]);
    backend.hold_calls(true).await;
    let held = Request::settlement("held");
    let answer_of_held = held.send_in_background(entry);
    backend.wait_for_executions(1).await;
    let queued = Request::settlement("queued");
    let answer_of_queued = queued.send_in_background(entry);
    backend.wait_for_queued(1).await;
    [(held, answer_of_held), (queued, answer_of_queued)]
}

/// A settlement that the backend server has begun for the first entry.
async fn held(basin: &DeltaBasin) -> (Request, JoinHandle<Option<Answer>>) {
    basin.backends[0].hold_calls(true).await;
    let settlement = Request::settlement("held");
    let answer = settlement.send_in_background(&basin.entries[0]);
    basin.backends[0].wait_for_executions(1).await;
    (settlement, answer)
}

/// A settlement whose call is done, with the table away before its outcome is written.
async fn done_and_unwritten(basin: &DeltaBasin) -> (Request, Answer) {
    let (settlement, answer) = held(basin).await;
    basin.platform.set_outage(true).await;
    basin.backends[0].hold_calls(false).await;
    let answer = await_answer(answer).await;
    basin.backends[0].wait_for_unsettled(1).await;
    (settlement, answer)
}

/// Executions of one request.
fn count_of(executions: &[ServiceExecution], request: &Request) -> usize {
    let digest = request.digest();
    let same = |execution: &&ServiceExecution| execution.body_digest == digest;
    executions.iter().filter(same).count()
}

/// A grower's clerk sees the connection break while the settlement still waits, and settles again.
/// The entry dies; its attempt stays in the sidecar's queue and may still claim. The second entry
/// sends one more attempt, and the two claim the same row.
#[tokio::test]
async fn entry_killed_before_the_claim() {
    let mut basin = basin_with_one_slot().await;
    let [(held, held_answer), (queued, queued_answer)] = held_and_queued(&basin).await;

    kill(&mut basin.entries[0].process);
    let again = queued.send_in_background(&basin.entries[1]);
    let held_again = held.send_in_background(&basin.entries[1]);
    basin.backends[0].hold_calls(false).await;

    let mut checker = AnswerChecker::default();
    checker.record(&held, held_answer.await.unwrap());
    checker.record(&queued, queued_answer.await.unwrap());
    let (again, held_again) = (again.await.unwrap(), held_again.await.unwrap());
    checker.record(&queued, again.clone());
    checker.record(&held, held_again.clone());
    let executions = basin.executions().await;
    checker.check(&executions);
    assert!(again.unwrap().is_complete());
    assert!(held_again.unwrap().is_complete());
    assert_eq!(executions.len(), 2);
}

/// The clerk hears "not run" or waits a little longer, and the settlement is paid once.
/// The sidecar dies with the settlement in its queue. The entry cannot ask it any more, cancels the
/// claim's version in the table, and only then says "not run"; a new sidecar takes it afterwards.
#[tokio::test]
async fn sidecar_killed_before_the_claim() {
    let mut basin = basin_with_one_slot().await;
    let [(held, held_answer), (queued, queued_answer)] = held_and_queued(&basin).await;

    kill(&mut basin.backends[0].sidecar);
    let held_answer = held_answer.await.unwrap();
    let queued_answer = queued_answer.await.unwrap();
    basin.backends[0].hold_calls(false).await;
    basin.replace_sidecar(0).await;
    let again = queued.send_until_final(&basin.entries[1]).await;
    let held_again = held.send_until_final(&basin.entries[1]).await;

    let executions = basin.executions().await;
    assert_eq!(queued_answer.as_ref().unwrap().ran, "no");
    assert_eq!(held_answer.as_ref().unwrap().code, 4001);
    assert_eq!(held_again.code, 4001);
    assert!(again.is_complete());
    let mut checker = AnswerChecker::default();
    checker.record(&held, held_answer);
    checker.record(&held, Some(held_again));
    checker.record(&queued, queued_answer);
    checker.record(&queued, Some(again));
    checker.check(&executions);
}

/// The clerk is told that the settlement did not run, settles again, and it is paid once.
/// The backend server dies under the settlement before it; the queued one claims, finds nobody to
/// call, and its claim is freed again before it is refused.
#[tokio::test]
async fn backend_killed_before_the_claim() {
    let mut basin = basin_with_one_slot().await;
    let [(held, held_answer), (queued, queued_answer)] = held_and_queued(&basin).await;
    let before = basin.executions().await;

    kill(&mut basin.backends[0].backend);
    let held_answer = await_answer(held_answer).await;
    let queued_answer = await_answer(queued_answer).await;
    basin.backends[0].restart_backend();
    let again = queued.send_until_final(&basin.entries[1]).await;
    let held_again = held.send_until_final(&basin.entries[1]).await;

    let after = basin.executions().await;
    assert_eq!(queued_answer.ran, "no");
    assert_eq!((held_answer.code, held_again.code), (4001, 4001));
    assert!(again.is_complete());
    assert_eq!(again.body_digest(), Some(queued.digest().as_str()));
    assert_eq!(count_of(&before, &queued), 0);
    assert_eq!(count_of(&after, &queued), 1);
    assert_eq!(count_of(&after, &held), 0);
}

/// The clerk sees the connection break in the middle of the settlement and asks at another entry,
/// which finds the claim and waits for the answer at the sidecar that holds it: paid once.
#[tokio::test]
async fn entry_killed_while_the_call_is_held() {
    let mut basin = basin().await;
    let (settlement, answer) = held(&basin).await;

    kill(&mut basin.entries[0].process);
    let again = settlement.send_in_background(&basin.entries[1]);
    basin.backends[0].hold_calls(false).await;

    let again = again.await.unwrap();
    let answer = answer.await.unwrap();
    assert!(answer.is_none());
    assert!(again.as_ref().unwrap().is_complete());
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, answer);
    checker.record(&settlement, again);
    checker.check(&basin.executions().await);
}

/// The clerk is told that the outcome is unknown, and is told so again: the call is never repeated.
/// The sidecar dies with the claim in the table and the call at the backend server, so nobody can
/// say any more whether it took effect.
#[tokio::test]
async fn sidecar_killed_while_the_call_is_held() {
    let mut basin = basin().await;
    let (settlement, answer) = held(&basin).await;

    kill(&mut basin.backends[0].sidecar);
    let answer = await_answer(answer).await;
    basin.backends[0].hold_calls(false).await;
    basin.replace_sidecar(0).await;
    let again = settlement.send_until_final(&basin.entries[1]).await;

    assert_eq!((answer.code, answer.ran.as_str()), (4001, "unknown"));
    assert_eq!((again.code, again.ran.as_str()), (4001, "unknown"));
    assert_eq!(basin.executions().await.len(), 1);
}

/// The same for the backend server: it dies under the call, and its successor is never asked.
#[tokio::test]
async fn backend_killed_while_the_call_is_held() {
    let mut basin = basin().await;
    let (settlement, answer) = held(&basin).await;

    kill(&mut basin.backends[0].backend);
    let answer = await_answer(answer).await;
    basin.backends[0].restart_backend();
    let again = settlement.send_until_final(&basin.entries[1]).await;

    assert_eq!((answer.code, answer.ran.as_str()), (4001, "unknown"));
    assert_eq!((again.code, again.ran.as_str()), (4001, "unknown"));
    assert_eq!(basin.executions().await.len(), 0);
}

/// The clerk has the receipt, the entry dies, and the table was away when the outcome was due.
/// Whoever asks again gets the same receipt once the table is back: the sidecar writes on.
#[tokio::test]
async fn entry_killed_before_the_finish_write() {
    let mut basin = basin().await;
    let (settlement, answer) = done_and_unwritten(&basin).await;

    kill(&mut basin.entries[0].process);
    let meanwhile = settlement.send(&basin.entries[1]).await.unwrap();
    basin.platform.set_outage(false).await;
    let again = settlement.send_until_final(&basin.entries[1]).await;

    assert!(answer.is_complete());
    assert_eq!((meanwhile.code, meanwhile.ran.as_str()), (2206, "no"));
    assert_eq!(again.body, answer.body);
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(answer));
    checker.record(&settlement, Some(again));
    checker.check(&basin.executions().await);
}

/// The clerk has the receipt, and the sidecar dies with the only other record of the outcome.
/// Whoever asks again is told that the outcome is unknown; the claim stands and nothing runs again.
#[tokio::test]
async fn sidecar_killed_before_the_finish_write() {
    let mut basin = basin().await;
    let (settlement, answer) = done_and_unwritten(&basin).await;

    kill(&mut basin.backends[0].sidecar);
    basin.platform.set_outage(false).await;
    basin.replace_sidecar(0).await;
    let again = settlement.send_until_final(&basin.entries[1]).await;

    assert!(answer.is_complete());
    assert_eq!((again.code, again.ran.as_str()), (4001, "unknown"));
    assert_eq!(basin.executions().await.len(), 1);
}

/// The clerk has the receipt, and the backend server dies afterwards: its answer is the sidecar's
/// to keep, and comes again for the same key once the table is back.
#[tokio::test]
async fn backend_killed_before_the_finish_write() {
    let mut basin = basin().await;
    let (settlement, answer) = done_and_unwritten(&basin).await;

    kill(&mut basin.backends[0].backend);
    basin.backends[0].restart_backend();
    basin.platform.set_outage(false).await;
    basin.backends[0].wait_for_unsettled(0).await;
    let again = settlement.send_until_final(&basin.entries[1]).await;

    assert!(answer.is_complete());
    assert_eq!(again.body, answer.body);
    assert_eq!(basin.executions().await.len(), 0);
}

/// Killed entries leave nothing behind: a third settlement goes through at once elsewhere.
#[tokio::test]
async fn other_settlements_go_on_after_a_kill() {
    let mut basin = basin().await;
    let (_held, _answer) = held(&basin).await;

    kill(&mut basin.entries[0].process);
    basin.backends[0].hold_calls(false).await;
    let other = Request::settlement("other");
    let answer = other.send_until_final(&basin.entries[1]).await;

    assert!(answer.is_complete());
    wait_until("both settlements are recorded", async || {
        basin.executions().await.len() == 2
    })
    .await;
}
