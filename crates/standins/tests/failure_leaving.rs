//! Hosts that leave: nothing new starts there, and no request is cut off.

mod support;

use amaranthscale_standins::platform::PlatformFaults;
use support::{
    Answer, AnswerChecker, BackendPlan, BasinPlan, DeltaBasin, Request, await_answer, terminate,
    wait_until,
};
use tokio::task::JoinHandle;

/// Requests that come while a host is leaving.
const LATER_REQUESTS: usize = 12;
/// Tokens of a streamed answer.
const STREAM_TOKENS: u32 = 60;
/// Tokens that the caller has as the entry is told to end.
const TOKENS_BEFORE: usize = 10;
/// Time by which the host list is late, longer than the sidecar itself takes to say that it leaves.
const HOST_LIST_LAG_MS: u64 = 4000;

/// Two entries and two hosts of the grower ledger.
async fn basin() -> DeltaBasin {
    DeltaBasin::start(BasinPlan::new([
        BackendPlan::ledger(1),
        BackendPlan::ledger(2),
    ]))
    .await
}

/// A settlement that a backend server has begun and holds, and the number of its host.
async fn held(basin: &DeltaBasin) -> (Request, JoinHandle<Option<Answer>>, usize) {
    for backend in &basin.backends {
        backend.hold_calls(true).await;
    }
    let settlement = Request::settlement("held");
    let answer = settlement.send_in_background(&basin.entries[0]);
    wait_until("the settlement is begun", async || {
        basin.executions().await.len() == 1
    })
    .await;
    let is_first = !basin.backends[0].executions().await.is_empty();
    (settlement, answer, usize::from(!is_first))
}

/// A host is replaced while it settles an account. The clerk gets the receipt; settlements made
/// meanwhile go elsewhere. The sidecar is told to end long before the host list says so.
#[tokio::test]
async fn a_sidecar_ends_with_a_held_call() {
    let mut basin = basin().await;
    let late = PlatformFaults {
        host_list_lag_ms: Some(HOST_LIST_LAG_MS),
        ..PlatformFaults::default()
    };
    basin.platform.set_faults(late).await;
    let (settlement, answer, leaver) = held(&basin).await;
    let host = basin.backends[leaver].host().to_owned();
    basin.platform.set_leaving(&host).await;

    terminate(&mut basin.backends[leaver].sidecar);
    wait_until("the sidecar leaves", async || {
        basin.backends[leaver].status().await["is_leaving"] == true
    })
    .await;
    basin.backends[1 - leaver].hold_calls(false).await;
    let mut checker = AnswerChecker::default();
    basin
        .make_settlements(&mut checker, "later", LATER_REQUESTS)
        .await;
    let begun_meanwhile = basin.backends[leaver].executions().await.len();
    basin.backends[leaver].hold_calls(false).await;
    let answer = await_answer(answer).await;
    let status = basin.backends[leaver].sidecar.wait().unwrap();

    assert_eq!(begun_meanwhile, 1, "new work on a host that leaves");
    assert!(answer.is_complete(), "{answer:?}");
    assert!(status.success(), "{status}");
    checker.record(&settlement, Some(answer));
    checker.check(&basin.executions().await);
}

/// The platform marks a host as leaving, and nobody has told its sidecar. Once the entries have the
/// late host list, the host gets nothing new.
#[tokio::test]
async fn a_host_leaves_by_the_host_list() {
    let basin = basin().await;
    let mut checker = AnswerChecker::default();
    basin
        .make_settlements(&mut checker, "later", LATER_REQUESTS)
        .await;
    let before = basin.backends[0].executions().await.len();
    let host = basin.backends[0].host().to_owned();

    basin.platform.set_leaving(&host).await;
    let version = basin.platform.host_list_version().await;
    for entry in &basin.entries {
        entry.wait_for_host_list(version).await;
    }
    let answer = Request::settlement("last").send(&basin.entries[0]).await;
    let numbers = 0..LATER_REQUESTS;
    for balance in numbers.map(|number| Request::balance(&format!("after-{number}"))) {
        let answer = balance.send(&basin.entries[1]).await.unwrap();
        assert!(answer.is_complete(), "{answer:?}");
    }

    assert!(answer.unwrap().is_complete());
    assert_eq!(basin.backends[0].executions().await.len(), before);
    checker.check(&basin.executions().await);
}

/// A driver reads an assessment as it is written while the entry host is replaced: the last word
/// comes, then the entry ends, and what asks it meanwhile goes to another.
#[tokio::test]
async fn an_entry_ends_with_an_open_stream() {
    let mut basin = DeltaBasin::start(BasinPlan::pipeline(20)).await;
    let assessment = Request::assessment("truck-9", STREAM_TOKENS);
    let mut stream = assessment.stream(&basin.entries[0]).await;
    stream.read_tokens(TOKENS_BEFORE).await;

    terminate(&mut basin.entries[0].process);
    let is_closed = wait_until("the entry takes nothing new", async || {
        assessment.send(&basin.entries[0]).await.is_none()
    });
    let (end, ()) = tokio::join!(stream.read_to_end(), is_closed);
    let end = end.cloned().expect("the stream has an end");
    let elsewhere = assessment.send_until_final(&basin.entries[1]).await;
    let status = basin.entries[0].process.wait().unwrap();

    assert_eq!(end["code"], 1000, "{end}");
    let expected: Vec<u64> = (0..u64::from(STREAM_TOKENS)).collect();
    assert_eq!(stream.token_numbers(), expected);
    assert!(elsewhere.is_complete(), "{elsewhere:?}");
    assert!(status.success(), "{status}");
}

/// Clerks whose settlements are held as the entry is told to end get their receipts before it ends.
#[tokio::test]
async fn an_entry_ends_with_held_calls() {
    let mut basin = basin().await;
    let (settlement, answer, holder) = held(&basin).await;

    terminate(&mut basin.entries[0].process);
    let other = Request::balance("other").with_bearer("nobody");
    wait_until("the entry takes nothing new", async || {
        other.send(&basin.entries[0]).await.is_none()
    })
    .await;
    basin.backends[holder].hold_calls(false).await;
    let answer = await_answer(answer).await;
    let status = basin.entries[0].process.wait().unwrap();

    assert!(answer.is_complete(), "{answer:?}");
    assert!(status.success(), "{status}");
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(answer));
    checker.check(&basin.executions().await);
}

/// An operator who cannot wait asks a second time: the entry ends at once and says so by its exit
/// status. The clerk sees the connection break, asks elsewhere, and gets the one receipt.
#[tokio::test]
async fn a_second_signal_ends_an_entry() {
    let mut basin = basin().await;
    let (settlement, answer, holder) = held(&basin).await;
    terminate(&mut basin.entries[0].process);
    let other = Request::balance("other").with_bearer("nobody");
    wait_until("the entry takes nothing new", async || {
        other.send(&basin.entries[0]).await.is_none()
    })
    .await;

    terminate(&mut basin.entries[0].process);
    let status = basin.entries[0].process.wait().unwrap();
    let answer = answer.await.unwrap();
    basin.backends[holder].hold_calls(false).await;
    let again = settlement.send_until_final(&basin.entries[1]).await;

    assert_eq!(status.code(), Some(1));
    assert!(answer.is_none(), "{answer:?}");
    assert!(again.is_complete(), "{again:?}");
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, answer);
    checker.record(&settlement, Some(again));
    checker.check(&basin.executions().await);
}

/// The same for a sidecar: the call that it cuts off is told as unknown, and never made again.
#[tokio::test]
async fn a_second_signal_ends_a_sidecar() {
    let mut basin = basin().await;
    let (settlement, answer, leaver) = held(&basin).await;
    terminate(&mut basin.backends[leaver].sidecar);
    wait_until("the sidecar leaves", async || {
        basin.backends[leaver].status().await["is_leaving"] == true
    })
    .await;

    terminate(&mut basin.backends[leaver].sidecar);
    let status = basin.backends[leaver].sidecar.wait().unwrap();
    let answer = await_answer(answer).await;
    basin.backends[leaver].hold_calls(false).await;
    let again = settlement.send_until_final(&basin.entries[1]).await;

    assert_eq!(status.code(), Some(1));
    assert_eq!((answer.code, answer.ran.as_str()), (4001, "unknown"));
    assert_eq!((again.code, again.ran.as_str()), (4001, "unknown"));
    assert_eq!(basin.executions().await.len(), 1);
}
