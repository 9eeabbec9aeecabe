//! Kills (SIGKILL) of each process that takes part in a settlement, which runs at most once.
//!
//! A queued settlement waits in the sidecar's queue behind another one and has no claim yet; the
//! backend server has begun a running one; an unwritten outcome is that of a settlement that the
//! backend server has completed while the table is unavailable.

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

/// The same, with a sidecar that runs one attempt at a time.
async fn basin_with_one_slot() -> DeltaBasin {
    let backend = BackendPlan::ledger(1).with_one_slot();
    DeltaBasin::start(BasinPlan::new([backend])).await
}

/// Starts two settlements at the first entry: one that the backend server holds, and one that waits
/// in the sidecar's queue, before its claim.
async fn start_held_and_queued(basin: &DeltaBasin) -> [(Request, JoinHandle<Option<Answer>>); 2] {
    let (entry, backend) = (&basin.entries[0], &basin.backends[0]);
    backend.hold_calls(true).await;
    let held = Request::settlement("held");
    let held_answer = held.send_in_background(entry);
    backend.wait_for_executions(1).await;
    let queued = Request::settlement("queued");
    let queued_answer = queued.send_in_background(entry);
    backend.wait_for_queued(1).await;
    [(held, held_answer), (queued, queued_answer)]
}

/// Starts a settlement at the first entry that the backend server holds.
async fn start_held_settlement(basin: &DeltaBasin) -> (Request, JoinHandle<Option<Answer>>) {
    basin.backends[0].hold_calls(true).await;
    let settlement = Request::settlement("held");
    let answer = settlement.send_in_background(&basin.entries[0]);
    basin.backends[0].wait_for_executions(1).await;
    (settlement, answer)
}

/// Makes a settlement whose outcome cannot be written, as the table becomes unavailable during the
/// call.
async fn make_settlement_with_unwritten_outcome(basin: &DeltaBasin) -> (Request, Answer) {
    let (settlement, answer) = start_held_settlement(basin).await;
    basin.platform.set_outage(true).await;
    basin.backends[0].hold_calls(false).await;
    let answer = await_answer(answer).await;
    basin.backends[0].wait_for_unsettled(1).await;
    (settlement, answer)
}

/// Number of executions of a request.
fn execution_count(executions: &[ServiceExecution], request: &Request) -> usize {
    let digest = request.digest();
    let same = |execution: &&ServiceExecution| execution.body_digest == digest;
    executions.iter().filter(same).count()
}

/// Guards against a settlement that runs twice: its entry dies while the attempt is queued at the
/// sidecar, where it may still claim the call. A second entry sends another attempt, and both claim
/// the same row.
#[tokio::test]
async fn a_queued_settlement_runs_once_if_its_entry_is_killed() {
    let mut basin = basin_with_one_slot().await;
    let [(held, held_answer), (queued, queued_answer)] = start_held_and_queued(&basin).await;

    kill(&mut basin.entries[0].process);
    let repeated = queued.send_in_background(&basin.entries[1]);
    let held_repeated = held.send_in_background(&basin.entries[1]);
    basin.backends[0].hold_calls(false).await;

    let mut checker = AnswerChecker::default();
    checker.record(&held, held_answer.await.unwrap());
    checker.record(&queued, queued_answer.await.unwrap());
    let (repeated, held_repeated) = (repeated.await.unwrap(), held_repeated.await.unwrap());
    checker.record(&queued, repeated.clone());
    checker.record(&held, held_repeated.clone());
    let executions = basin.executions().await;
    checker.check(&executions);
    assert!(repeated.unwrap().is_complete());
    assert!(held_repeated.unwrap().is_complete());
    assert_eq!(executions.len(), 2);
}

/// Guards against a settlement that runs after it was reported as not run: the sidecar dies with
/// the settlement in its queue. The entry can no longer query it, so it must cancel the claim's
/// version in the table before it reports "not run"; a new sidecar runs the retry.
#[tokio::test]
async fn a_queued_settlement_is_reported_as_not_run_if_the_sidecar_is_killed() {
    let mut basin = basin_with_one_slot().await;
    let [(held, held_answer), (queued, queued_answer)] = start_held_and_queued(&basin).await;

    kill(&mut basin.backends[0].sidecar);
    let held_answer = held_answer.await.unwrap();
    let queued_answer = queued_answer.await.unwrap();
    basin.backends[0].hold_calls(false).await;
    basin.replace_sidecar(0).await;
    let repeated = queued.send_until_final(&basin.entries[1]).await;
    let held_repeated = held.send_until_final(&basin.entries[1]).await;

    let executions = basin.executions().await;
    assert_eq!(queued_answer.as_ref().unwrap().ran, "no");
    assert_eq!(held_answer.as_ref().unwrap().code, 4001);
    assert_eq!(held_repeated.code, 4001);
    assert!(repeated.is_complete());
    let mut checker = AnswerChecker::default();
    checker.record(&held, held_answer);
    checker.record(&held, Some(held_repeated));
    checker.record(&queued, queued_answer);
    checker.record(&queued, Some(repeated));
    checker.check(&executions);
}

/// Guards against a claim that blocks retries: the backend server dies during the settlement ahead
/// in the queue. The queued one claims its call and finds no backend server; its claim must be
/// freed before it is refused as not run.
#[tokio::test]
async fn a_queued_settlement_is_reported_as_not_run_if_the_backend_server_is_killed() {
    let mut basin = basin_with_one_slot().await;
    let [(held, held_answer), (queued, queued_answer)] = start_held_and_queued(&basin).await;
    let before = basin.executions().await;

    kill(&mut basin.backends[0].backend);
    let held_answer = await_answer(held_answer).await;
    let queued_answer = await_answer(queued_answer).await;
    basin.backends[0].restart_backend();
    let repeated = queued.send_until_final(&basin.entries[1]).await;
    let held_repeated = held.send_until_final(&basin.entries[1]).await;

    let after = basin.executions().await;
    assert_eq!(queued_answer.ran, "no");
    assert_eq!((held_answer.code, held_repeated.code), (4001, 4001));
    assert!(repeated.is_complete());
    assert_eq!(repeated.body_digest(), Some(queued.digest().as_str()));
    assert_eq!(execution_count(&before, &queued), 0);
    assert_eq!(execution_count(&after, &queued), 1);
    assert_eq!(execution_count(&after, &held), 0);
}

/// Guards against a settlement that runs twice: its entry dies during the call. Another entry finds
/// the claim and waits for the answer at the sidecar that holds it.
#[tokio::test]
async fn a_running_settlement_completes_at_another_entry_if_its_entry_is_killed() {
    let mut basin = basin().await;
    let (settlement, answer) = start_held_settlement(&basin).await;

    kill(&mut basin.entries[0].process);
    let repeated = settlement.send_in_background(&basin.entries[1]);
    basin.backends[0].hold_calls(false).await;

    let repeated = repeated.await.unwrap();
    let answer = answer.await.unwrap();
    assert!(answer.is_none());
    assert!(repeated.as_ref().unwrap().is_complete());
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, answer);
    checker.record(&settlement, repeated);
    checker.check(&basin.executions().await);
}

/// Guards against a call that is repeated after an unknown outcome: the sidecar dies with the claim
/// in the table and the call at the backend server, so no process can tell whether it took effect.
#[tokio::test]
async fn a_running_settlement_stays_unknown_if_the_sidecar_is_killed() {
    let mut basin = basin().await;
    let (settlement, answer) = start_held_settlement(&basin).await;

    kill(&mut basin.backends[0].sidecar);
    let answer = await_answer(answer).await;
    basin.backends[0].hold_calls(false).await;
    basin.replace_sidecar(0).await;
    let repeated = settlement.send_until_final(&basin.entries[1]).await;

    assert_eq!((answer.code, answer.ran.as_str()), (4001, "unknown"));
    assert_eq!((repeated.code, repeated.ran.as_str()), (4001, "unknown"));
    assert_eq!(basin.executions().await.len(), 1);
}

/// The same failure with the backend server, which dies during the call; its replacement gets no
/// call.
#[tokio::test]
async fn a_running_settlement_stays_unknown_if_the_backend_server_is_killed() {
    let mut basin = basin().await;
    let (settlement, answer) = start_held_settlement(&basin).await;

    kill(&mut basin.backends[0].backend);
    let answer = await_answer(answer).await;
    basin.backends[0].restart_backend();
    let repeated = settlement.send_until_final(&basin.entries[1]).await;

    assert_eq!((answer.code, answer.ran.as_str()), (4001, "unknown"));
    assert_eq!((repeated.code, repeated.ran.as_str()), (4001, "unknown"));
    assert_eq!(basin.executions().await.len(), 0);
}

/// Guards against a lost receipt: the entry dies after it answered, while the table is unavailable.
/// The sidecar must write the outcome once the table is available, and a retry returns the same
/// receipt.
#[tokio::test]
async fn an_unwritten_outcome_is_returned_again_if_the_entry_is_killed() {
    let mut basin = basin().await;
    let (settlement, answer) = make_settlement_with_unwritten_outcome(&basin).await;

    kill(&mut basin.entries[0].process);
    let during = settlement.send(&basin.entries[1]).await.unwrap();
    basin.platform.set_outage(false).await;
    let repeated = settlement.send_until_final(&basin.entries[1]).await;

    assert!(answer.is_complete());
    assert_eq!((during.code, during.ran.as_str()), (2206, "no"));
    assert_eq!(repeated.body, answer.body);
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(answer));
    checker.record(&settlement, Some(repeated));
    checker.check(&basin.executions().await);
}

/// Guards against a settlement that runs again: the caller has the receipt, and the sidecar dies
/// with the only other record of the outcome. A retry is answered as unknown; the claim remains.
#[tokio::test]
async fn an_unwritten_outcome_is_unknown_if_the_sidecar_is_killed() {
    let mut basin = basin().await;
    let (settlement, answer) = make_settlement_with_unwritten_outcome(&basin).await;

    kill(&mut basin.backends[0].sidecar);
    basin.platform.set_outage(false).await;
    basin.replace_sidecar(0).await;
    let repeated = settlement.send_until_final(&basin.entries[1]).await;

    assert!(answer.is_complete());
    assert_eq!((repeated.code, repeated.ran.as_str()), (4001, "unknown"));
    assert_eq!(basin.executions().await.len(), 1);
}

/// Guards against a receipt that is lost with the backend server: it dies after the call, and the
/// sidecar must retain the answer and write it once the table is available.
#[tokio::test]
async fn an_unwritten_outcome_is_returned_again_if_the_backend_server_is_killed() {
    let mut basin = basin().await;
    let (settlement, answer) = make_settlement_with_unwritten_outcome(&basin).await;

    kill(&mut basin.backends[0].backend);
    basin.backends[0].restart_backend();
    basin.platform.set_outage(false).await;
    basin.backends[0].wait_for_unsettled(0).await;
    let repeated = settlement.send_until_final(&basin.entries[1]).await;

    assert!(answer.is_complete());
    assert_eq!(repeated.body, answer.body);
    assert_eq!(basin.executions().await.len(), 0);
}

/// Guards against a killed entry that blocks others: another settlement completes at once at the
/// second entry.
#[tokio::test]
async fn another_settlement_completes_after_an_entry_is_killed() {
    let mut basin = basin().await;
    let (_held, _answer) = start_held_settlement(&basin).await;

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
