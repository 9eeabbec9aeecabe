//! Connections between entry and sidecar that go silent permanently or are closed.
//!
//! A silent connection stays open and forwards nothing.

mod support;

use support::{
    Answer, AnswerChecker, BackendHost, BackendPlan, BasinPlan, DeltaBasin, Request, wait_until,
};
use tokio::task::JoinHandle;

/// Requests in flight on the connection as it fails.
const OPEN_REQUESTS: usize = 8;
/// Tokens of a streamed answer.
const STREAM_TOKENS: u32 = 60;
/// Tokens that the caller has received as the connection fails.
const TOKENS_BEFORE_FAILURE: usize = 10;

/// Two entries and one host of the grower ledger, with a relay in front of its sidecar.
async fn basin() -> DeltaBasin {
    let backend = BackendPlan::ledger(1).with_relay();
    DeltaBasin::start(BasinPlan::new([backend])).await
}

/// Alternating settlements and repeatable calls.
fn requests(name: &str, count: usize) -> Vec<Request> {
    let request = |number: usize| match number % 2 {
        0 => Request::settlement(&format!("{name}-{number}")),
        _ => Request::balance(&format!("{name}-{number}")),
    };
    (0..count).map(request).collect()
}

/// Sends requests to the first entry that the backend server begins and holds.
async fn start_held_requests(
    basin: &DeltaBasin,
) -> (Vec<Request>, Vec<JoinHandle<Option<Answer>>>) {
    let requests = requests("open", OPEN_REQUESTS);
    basin.backends[0].hold_calls(true).await;
    let send = |request: &Request| request.send_in_background(&basin.entries[0]);
    let answers = requests.iter().map(send).collect();
    basin.backends[0].wait_for_executions(OPEN_REQUESTS).await;
    (requests, answers)
}

/// Releases the held calls and checks that each request gets its complete answer.
async fn assert_all_complete(
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

/// Guards against lost answers and settlements that run twice: the one connection that carries
/// eight open requests goes silent, so the entry receives no answers. It must fetch them on a new
/// connection and must not send the requests again.
#[tokio::test]
async fn open_requests_complete_after_their_connection_goes_silent() {
    let basin = basin().await;
    let (requests, answers) = start_held_requests(&basin).await;
    let before = basin.backends[0].relay().counts().await;

    let silenced = basin.backends[0].relay().silence_open().await;

    assert_all_complete(&basin, requests, answers).await;
    let after = basin.backends[0].relay().counts().await;
    assert!(silenced >= 1);
    assert!(
        after.accepted > before.accepted,
        "no new connection was opened"
    );
}

/// The same failure with a connection that is closed at both ends.
#[tokio::test]
async fn open_requests_complete_after_their_connection_is_closed() {
    let basin = basin().await;
    let (requests, answers) = start_held_requests(&basin).await;

    let cut = basin.backends[0].relay().cut_open().await;

    assert!(cut >= 1);
    assert_all_complete(&basin, requests, answers).await;
}

/// Guards against missed deadlines after an idle period in which the connection went silent
/// unnoticed: attempts sent on it never arrive. They are revoked on a new connection and sent again
/// there.
#[tokio::test]
async fn requests_complete_after_the_idle_connection_went_silent() {
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

    assert_all_complete(&basin, requests, answers).await;
}

/// Guards against a first request that fails on a dead connection. The connection was opened to
/// exchange settings trees and went silent; the entry's first request on it, which asks for the
/// sidecar's identity, is lost and repeated on a new connection.
#[tokio::test]
async fn the_first_request_completes_after_the_idle_connection_went_silent() {
    let backend = BackendPlan::ledger(1).with_relay();
    let basin = DeltaBasin::start(BasinPlan::new([backend]).with_entries(1)).await;
    let relay = basin.backends[0].relay();
    wait_until(
        "the entry exchanges tree versions with the sidecar",
        async || relay.counts().await.to_client_bytes > 0,
    )
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

/// Guards against a streamed answer with missing or repeated tokens: the connection to the model
/// engine's sidecar fails mid-stream, and the stream resumes on a new one.
async fn assert_stream_resumes(fail: impl AsyncFnOnce(&BackendHost) -> u64) {
    let basin = DeltaBasin::start(BasinPlan::pipeline(20)).await;
    let assessment = Request::assessment("truck-7", STREAM_TOKENS);
    let mut stream = assessment.stream(&basin.entries[0]).await;
    stream.read_tokens(TOKENS_BEFORE_FAILURE).await;

    let failed = fail(&basin.backends[0]).await;
    let end = stream.read_to_end().await.cloned();

    assert!(failed >= 1);
    let end = end.expect("the stream has an end");
    assert_eq!(end["code"], 1000, "{end}");
    let expected: Vec<u64> = (0..u64::from(STREAM_TOKENS)).collect();
    assert_eq!(stream.token_numbers(), expected);
    assert!(stream.text().starts_with("[truck-7] "));
}

/// Both ends detect the closed connection at once.
#[tokio::test]
async fn a_stream_resumes_without_gaps_after_its_connection_is_closed() {
    assert_stream_resumes(async |host| host.relay().cut_open().await).await;
}

/// The entry detects the silent connection only by the missing answer to its ping.
#[tokio::test]
async fn a_stream_resumes_without_gaps_after_its_connection_goes_silent() {
    assert_stream_resumes(async |host| host.relay().silence_open().await).await;
}
