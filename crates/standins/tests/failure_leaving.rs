//! Graceful stops of hosts: no new work starts there, and running requests complete.

mod support;

use amaranthscale_standins::platform::PlatformFaults;
use support::{
    Answer, AnswerChecker, BackendPlan, BasinPlan, DeltaBasin, Request, await_answer, terminate,
    wait_until,
};
use tokio::task::JoinHandle;

/// Requests made while a host is leaving.
const LATER_REQUESTS: usize = 12;
/// Tokens of a streamed answer.
const STREAM_TOKENS: u32 = 60;
/// Tokens that the caller has received as the entry gets SIGTERM.
const TOKENS_BEFORE_STOP: usize = 10;
/// Lag of the host list, longer than the sidecar itself takes to report that it is leaving.
const HOST_LIST_LAG_MS: u64 = 4000;

/// Two entries and two hosts of the grower ledger.
async fn basin() -> DeltaBasin {
    DeltaBasin::start(BasinPlan::new([
        BackendPlan::ledger(1),
        BackendPlan::ledger(2),
    ]))
    .await
}

/// Starts a settlement that a backend server holds; also returns the index of its host.
async fn start_held_settlement(basin: &DeltaBasin) -> (Request, JoinHandle<Option<Answer>>, usize) {
    for backend in &basin.backends {
        backend.hold_calls(true).await;
    }
    let settlement = Request::settlement("held");
    let answer = settlement.send_in_background(&basin.entries[0]);
    wait_until("the settlement has begun", async || {
        basin.executions().await.len() == 1
    })
    .await;
    let is_first = !basin.backends[0].executions().await.is_empty();
    (settlement, answer, usize::from(!is_first))
}

/// Guards against a settlement that a graceful stop interrupts, and against new work on a stopping
/// host: the sidecar gets SIGTERM during a call, long before the host list shows its host as
/// leaving.
#[tokio::test]
async fn a_stopping_sidecar_finishes_its_call_and_accepts_no_other() {
    let mut basin = basin().await;
    let lagging = PlatformFaults {
        host_list_lag_ms: Some(HOST_LIST_LAG_MS),
        ..PlatformFaults::default()
    };
    basin.platform.set_faults(lagging).await;
    let (settlement, answer, leaving) = start_held_settlement(&basin).await;
    let host = basin.backends[leaving].host().to_owned();
    basin.platform.set_leaving(&host).await;

    terminate(&mut basin.backends[leaving].sidecar);
    wait_until("the sidecar is leaving", async || {
        basin.backends[leaving].status().await["is_leaving"] == true
    })
    .await;
    basin.backends[1 - leaving].hold_calls(false).await;
    let mut checker = AnswerChecker::default();
    basin
        .make_settlements(&mut checker, "later", LATER_REQUESTS)
        .await;
    let begun_while_leaving = basin.backends[leaving].executions().await.len();
    basin.backends[leaving].hold_calls(false).await;
    let answer = await_answer(answer).await;
    let status = basin.backends[leaving].sidecar.wait().unwrap();

    assert_eq!(begun_while_leaving, 1, "new work on a leaving host");
    assert!(answer.is_complete(), "{answer:?}");
    assert!(status.success(), "{status}");
    checker.record(&settlement, Some(answer));
    checker.check(&basin.executions().await);
}

/// Guards against new work on a host that only the host list marks as leaving: its sidecar is not
/// stopped. Once the entries have the new host list, the host gets no new call.
#[tokio::test]
async fn a_host_marked_as_leaving_gets_no_new_call() {
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

/// Guards against a streamed answer that a graceful stop interrupts: the entry gets SIGTERM mid-
/// stream. It finishes the stream, accepts no new requests and then exits.
#[tokio::test]
async fn a_stopping_entry_finishes_its_stream() {
    let mut basin = DeltaBasin::start(BasinPlan::pipeline(20)).await;
    let assessment = Request::assessment("truck-9", STREAM_TOKENS);
    let mut stream = assessment.stream(&basin.entries[0]).await;
    stream.read_tokens(TOKENS_BEFORE_STOP).await;

    terminate(&mut basin.entries[0].process);
    let is_closed = wait_until("the entry accepts no new request", async || {
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

/// Guards against settlements without an answer: the entry gets SIGTERM while a settlement runs,
/// and must return the receipt before it exits.
#[tokio::test]
async fn a_stopping_entry_answers_its_open_requests() {
    let mut basin = basin().await;
    let (settlement, answer, holding) = start_held_settlement(&basin).await;

    terminate(&mut basin.entries[0].process);
    let other = Request::balance("other").with_bearer("nobody");
    wait_until("the entry accepts no new request", async || {
        other.send(&basin.entries[0]).await.is_none()
    })
    .await;
    basin.backends[holding].hold_calls(false).await;
    let answer = await_answer(answer).await;
    let status = basin.entries[0].process.wait().unwrap();

    assert!(answer.is_complete(), "{answer:?}");
    assert!(status.success(), "{status}");
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, Some(answer));
    checker.check(&basin.executions().await);
}

/// Guards against an entry that an operator cannot stop while requests run, and against a
/// settlement that runs twice after such a stop. The entry exits with status 1, the caller's
/// connection ends without an answer, and another entry returns the receipt.
#[tokio::test]
async fn a_second_sigterm_stops_an_entry_at_once() {
    let mut basin = basin().await;
    let (settlement, answer, holding) = start_held_settlement(&basin).await;
    terminate(&mut basin.entries[0].process);
    let other = Request::balance("other").with_bearer("nobody");
    wait_until("the entry accepts no new request", async || {
        other.send(&basin.entries[0]).await.is_none()
    })
    .await;

    terminate(&mut basin.entries[0].process);
    let status = basin.entries[0].process.wait().unwrap();
    let answer = answer.await.unwrap();
    basin.backends[holding].hold_calls(false).await;
    let repeated = settlement.send_until_final(&basin.entries[1]).await;

    assert_eq!(status.code(), Some(1));
    assert!(answer.is_none(), "{answer:?}");
    assert!(repeated.is_complete(), "{repeated:?}");
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, answer);
    checker.record(&settlement, Some(repeated));
    checker.check(&basin.executions().await);
}

/// The same failure for a sidecar: the call that it interrupts is reported as unknown and does not
/// run again.
#[tokio::test]
async fn a_second_sigterm_stops_a_sidecar_at_once() {
    let mut basin = basin().await;
    let (settlement, answer, leaving) = start_held_settlement(&basin).await;
    terminate(&mut basin.backends[leaving].sidecar);
    wait_until("the sidecar is leaving", async || {
        basin.backends[leaving].status().await["is_leaving"] == true
    })
    .await;

    terminate(&mut basin.backends[leaving].sidecar);
    let status = basin.backends[leaving].sidecar.wait().unwrap();
    let answer = await_answer(answer).await;
    basin.backends[leaving].hold_calls(false).await;
    let repeated = settlement.send_until_final(&basin.entries[1]).await;

    assert_eq!(status.code(), Some(1));
    assert_eq!((answer.code, answer.ran.as_str()), (4001, "unknown"));
    assert_eq!((repeated.code, repeated.ran.as_str()), (4001, "unknown"));
    assert_eq!(basin.executions().await.len(), 1);
}
