//! Invalid requests are refused with a result code for each cause, and do not run.

mod support;

use std::fmt::Write as _;

use serde_json::json;
use support::{
    AnswerChecker, BackendPlan, BasinPlan, DRIVER_TRIAL_KEY, DeltaBasin, MILL_ACCOUNTS_KEY,
    Request, await_answer,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Entry settings with a small body limit and a short read timeout.
const NARROW_LIMITS: &str = "[limits]\nmax_body_bytes = 4096\nread_timeout_ms = 500\n";

/// One entry with [`NARROW_LIMITS`] and one host of the grower ledger.
async fn basin() -> DeltaBasin {
    let plan = BasinPlan::new([BackendPlan::ledger(1)]);
    DeltaBasin::start(plan.with_entries(1).with_entry_settings(NARROW_LIMITS)).await
}

/// Invalid settlements, each with its expected result code.
fn bad_requests() -> Vec<(Request, u16)> {
    let settlement = || Request::settlement("bad");
    let long_body = json!({"marker": "x".repeat(5000)}).to_string();
    vec![
        (settlement().with_body("{\"marker\": "), 2001),
        (settlement().with_body("tonnes=17"), 2001),
        (settlement().with_key(Some("")), 2001),
        (settlement().with_bearer("demo-delta-nobody"), 2002),
        (settlement().with_bearer(""), 2002),
        (settlement().with_bearer(DRIVER_TRIAL_KEY), 2003),
        (settlement().with_path("/v1/pipelines/no-such"), 2004),
        (settlement().with_path("/v1/pipelines/"), 2004),
        (settlement().with_path("/v1/services/no-such/x"), 2005),
        (settlement().with_key(None), 2006),
        (settlement().with_body(long_body), 2008),
        (settlement().with_deadline("0"), 2009),
        (settlement().with_deadline("-1"), 2009),
        (settlement().with_deadline("soon"), 2009),
        (settlement().with_deadline("99999999999999999999"), 2009),
        (settlement().with_deadline("120001"), 2009),
        (settlement().with_path("/v2/settlements"), 2011),
    ]
}

/// Guards against an invalid request that runs, or whose code does not state the caller's mistake:
/// syntax, key, path, size or deadline.
#[tokio::test]
async fn each_invalid_request_gets_its_own_code_and_does_not_run() {
    let basin = basin().await;
    let entry = &basin.entries[0];
    let suspend = json!({"kind": "suspend", "id": "driver-trial"});
    let suspended = entry.edit(1, "lena", &suspend).await;
    suspended.success().unwrap();

    for (request, code) in bad_requests() {
        let answer = request.send(entry).await.unwrap();

        assert_eq!(answer.code, code, "{request:?}");
        assert_eq!(answer.ran, "no", "{request:?}");
    }
    assert!(basin.executions().await.is_empty());
}

/// Guards against an answer to the wrong request: a caller uses the key of one settlement for
/// another, by mistake. The second is refused while the first runs and after it; the first keeps
/// its receipt.
#[tokio::test]
async fn a_key_reused_with_another_body_is_refused() {
    let basin = basin().await;
    let entry = &basin.entries[0];
    let first = Request::settlement("first");
    let second = first.clone().with_body(json!({"tonnes": 99}).to_string());
    basin.backends[0].hold_calls(true).await;
    let first_answer = first.send_in_background(entry);
    basin.backends[0].wait_for_executions(1).await;

    let during = second.send(entry).await.unwrap();
    basin.backends[0].hold_calls(false).await;
    let first_answer = await_answer(first_answer).await;
    let after = second.send(entry).await.unwrap();
    let repeated = first.send(entry).await.unwrap();

    assert_eq!((during.code, during.ran.as_str()), (2007, "no"));
    assert_eq!((after.code, after.ran.as_str()), (2007, "no"));
    assert_eq!(repeated.body, first_answer.body);
    let mut checker = AnswerChecker::default();
    checker.record(&first, Some(first_answer));
    checker.record(&second, Some(during));
    checker.record(&second, Some(after));
    checker.check(&basin.executions().await);
}

/// Guards against keys shared between organisations: two use the same key by chance. Both
/// settlements run, and each gets its own receipt.
#[tokio::test]
async fn organisations_may_use_the_same_key() {
    let basin = basin().await;
    let entry = &basin.entries[0];
    let mill = Request::settlement("mill").with_key(Some("17"));
    let north = Request::settlement("north")
        .with_key(Some("17"))
        .with_bearer("demo-delta-north-intake");

    let mill_answer = mill.send_until_final(entry).await;
    let north_answer = north.send_until_final(entry).await;

    assert!(mill_answer.is_complete(), "{mill_answer:?}");
    assert!(north_answer.is_complete(), "{north_answer:?}");
    let mut checker = AnswerChecker::default();
    checker.record(&mill, Some(mill_answer));
    checker.record(&north, Some(north_answer));
    checker.check(&basin.executions().await);
}

/// Guards against a truncated request that runs: a caller sends a part of its body and then
/// nothing. The entry answers that the body did not arrive in time.
#[tokio::test]
async fn an_incomplete_body_times_out_and_does_not_run() {
    let basin = basin().await;
    let address = basin.entries[0].process.address();
    let mut head = "POST /v1/services/grower-ledger/settlements HTTP/1.1\r\n".to_owned();
    write!(
        head,
        "host: {address}\r\nauthorization: Bearer {MILL_ACCOUNTS_KEY}\r\n\
         idempotency-key: slow\r\ncontent-length: 100\r\n\r\n{{\"marker\":\"slow\"}}"
    )
    .unwrap();
    let mut connection = TcpStream::connect(address).await.unwrap();

    connection.write_all(head.as_bytes()).await.unwrap();
    let mut reply = String::new();
    connection.read_to_string(&mut reply).await.unwrap();

    assert!(reply.contains("x-amaranth-code: 2010"), "{reply}");
    assert!(reply.contains("x-amaranth-ran: no"), "{reply}");
    assert!(basin.executions().await.is_empty());
}

/// Guards against invalid requests that impair a valid one sent at the same time.
#[tokio::test]
async fn a_valid_request_completes_beside_invalid_ones() {
    let basin = basin().await;
    let entry = &basin.entries[0];
    let bad: Vec<_> = bad_requests()
        .iter()
        .map(|(request, _)| request.send_in_background(entry))
        .collect();
    let settlement = Request::settlement("good");

    let answer = settlement.send_until_final(entry).await;
    for pending in bad {
        let answer = await_answer(pending).await;
        assert_ne!(answer.code / 1000, 4, "{answer:?}");
    }

    assert!(answer.is_complete(), "{answer:?}");
    let digest = settlement.digest();
    let executions = basin.executions().await;
    let matching = executions
        .iter()
        .filter(|execution| execution.body_digest == digest);
    assert_eq!(matching.count(), 1);
}
