//! Platform failures: outages, missing answers, and writes that take effect late.

mod support;

use amaranthscale_standins::platform::PlatformFaults;
use support::{
    Answer, AnswerChecker, BackendPlan, BasinPlan, DeltaBasin, Request, await_answer, wait_until,
};

/// More transactions than any test makes.
const ALL_TRANSACTIONS: u32 = 1_000;

/// Two entries and one host of the grower ledger.
async fn basin() -> DeltaBasin {
    DeltaBasin::start(BasinPlan::new([BackendPlan::ledger(1)])).await
}

/// Makes one settlement, so that the next transactions belong to the settlement under test.
///
/// Returns the number of executions.
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

/// Asserts that an answer states that the call did not run and when to retry.
fn assert_table_unavailable(answer: &Answer) {
    assert_eq!(
        (answer.code, answer.ran.as_str()),
        (2206, "no"),
        "{answer:?}"
    );
    assert!(answer.retry_after_ms.is_some(), "{answer:?}");
}

/// Asserts that a repeatable call completes at every entry.
async fn assert_repeatable_calls_complete(basin: &DeltaBasin, marker: &str) {
    let balance = Request::balance(marker);
    for entry in &basin.entries {
        let answer = balance.send(entry).await.expect("the entry answers");
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.body_digest(), Some(balance.digest().as_str()));
    }
}

/// Guards against a settlement of unknown outcome, and against repeatable calls that fail, while
/// the platform is unavailable before the claim. The settlement is refused as not run and completes
/// after the outage; repeatable calls complete during it.
#[tokio::test]
async fn a_settlement_during_an_outage_is_refused_as_not_run() {
    let basin = basin().await;
    warm_up(&basin).await;
    let settlement = Request::settlement("before");
    let mut checker = AnswerChecker::default();

    basin.platform.set_outage(true).await;
    let refused = settlement.send(&basin.entries[0]).await.unwrap();
    assert_repeatable_calls_complete(&basin, "meanwhile").await;
    let executions_during = basin.executions().await;
    basin.platform.set_outage(false).await;
    let answer = settlement.send_until_final(&basin.entries[1]).await;

    assert_table_unavailable(&refused);
    checker.record(&settlement, Some(refused));
    checker.check(&executions_during);
    assert!(answer.is_complete(), "{answer:?}");
    checker.record(&settlement, Some(answer));
    checker.check(&basin.executions().await);
}

/// Guards against a lost receipt, and a settlement that runs twice: the platform fails while the
/// settlement runs, so its outcome cannot be written. The caller gets the receipt, no other attempt
/// can run meanwhile, and the same key returns the receipt after the outage.
#[tokio::test]
async fn a_running_settlement_completes_during_an_outage() {
    let basin = basin().await;
    let settlement = Request::settlement("during");
    basin.backends[0].hold_calls(true).await;
    let pending = settlement.send_in_background(&basin.entries[0]);
    basin.backends[0].wait_for_executions(1).await;

    basin.platform.set_outage(true).await;
    basin.backends[0].hold_calls(false).await;
    let answer = await_answer(pending).await;
    let during = settlement.send(&basin.entries[1]).await.unwrap();
    assert_repeatable_calls_complete(&basin, "meanwhile").await;
    basin.platform.set_outage(false).await;
    basin.backends[0].wait_for_unsettled(0).await;
    let repeated = settlement.send_until_final(&basin.entries[1]).await;

    assert!(answer.is_complete(), "{answer:?}");
    assert_table_unavailable(&during);
    assert_eq!(repeated.body, answer.body);
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(answer));
    checker.record(&settlement, Some(repeated));
    let executions = basin.executions().await;
    let settled = executions.iter().filter(|one| one.path == "settlements");
    assert_eq!(settled.count(), 1);
}

/// Guards against a receipt that is lost in an outage: it was written before the platform failed
/// and must be returned again after it.
#[tokio::test]
async fn a_receipt_from_before_an_outage_is_returned_again_after_it() {
    let basin = basin().await;
    let settlement = Request::settlement("after");
    let answer = settlement.send_until_final(&basin.entries[0]).await;
    basin.backends[0].wait_for_unsettled(0).await;

    basin.platform.set_outage(true).await;
    let during = settlement.send(&basin.entries[1]).await.unwrap();
    basin.platform.set_outage(false).await;
    let repeated = settlement.send_until_final(&basin.entries[1]).await;

    assert_table_unavailable(&during);
    assert_eq!(repeated.body, answer.body);
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(answer));
    checker.record(&settlement, Some(repeated));
    checker.check(&basin.executions().await);
}

/// Guards against missed deadlines and unknown outcomes: the platform accepts calls and never
/// answers. Settlements are refused as not run, in time, and repeatable calls complete.
#[tokio::test]
async fn a_settlement_is_refused_as_not_run_if_the_platform_does_not_answer() {
    let basin = basin().await;
    warm_up(&basin).await;
    let settlement = Request::settlement("silent");
    let silence = |is_silent| PlatformFaults {
        silent: Some(is_silent),
        ..PlatformFaults::default()
    };

    basin.platform.set_faults(silence(true)).await;
    let refused = settlement.send(&basin.entries[0]).await.unwrap();
    assert_repeatable_calls_complete(&basin, "meanwhile").await;
    let executions_during = basin.executions().await;
    basin.platform.set_faults(silence(false)).await;
    let answer = settlement.send_until_final(&basin.entries[1]).await;

    assert_table_unavailable(&refused);
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(refused));
    checker.check(&executions_during);
    assert!(answer.is_complete(), "{answer:?}");
    checker.record(&settlement, Some(answer));
    checker.check(&basin.executions().await);
}

/// Guards against a settlement that is refused or stays unknown because of a lost answer: the claim
/// took effect, its answer is lost, and the sidecar finds its own write id in the row. The same for
/// the write of the outcome.
#[tokio::test]
async fn a_settlement_completes_although_the_platform_loses_answers() {
    let basin = basin().await;
    warm_up(&basin).await;
    let settlement = Request::settlement("lost-answers");
    let lost_answers = PlatformFaults {
        lose_answers: Some(2),
        ..PlatformFaults::default()
    };

    basin.platform.set_faults(lost_answers).await;
    let answer = settlement.send(&basin.entries[0]).await.unwrap();
    basin.backends[0].wait_for_unsettled(0).await;
    let repeated = settlement.send_until_final(&basin.entries[1]).await;

    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(repeated.body, answer.body);
    assert!(basin.platform.counts().await.lost >= 2);
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(answer));
    checker.record(&settlement, Some(repeated));
    checker.check(&basin.executions().await);
}

/// Guards against a settlement that runs twice: the answer to the claim is lost and the claim takes
/// effect two seconds late. A read meanwhile shows the row as free; the sidecar must repeat the
/// identical write instead of relying on that read.
#[tokio::test]
async fn a_settlement_runs_once_if_its_claim_takes_effect_late() {
    let basin = basin().await;
    let executions_before = warm_up(&basin).await;
    let settlement = Request::settlement("late-claim");
    let late_write = PlatformFaults {
        late_effects: Some(1),
        late_effect_ms: Some(2000),
        ..PlatformFaults::default()
    };

    let conflicts = basin.platform.counts().await.conflicts;
    basin.platform.set_faults(late_write).await;
    let answer = settlement.send(&basin.entries[0]).await.unwrap();
    wait_until("the late write conflicts with the row", async || {
        basin.platform.counts().await.conflicts > conflicts
    })
    .await;
    let repeated = settlement.send_until_final(&basin.entries[1]).await;

    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(repeated.body, answer.body);
    assert_eq!(basin.executions().await.len(), executions_before + 1);
}

/// Guards against a settlement that runs after it was reported as not run: all writes lose their
/// answers and take effect seconds late, so the claim is abandoned while it may still take effect.
/// When it does, no call is made and the row is freed; a retry runs once.
#[tokio::test]
async fn a_claim_that_takes_effect_after_it_was_abandoned_does_not_run() {
    let basin = basin().await;
    let executions_before = warm_up(&basin).await;
    let settlement = Request::settlement("given-up");
    let late_writes = |late_effects| PlatformFaults {
        late_effects: Some(late_effects),
        late_effect_ms: Some(4000),
        ..PlatformFaults::default()
    };

    basin
        .platform
        .set_faults(late_writes(ALL_TRANSACTIONS))
        .await;
    let refused = settlement.send(&basin.entries[0]).await.unwrap();
    let key = settlement.claim_key();
    wait_until("a write takes effect late", async || {
        basin.platform.row(&key).await.version.get() > 0
    })
    .await;
    basin.platform.set_faults(late_writes(0)).await;
    basin.backends[0].wait_for_unsettled(0).await;
    let executions_during = basin.executions().await.len();
    let answer = settlement.send_until_final(&basin.entries[1]).await;

    assert_table_unavailable(&refused);
    assert_eq!(executions_during, executions_before);
    assert!(answer.is_complete(), "{answer:?}");
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(refused));
    checker.record(&settlement, Some(answer));
    checker.check(&basin.executions().await);
}
