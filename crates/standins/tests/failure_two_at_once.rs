//! Two failures at once.

mod support;

use amaranthscale_standins::platform::PlatformFaults;
use serde_json::json;
use support::{
    Answer, AnswerChecker, BackendPlan, BasinPlan, DRIVER_TRIAL_KEY, DeltaBasin, Request,
    await_answer, kill, pause, resume, wait_until,
};
use tokio::task::JoinHandle;

/// Deadline of a request whose fate cannot be settled before the platform is back.
const SHORT_DEADLINE_MS: &str = "4000";

/// Two entries and one host of the grower ledger, with a relay before its sidecar.
async fn basin() -> DeltaBasin {
    let backend = BackendPlan::ledger(1).with_relay();
    DeltaBasin::start(BasinPlan::new([backend])).await
}

/// A settlement that the backend server has begun for the first entry.
async fn held(basin: &DeltaBasin) -> (Request, JoinHandle<Option<Answer>>) {
    basin.backends[0].hold_calls(true).await;
    let settlement = Request::settlement("held").with_deadline(SHORT_DEADLINE_MS);
    let answer = settlement.send_in_background(&basin.entries[0]);
    basin.backends[0].wait_for_executions(1).await;
    (settlement, answer)
}

/// The clerk is told that the outcome is unknown, before and after the platform is back, and the
/// settlement is not made again. Table and sidecar go together while the call is held: neither can
/// be asked, and the claim is all that remains.
#[tokio::test]
async fn the_table_and_the_sidecar_fail_under_a_call() {
    let mut basin = basin().await;
    let (settlement, answer) = held(&basin).await;

    basin.platform.set_outage(true).await;
    kill(&mut basin.backends[0].sidecar);
    let answer = await_answer(answer).await;
    basin.backends[0].hold_calls(false).await;
    basin.platform.set_outage(false).await;
    basin.replace_sidecar(0).await;
    let again = settlement.send_until_final(&basin.entries[1]).await;

    assert_eq!((answer.code, answer.ran.as_str()), (4001, "unknown"));
    assert_eq!((again.code, again.ran.as_str()), (4001, "unknown"));
    assert_eq!(basin.executions().await.len(), 1);
}

/// The clerk is not told "not run", though it did not: the entry cannot know. The settlement waits in
/// the sidecar's queue as table and sidecar go, so its claim's version cannot be cancelled. Once
/// the platform is back, the same key settles, once.
#[tokio::test]
async fn the_table_and_the_sidecar_fail_before_the_claim() {
    let backend = BackendPlan::ledger(1).with_one_slot();
    let mut basin = DeltaBasin::start(BasinPlan::new([backend])).await;
    let (_held, _answer) = held(&basin).await;
    let settlement = Request::settlement("queued").with_deadline(SHORT_DEADLINE_MS);
    let answer = settlement.send_in_background(&basin.entries[0]);
    basin.backends[0].wait_for_queued(1).await;

    basin.platform.set_outage(true).await;
    kill(&mut basin.backends[0].sidecar);
    let answer = await_answer(answer).await;
    basin.backends[0].hold_calls(false).await;
    basin.platform.set_outage(false).await;
    basin.replace_sidecar(0).await;
    let again = settlement.send_until_final(&basin.entries[1]).await;

    assert_eq!((answer.code, answer.ran.as_str()), (4001, "unknown"));
    assert!(again.is_complete(), "{again:?}");
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(answer));
    checker.record(&settlement, Some(again));
    checker.check(&basin.executions().await);
}

/// The clerk sees the connection break, asks at another entry, and gets the one receipt. The entry
/// dies as all connections to the sidecar go silent, also the one of the entry that is asked next.
#[tokio::test]
async fn an_entry_dies_and_the_connections_go_silent() {
    let mut basin = basin().await;
    let (settlement, answer) = held(&basin).await;

    basin.backends[0].relay().silence_open().await;
    kill(&mut basin.entries[0].process);
    let again = settlement
        .clone()
        .with_deadline("20000")
        .send_in_background(&basin.entries[1]);
    basin.backends[0].hold_calls(false).await;
    let (answer, again) = (answer.await.unwrap(), await_answer(again).await);

    assert!(answer.is_none(), "{answer:?}");
    assert!(again.is_complete(), "{again:?}");
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, answer);
    checker.record(&settlement, Some(again));
    checker.check(&basin.executions().await);
}

/// The clerk gets the receipt, once: the connection goes silent under the call, so the entry has to
/// fetch the outcome, and the platform loses the answers to the writes that keep it.
#[tokio::test]
async fn a_connection_goes_silent_and_the_platform_loses_answers() {
    let basin = basin().await;
    basin.backends[0].hold_calls(true).await;
    let settlement = Request::settlement("both");
    let answer = settlement.send_in_background(&basin.entries[0]);
    basin.backends[0].wait_for_executions(1).await;
    let lose = PlatformFaults {
        lose_answers: Some(3),
        ..PlatformFaults::default()
    };

    basin.platform.set_faults(lose).await;
    basin.backends[0].relay().silence_open().await;
    basin.backends[0].hold_calls(false).await;
    let answer = await_answer(answer).await;
    basin.backends[0].wait_for_unsettled(0).await;
    let again = settlement.send_until_final(&basin.entries[1]).await;

    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(again.body, answer.body);
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(answer));
    checker.record(&settlement, Some(again));
    checker.check(&basin.executions().await);
}

/// An operator is told that a suspension is accepted; the entry that said so dies, and the platform
/// goes down, in the same moment. The suspension is in force at the entries that remain.
#[tokio::test]
async fn the_accepting_entry_and_the_platform_fail_after_an_edit() {
    let plan = BasinPlan::new([BackendPlan::ledger(1)]).with_entries(3);
    let mut basin = DeltaBasin::start(plan).await;
    let suspend = json!({"kind": "suspend", "id": "driver-trial"});
    let accepted = basin.entries[0].edit(1, "lena", &suspend).await;
    basin.platform.set_outage(true).await;
    kill(&mut basin.entries[0].process);
    basin.entries.remove(0);

    basin.wait_for_tree(2).await;

    accepted.success().unwrap();
    for entry in &basin.entries {
        let request = Request::balance("suspended").with_bearer(DRIVER_TRIAL_KEY);
        let answer = request.send(entry).await.unwrap();
        assert_eq!((answer.code, answer.ran.as_str()), (2003, "no"));
    }
    basin.platform.set_outage(false).await;
    wait_until("the table answers again", async || {
        basin.entries[0].edit(0, "omar", &suspend).await.status == 409
    })
    .await;
    assert!(basin.executions().await.is_empty());
}

/// The clerk hears "not run" at a second entry, and then settles, once. Sidecar and first entry
/// freeze with an attempt between them that may still claim; the second entry cannot ask about it
/// and cancels the version it carries. The sidecar wakes first, and the attempt's claim is refused.
#[tokio::test]
async fn the_entry_and_the_sidecar_freeze_with_an_attempt_between_them() {
    let mut basin = DeltaBasin::start(BasinPlan::new([BackendPlan::ledger(1)])).await;
    for (number, entry) in basin.entries.iter().enumerate() {
        let warm_up = Request::settlement(&format!("warm-up-{number}"));
        assert!(warm_up.send_until_final(entry).await.is_complete());
    }
    let settlement = Request::settlement("frozen");
    pause(&mut basin.backends[0].sidecar);
    let first = settlement.send_in_background(&basin.entries[0]);
    basin.entries[0]
        .wait_for_counter("attempt.dispatched", 2)
        .await;
    pause(&mut basin.entries[0].process);

    let short = settlement.clone().with_deadline(SHORT_DEADLINE_MS);
    let second = short.send(&basin.entries[1]).await.unwrap();
    resume(&mut basin.backends[0].sidecar);
    basin.backends[0]
        .wait_for_counter("refused.ClaimLost", 1)
        .await;
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(second.clone()));
    checker.check(&basin.executions().await);
    resume(&mut basin.entries[0].process);
    let first = await_answer(first).await;
    let third = settlement.send_until_final(&basin.entries[1]).await;

    assert_eq!(second.ran, "no", "{second:?}");
    assert!(third.is_complete(), "{third:?}");
    checker.record(&settlement, Some(first));
    checker.record(&settlement, Some(third));
    checker.check(&basin.executions().await);
}
