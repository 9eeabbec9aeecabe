//! Two simultaneous failures.

mod support;

use amaranthscale_standins::platform::PlatformFaults;
use serde_json::json;
use support::{
    Answer, AnswerChecker, BackendPlan, BasinPlan, DRIVER_TRIAL_KEY, DeltaBasin, Request,
    await_answer, kill, pause, resume, wait_until,
};
use tokio::task::JoinHandle;

/// Deadline of a request whose outcome cannot be determined before the platform is available.
const SHORT_DEADLINE_MS: &str = "4000";

/// Two entries and one host of the grower ledger, with a relay in front of its sidecar.
async fn basin() -> DeltaBasin {
    let backend = BackendPlan::ledger(1).with_relay();
    DeltaBasin::start(BasinPlan::new([backend])).await
}

/// Starts a settlement at the first entry that the backend server holds.
async fn start_held_settlement(basin: &DeltaBasin) -> (Request, JoinHandle<Option<Answer>>) {
    basin.backends[0].hold_calls(true).await;
    let settlement = Request::settlement("held").with_deadline(SHORT_DEADLINE_MS);
    let answer = settlement.send_in_background(&basin.entries[0]);
    basin.backends[0].wait_for_executions(1).await;
    (settlement, answer)
}

/// Guards against a settlement that runs twice: table and sidecar fail during the call, so neither
/// can be queried and only the claim remains. The outcome is unknown, also after the platform is
/// available again, and the call is not repeated.
#[tokio::test]
async fn a_running_settlement_stays_unknown_if_the_platform_and_the_sidecar_fail() {
    let mut basin = basin().await;
    let (settlement, answer) = start_held_settlement(&basin).await;

    basin.platform.set_outage(true).await;
    kill(&mut basin.backends[0].sidecar);
    let answer = await_answer(answer).await;
    basin.backends[0].hold_calls(false).await;
    basin.platform.set_outage(false).await;
    basin.replace_sidecar(0).await;
    let repeated = settlement.send_until_final(&basin.entries[1]).await;

    assert_eq!((answer.code, answer.ran.as_str()), (4001, "unknown"));
    assert_eq!((repeated.code, repeated.ran.as_str()), (4001, "unknown"));
    assert_eq!(basin.executions().await.len(), 1);
}

/// Guards against a false "not run": table and sidecar fail while the settlement is queued at the
/// sidecar, so its claim's version cannot be cancelled and the entry must answer "unknown". Once
/// the platform is available, the same key settles once.
#[tokio::test]
async fn a_queued_settlement_runs_once_if_the_platform_and_the_sidecar_fail() {
    let backend = BackendPlan::ledger(1).with_one_slot();
    let mut basin = DeltaBasin::start(BasinPlan::new([backend])).await;
    let (_held, _answer) = start_held_settlement(&basin).await;
    let settlement = Request::settlement("queued").with_deadline(SHORT_DEADLINE_MS);
    let answer = settlement.send_in_background(&basin.entries[0]);
    basin.backends[0].wait_for_queued(1).await;

    basin.platform.set_outage(true).await;
    kill(&mut basin.backends[0].sidecar);
    let answer = await_answer(answer).await;
    basin.backends[0].hold_calls(false).await;
    basin.platform.set_outage(false).await;
    basin.replace_sidecar(0).await;
    let repeated = settlement.send_until_final(&basin.entries[1]).await;

    assert_eq!((answer.code, answer.ran.as_str()), (4001, "unknown"));
    assert!(repeated.is_complete(), "{repeated:?}");
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(answer));
    checker.record(&settlement, Some(repeated));
    checker.check(&basin.executions().await);
}

/// Guards against a settlement that runs twice or a lost receipt: the entry dies while all
/// connections to the sidecar go silent, including that of the entry that gets the retry.
#[tokio::test]
async fn a_settlement_runs_once_if_an_entry_is_killed_and_connections_go_silent() {
    let mut basin = basin().await;
    let (settlement, answer) = start_held_settlement(&basin).await;

    basin.backends[0].relay().silence_open().await;
    kill(&mut basin.entries[0].process);
    let repeated = settlement
        .clone()
        .with_deadline("20000")
        .send_in_background(&basin.entries[1]);
    basin.backends[0].hold_calls(false).await;
    let (answer, repeated) = (answer.await.unwrap(), await_answer(repeated).await);

    assert!(answer.is_none(), "{answer:?}");
    assert!(repeated.is_complete(), "{repeated:?}");
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, answer);
    checker.record(&settlement, Some(repeated));
    checker.check(&basin.executions().await);
}

/// Guards against a lost receipt: the connection goes silent during the call, so the entry must
/// fetch the outcome, and the platform loses the answers to the writes that store it.
#[tokio::test]
async fn a_settlement_completes_if_connections_go_silent_and_the_platform_loses_answers() {
    let basin = basin().await;
    basin.backends[0].hold_calls(true).await;
    let settlement = Request::settlement("both");
    let answer = settlement.send_in_background(&basin.entries[0]);
    basin.backends[0].wait_for_executions(1).await;
    let lost_answers = PlatformFaults {
        lose_answers: Some(3),
        ..PlatformFaults::default()
    };

    basin.platform.set_faults(lost_answers).await;
    basin.backends[0].relay().silence_open().await;
    basin.backends[0].hold_calls(false).await;
    let answer = await_answer(answer).await;
    basin.backends[0].wait_for_unsettled(0).await;
    let repeated = settlement.send_until_final(&basin.entries[1]).await;

    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(repeated.body, answer.body);
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(answer));
    checker.record(&settlement, Some(repeated));
    checker.check(&basin.executions().await);
}

/// Guards against a lost edit: the entry that accepted a suspension dies right after its reply, and
/// the platform fails at the same moment. The suspension must be in force at the other entries.
#[tokio::test]
async fn an_accepted_edit_survives_its_entry_and_a_platform_outage() {
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
    wait_until("the table is available", async || {
        basin.entries[0].edit(0, "omar", &suspend).await.status == 409
    })
    .await;
    assert!(basin.executions().await.is_empty());
}

/// Guards against a settlement that runs after it was reported as not run: sidecar and first entry
/// pause while an attempt that may still claim is in transit between them. The second entry cannot
/// query the sidecar, so it cancels the version that the attempt carries. The sidecar resumes
/// first, and must refuse the attempt's claim.
#[tokio::test]
async fn a_cancelled_attempt_does_not_run_if_the_entry_and_the_sidecar_pause() {
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
