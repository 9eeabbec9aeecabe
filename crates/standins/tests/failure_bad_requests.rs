//! Requests that cannot be served: each gets its own code, and nothing runs.

mod support;

use std::fmt::Write as _;

use serde_json::json;
use support::{
    AnswerChecker, BackendPlan, BasinPlan, DRIVER_TRIAL_KEY, DeltaBasin, MILL_ACCOUNTS_KEY,
    Request, await_answer,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Settings under which a body is soon too large, and a caller soon too slow.
const NARROW_LIMITS: &str = "[limits]\nmax_body_bytes = 4096\nread_timeout_ms = 500\n";

/// One entry with narrow limits and one host of the grower ledger.
async fn basin() -> DeltaBasin {
    let plan = BasinPlan::new([BackendPlan::ledger(1)]);
    DeltaBasin::start(plan.with_entries(1).with_entry_settings(NARROW_LIMITS)).await
}

/// A settlement that nobody may make, and the code that says why.
fn bad_requests() -> Vec<(Request, u16)> {
    let settlement = || Request::settlement("bad");
    let long = json!({"marker": "x".repeat(5000)}).to_string();
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
        (settlement().with_body(long), 2008),
        (settlement().with_deadline("0"), 2009),
        (settlement().with_deadline("-1"), 2009),
        (settlement().with_deadline("soon"), 2009),
        (settlement().with_deadline("99999999999999999999"), 2009),
        (settlement().with_deadline("120001"), 2009),
        (settlement().with_path("/v2/settlements"), 2011),
    ]
}

/// A caller with a mistake in its request learns which, by a code of its own, and is told that
/// nothing ran. The causes are the caller's: syntax, key, path, size, deadline.
#[tokio::test]
async fn each_mistake_has_its_own_code() {
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

/// A clerk uses the key of one settlement for another, by mistake: the second is refused while the
/// first runs and after it, and the first keeps its receipt.
#[tokio::test]
async fn a_key_comes_again_with_another_body() {
    let basin = basin().await;
    let entry = &basin.entries[0];
    let first = Request::settlement("first");
    let second = first.clone().with_body(json!({"tonnes": 99}).to_string());
    basin.backends[0].hold_calls(true).await;
    let first_answer = first.send_in_background(entry);
    basin.backends[0].wait_for_executions(1).await;

    let meanwhile = second.send(entry).await.unwrap();
    basin.backends[0].hold_calls(false).await;
    let first_answer = await_answer(first_answer).await;
    let afterwards = second.send(entry).await.unwrap();
    let again = first.send(entry).await.unwrap();

    assert_eq!((meanwhile.code, meanwhile.ran.as_str()), (2007, "no"));
    assert_eq!((afterwards.code, afterwards.ran.as_str()), (2007, "no"));
    assert_eq!(again.body, first_answer.body);
    let mut checker = AnswerChecker::default();
    checker.record(&first, Some(first_answer));
    checker.record(&second, Some(meanwhile));
    checker.record(&second, Some(afterwards));
    checker.check(&basin.executions().await);
}

/// Two organisations use the same key by chance: each settles its own, and gets its own receipt.
#[tokio::test]
async fn a_key_belongs_to_its_organisation() {
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

/// A scale house on a bad line sends half of its settlement and then nothing. The entry answers that
/// it did not arrive in time, and does not run the half.
#[tokio::test]
async fn a_caller_who_sends_half_a_body() {
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

/// Bad requests do no harm to good ones that come at the same time.
#[tokio::test]
async fn good_requests_go_through_among_bad_ones() {
    let basin = basin().await;
    let entry = &basin.entries[0];
    let bad: Vec<_> = bad_requests()
        .iter()
        .map(|(one, _)| one.send_in_background(entry))
        .collect();
    let settlement = Request::settlement("good");

    let answer = settlement.send_until_final(entry).await;
    for one in bad {
        let answer = await_answer(one).await;
        assert_ne!(answer.code / 1000, 4, "{answer:?}");
    }

    assert!(answer.is_complete(), "{answer:?}");
    let digest = settlement.digest();
    let executions = basin.executions().await;
    let own = executions.iter().filter(|one| one.body_digest == digest);
    assert_eq!(own.count(), 1);
}
