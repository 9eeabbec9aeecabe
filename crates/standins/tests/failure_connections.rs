//! Connections between entry and sidecar that go silent for good, or are cut.

mod support;

use support::{
    Answer, AnswerChecker, BackendHost, BackendPlan, BasinPlan, DeltaBasin, Request, wait_until,
};
use tokio::task::JoinHandle;

/// Requests on the connection as it fails.
const OPEN_REQUESTS: usize = 8;
/// Tokens of a streamed answer.
const STREAM_TOKENS: u32 = 60;
/// Tokens that the caller has as the connection fails.
const TOKENS_BEFORE: usize = 10;

/// Two entries and one host of the grower ledger, with a relay before its sidecar.
async fn basin() -> DeltaBasin {
    let backend = BackendPlan::ledger(1).with_relay();
    DeltaBasin::start(BasinPlan::new([backend])).await
}

/// Settlements and repeatable calls in turn.
fn requests(name: &str, count: usize) -> Vec<Request> {
    let request = |number: usize| match number % 2 {
        0 => Request::settlement(&format!("{name}-{number}")),
        _ => Request::balance(&format!("{name}-{number}")),
    };
    (0..count).map(request).collect()
}

/// Requests at the first entry that the backend server has begun and holds.
async fn held_requests(basin: &DeltaBasin) -> (Vec<Request>, Vec<JoinHandle<Option<Answer>>>) {
    let requests = requests("open", OPEN_REQUESTS);
    basin.backends[0].hold_calls(true).await;
    let ask = |request: &Request| request.send_in_background(&basin.entries[0]);
    let answers = requests.iter().map(ask).collect();
    basin.backends[0].wait_for_executions(OPEN_REQUESTS).await;
    (requests, answers)
}

/// Lets the held calls end and judges their answers, all of which must be complete.
async fn all_complete(
    basin: &DeltaBasin,
    requests: Vec<Request>,
    answers: Vec<JoinHandle<Option<Answer>>>,
) {
    basin.backends[0].hold_calls(false).await;
    let mut checker = AnswerChecker::default();
    for (request, answer) in requests.iter().zip(answers) {
        let answer = answer.await.expect("the caller's task ends");
        let is_complete = answer.as_ref().is_some_and(Answer::is_complete);
        assert!(is_complete, "{request:?}: {answer:?}");
        checker.record(request, answer);
    }
    checker.check(&basin.executions().await);
}

/// Eight scale houses wait for receipts; each gets its own, within its deadline, and none is paid
/// twice. The one connection that carries all eight goes silent, so the entry never hears that
/// they are done; it must ask on a new connection, and must not send the work again.
#[tokio::test]
async fn a_connection_goes_silent_under_open_requests() {
    let basin = basin().await;
    let (requests, answers) = held_requests(&basin).await;
    let before = basin.backends[0].relay().counts().await;

    let silenced = basin.backends[0].relay().silence_open().await;

    all_complete(&basin, requests, answers).await;
    let after = basin.backends[0].relay().counts().await;
    assert!(silenced >= 1);
    assert!(after.accepted > before.accepted, "no new connection");
}

/// The same for a connection that is cut at both ends.
#[tokio::test]
async fn a_connection_is_cut_under_open_requests() {
    let basin = basin().await;
    let (requests, answers) = held_requests(&basin).await;

    let cut = basin.backends[0].relay().cut_open().await;

    assert!(cut >= 1);
    all_complete(&basin, requests, answers).await;
}

/// The first requests after a quiet night get their answers within their deadlines all the same.
/// The idle connection went silent in the meantime, and nobody noticed: the attempts sent on it
/// never arrive, are taken back on a new connection, and are sent again there.
#[tokio::test]
async fn an_idle_connection_went_silent() {
    let basin = basin().await;
    let entry = &basin.entries[0];
    let first = Request::settlement("evening");
    assert!(first.send_until_final(entry).await.is_complete());
    basin.backends[0].relay().silence_open().await;

    let requests = requests("morning", OPEN_REQUESTS);
    let answers = requests
        .iter()
        .map(|request| request.send_in_background(entry));
    let answers = answers.collect::<Vec<_>>();

    all_complete(&basin, requests, answers).await;
}

/// The very first request of an entry gets its answer, though its connection to the sidecar is dead.
/// The connection was opened to compare settings trees, and went silent; the entry's first question
/// to the sidecar, who it is, is lost on it and asked again on a new one.
#[tokio::test]
async fn an_idle_connection_went_silent_before_the_first_request() {
    let backend = BackendPlan::ledger(1).with_relay();
    let basin = DeltaBasin::start(BasinPlan::new([backend]).with_entries(1)).await;
    let relay = basin.backends[0].relay();
    wait_until("the entry compares trees with the sidecar", async || {
        relay.counts().await.to_client_bytes > 0
    })
    .await;
    relay.silence_open().await;

    let settlement = Request::settlement("first");
    let answer = settlement.send(&basin.entries[0]).await;

    assert!(
        answer.as_ref().is_some_and(Answer::is_complete),
        "{answer:?}"
    );
    let mut checker = AnswerChecker::default();
    checker.record(&settlement, answer);
    checker.check(&basin.executions().await);
}

/// A driver reads an assessment as it is written; it stops for a moment and goes on where it was,
/// no word missing and none twice. The connection to the model engine's sidecar fails mid-stream.
async fn a_stream_resumes_whole(fail: impl AsyncFnOnce(&BackendHost) -> u64) {
    let basin = DeltaBasin::start(BasinPlan::pipeline(20)).await;
    let assessment = Request::assessment("truck-7", STREAM_TOKENS);
    let mut stream = assessment.stream(&basin.entries[0]).await;
    stream.read_tokens(TOKENS_BEFORE).await;

    let failed = fail(&basin.backends[0]).await;
    let end = stream.read_to_end().await.cloned();

    assert!(failed >= 1);
    let end = end.expect("the stream has an end");
    assert_eq!(end["code"], 1000, "{end}");
    let expected: Vec<u64> = (0..u64::from(STREAM_TOKENS)).collect();
    assert_eq!(stream.token_numbers(), expected);
    assert!(stream.text().starts_with("[truck-7] "));
}

/// The connection is cut: both ends know at once.
#[tokio::test]
async fn a_stream_whose_connection_is_cut_resumes_whole() {
    a_stream_resumes_whole(async |host| host.relay().cut_open().await).await;
}

/// The connection goes silent: only the missed ping tells the entry.
#[tokio::test]
async fn a_stream_whose_connection_goes_silent_resumes_whole() {
    a_stream_resumes_whole(async |host| host.relay().silence_open().await).await;
}
