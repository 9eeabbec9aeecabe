//! The platform away, slow, silent, or unclear about what it did.

mod support;

use amaranthscale_standins::platform::PlatformFaults;
use support::{
    Answer, AnswerChecker, BackendPlan, BasinPlan, DeltaBasin, Request, await_answer, wait_until,
};

/// More lost transactions than any test makes.
const ALL: u32 = 1_000;

/// Two entries and one host of the grower ledger.
async fn basin() -> DeltaBasin {
    DeltaBasin::start(BasinPlan::new([BackendPlan::ledger(1)])).await
}

/// Settles once, so that the next transactions belong to the settlement under test.
async fn warm_up(basin: &DeltaBasin) -> usize {
    let first = Request::settlement("warm-up");
    assert!(
        first
            .send_until_final(&basin.entries[0])
            .await
            .is_complete()
    );
    basin.backends[0].wait_for_unsettled(0).await;
    basin.executions().await.len()
}

/// Fails the test unless an answer says that the call did not run, and when to come back.
fn assert_table_away(answer: &Answer) {
    assert_eq!(
        (answer.code, answer.ran.as_str()),
        (2206, "no"),
        "{answer:?}"
    );
    assert!(answer.retry_after_ms.is_some(), "{answer:?}");
}

/// Fails the test unless a repeatable call goes through.
async fn assert_repeatable_work_goes_on(basin: &DeltaBasin, marker: &str) {
    let balance = Request::balance(marker);
    for entry in &basin.entries {
        let answer = balance.send(entry).await.expect("the entry answers");
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.body_digest(), Some(balance.digest().as_str()));
    }
}

/// Clerks are told that nothing ran and when to come back, drivers get their answers all the same,
/// and the settlement goes through once the platform is back. The platform fails before the claim.
#[tokio::test]
async fn an_outage_before_a_settlement() {
    let basin = basin().await;
    warm_up(&basin).await;
    let settlement = Request::settlement("before");
    let mut checker = AnswerChecker::default();

    basin.platform.set_outage(true).await;
    let refused = settlement.send(&basin.entries[0]).await.unwrap();
    assert_repeatable_work_goes_on(&basin, "meanwhile").await;
    let executed_meanwhile = basin.executions().await;
    basin.platform.set_outage(false).await;
    let answer = settlement.send_until_final(&basin.entries[1]).await;

    assert_table_away(&refused);
    checker.record(&settlement, Some(refused));
    checker.check(&executed_meanwhile);
    assert!(answer.is_complete(), "{answer:?}");
    checker.record(&settlement, Some(answer));
    checker.check(&basin.executions().await);
}

/// A clerk gets the receipt though the platform fails under the settlement. The outcome cannot be
/// written for as long as it is away; nobody can run the call again meanwhile, and the receipt
/// comes again for the same key afterwards.
#[tokio::test]
async fn an_outage_during_a_settlement() {
    let basin = basin().await;
    let settlement = Request::settlement("during");
    basin.backends[0].hold_calls(true).await;
    let asking = settlement.send_in_background(&basin.entries[0]);
    basin.backends[0].wait_for_executions(1).await;

    basin.platform.set_outage(true).await;
    basin.backends[0].hold_calls(false).await;
    let answer = await_answer(asking).await;
    let meanwhile = settlement.send(&basin.entries[1]).await.unwrap();
    assert_repeatable_work_goes_on(&basin, "meanwhile").await;
    basin.platform.set_outage(false).await;
    basin.backends[0].wait_for_unsettled(0).await;
    let again = settlement.send_until_final(&basin.entries[1]).await;

    assert!(answer.is_complete(), "{answer:?}");
    assert_table_away(&meanwhile);
    assert_eq!(again.body, answer.body);
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(answer));
    checker.record(&settlement, Some(again));
    let executions = basin.executions().await;
    let settled = executions.iter().filter(|one| one.path == "settlements");
    assert_eq!(settled.count(), 1);
}

/// A receipt that was written before the platform failed comes again after it is back.
#[tokio::test]
async fn an_outage_after_a_settlement() {
    let basin = basin().await;
    let settlement = Request::settlement("after");
    let answer = settlement.send_until_final(&basin.entries[0]).await;
    basin.backends[0].wait_for_unsettled(0).await;

    basin.platform.set_outage(true).await;
    let meanwhile = settlement.send(&basin.entries[1]).await.unwrap();
    basin.platform.set_outage(false).await;
    let again = settlement.send_until_final(&basin.entries[1]).await;

    assert_table_away(&meanwhile);
    assert_eq!(again.body, answer.body);
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(answer));
    checker.record(&settlement, Some(again));
    checker.check(&basin.executions().await);
}

/// The platform accepts calls and never answers: clerks are still refused as not run, in time, and
/// drivers get their answers.
#[tokio::test]
async fn a_silent_platform() {
    let basin = basin().await;
    warm_up(&basin).await;
    let settlement = Request::settlement("silent");
    let silent = |is_silent| PlatformFaults {
        silent: Some(is_silent),
        ..PlatformFaults::default()
    };

    basin.platform.set_faults(silent(true)).await;
    let refused = settlement.send(&basin.entries[0]).await.unwrap();
    assert_repeatable_work_goes_on(&basin, "meanwhile").await;
    let executed_meanwhile = basin.executions().await;
    basin.platform.set_faults(silent(false)).await;
    let answer = settlement.send_until_final(&basin.entries[1]).await;

    assert_table_away(&refused);
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(refused));
    checker.check(&executed_meanwhile);
    assert!(answer.is_complete(), "{answer:?}");
    checker.record(&settlement, Some(answer));
    checker.check(&basin.executions().await);
}

/// A clerk notices nothing: the claim took effect, its answer was lost, and the sidecar finds its
/// own mark in the row. The same for the write of the outcome.
#[tokio::test]
async fn lost_answers_of_the_platform() {
    let basin = basin().await;
    warm_up(&basin).await;
    let settlement = Request::settlement("lost-answers");
    let lose = PlatformFaults {
        lose_answers: Some(2),
        ..PlatformFaults::default()
    };

    basin.platform.set_faults(lose).await;
    let answer = settlement.send(&basin.entries[0]).await.unwrap();
    basin.backends[0].wait_for_unsettled(0).await;
    let again = settlement.send_until_final(&basin.entries[1]).await;

    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(again.body, answer.body);
    assert!(basin.platform.counts().await.lost >= 2);
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(answer));
    checker.record(&settlement, Some(again));
    checker.check(&basin.executions().await);
}

/// A clerk notices nothing, and nothing is paid twice: the answer to the claim is lost and the claim
/// takes effect two seconds late. Read back meanwhile, the row looks free; the sidecar repeats the
/// very same write instead of trusting that look.
#[tokio::test]
async fn a_claim_that_takes_effect_late() {
    let basin = basin().await;
    let executed = warm_up(&basin).await;
    let settlement = Request::settlement("late-claim");
    let late = PlatformFaults {
        late_effects: Some(1),
        late_effect_ms: Some(2000),
        ..PlatformFaults::default()
    };

    let conflicts = basin.platform.counts().await.conflicts;
    basin.platform.set_faults(late).await;
    let answer = settlement.send(&basin.entries[0]).await.unwrap();
    wait_until("the late write meets the row", async || {
        basin.platform.counts().await.conflicts > conflicts
    })
    .await;
    let again = settlement.send_until_final(&basin.entries[1]).await;

    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(again.body, answer.body);
    assert_eq!(basin.executions().await.len(), executed + 1);
}

/// The clerk is told that the settlement did not run, and it does not; asked again, it is paid once.
/// All writes lose their answers and take effect seconds late, so the claim is given up while it may
/// still come; when it comes, nobody makes the call, and the row is freed.
#[tokio::test]
async fn a_claim_that_takes_effect_after_it_was_given_up() {
    let basin = basin().await;
    let executed = warm_up(&basin).await;
    let settlement = Request::settlement("given-up");
    let late = |late_effects| PlatformFaults {
        late_effects: Some(late_effects),
        late_effect_ms: Some(4000),
        ..PlatformFaults::default()
    };

    basin.platform.set_faults(late(ALL)).await;
    let refused = settlement.send(&basin.entries[0]).await.unwrap();
    let key = settlement.claim_key();
    wait_until("a write takes effect late", async || {
        basin.platform.row(&key).await.version.get() > 0
    })
    .await;
    basin.platform.set_faults(late(0)).await;
    basin.backends[0].wait_for_unsettled(0).await;
    let executed_meanwhile = basin.executions().await.len();
    let answer = settlement.send_until_final(&basin.entries[1]).await;

    assert_table_away(&refused);
    assert_eq!(executed_meanwhile, executed);
    assert!(answer.is_complete(), "{answer:?}");
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(refused));
    checker.record(&settlement, Some(answer));
    checker.check(&basin.executions().await);
}
