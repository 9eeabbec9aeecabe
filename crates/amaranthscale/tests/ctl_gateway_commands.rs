//! Commands of `amaranthctl` against a fake gateway.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should end its test"
)]

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use amaranthscale::operator::ctl::{CtlError, ExitStatus, command, run};
use amaranthscale::operator::{
    ChangeAnswer, ChangeOutcome, DRAIN_PATH, GATEWAY_SERVERS_PATH, GatewayServers, MovingRun,
    QUARANTINE_LIFT_PATH, QUARANTINE_LIST_PATH, ServerReport, UNDRAIN_PATH,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;

const FINGERPRINT: &str = "0123456789abcdef0123456789abcdef";
const OTHER_FINGERPRINT: &str = "fedcba9876543210fedcba9876543210";

/// Fault of the fake gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Every call is taken, and its answer is lost.
    AnswerLost,
    /// A change ends with this outcome.
    ChangeEnds(ChangeOutcome),
    /// Every call gets the metrics page, as from a gateway that does not know the path.
    Metrics,
}

/// What the fake gateway does and has received.
#[derive(Debug)]
struct FakeGateway {
    fault: Fault,
    changes: Vec<String>,
}

fn server_report() -> ServerReport {
    ServerReport {
        server: "i-7@1733184000000".parse().unwrap(),
        service: Some("pool".parse().unwrap()),
        address: Some("10.0.0.7:9000".parse().unwrap()),
        zone: Some("east".parse().unwrap()),
        state: "cold".to_owned(),
        max_per_s: Some(2.5),
        left_ms: Some(1_500),
        ejected_for_ms: None,
        drained_by: None,
        drained_at_ms: None,
        in_flight: 3,
    }
}

fn listing() -> GatewayServers {
    GatewayServers {
        gateway: "front-1".parse().unwrap(),
        servers: vec![server_report()],
        moving: vec![MovingRun {
            call: "c1".parse().unwrap(),
            from: "i-7".parse().unwrap(),
            to: "i-8".parse().unwrap(),
            elapsed_ms: 40,
        }],
    }
}

fn answer_path(gateway: &mut FakeGateway, method: &Method, path: &str) -> (u16, String) {
    if *method == Method::POST {
        gateway.changes.push(path.to_owned());
    }
    if gateway.fault == Fault::Metrics {
        return (200, "amaranth_open_requests 0\n".to_owned());
    }
    if let Some(request) = path.strip_prefix(QUARANTINE_LIFT_PATH) {
        return if request == FINGERPRINT {
            (200, format!("{request} is sent to servers again\n"))
        } else {
            (404, format!("{request} is not held back: look again\n"))
        };
    }
    if path.starts_with(DRAIN_PATH) || path.starts_with(UNDRAIN_PATH) {
        let outcome = match gateway.fault {
            Fault::ChangeEnds(outcome) => outcome,
            _ => ChangeOutcome::Done,
        };
        let text = format!("{path} is {outcome:?}");
        return (200, json!(ChangeAnswer { outcome, text }).to_string());
    }
    match path {
        GATEWAY_SERVERS_PATH => (200, json!(listing()).to_string()),
        QUARANTINE_LIST_PATH => (200, format!("{FINGERPRINT} i-1@5,i-2@6\n")),
        other => panic!("the fake gateway has no {other}"),
    }
}

fn answer(
    gateway: &Mutex<FakeGateway>,
    request: &Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let mut gateway = gateway.lock().unwrap();
    let (status, body) = answer_path(&mut gateway, request.method(), request.uri().path());
    if gateway.fault == Fault::AnswerLost {
        // An error closes the connection without an answer.
        return Err(std::io::Error::other("the answer is lost"));
    }
    let answer = Response::builder().status(status);
    Ok(answer.body(Full::from(body)).unwrap())
}

async fn serve(listener: TcpListener, gateway: Arc<Mutex<FakeGateway>>) -> Infallible {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let gateway = Arc::clone(&gateway);
        let service = service_fn(move |request| std::future::ready(answer(&gateway, &request)));
        let connection = hyper::server::conn::http1::Builder::new();
        tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
    }
}

/// A fake gateway and its address.
struct Fixture {
    address: SocketAddr,
    gateway: Arc<Mutex<FakeGateway>>,
}

impl Fixture {
    async fn open(fault: Fault) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let gateway = FakeGateway {
            fault,
            changes: Vec::new(),
        };
        let gateway = Arc::new(Mutex::new(gateway));
        tokio::spawn(serve(listener, Arc::clone(&gateway)));
        Self { address, gateway }
    }

    fn changes(&self) -> Vec<String> {
        self.gateway.lock().unwrap().changes.clone()
    }

    async fn run(&self, arguments: &str) -> Result<String, CtlError> {
        run_at(&self.address.to_string(), arguments).await
    }
}

async fn run_at(address: &str, arguments: &str) -> Result<String, CtlError> {
    let options = ["amaranthctl", "gateway", "--gateway", address];
    let arguments = options.into_iter().chain(arguments.split(' '));
    run(&command().try_get_matches_from(arguments).unwrap()).await
}

async fn closed_address() -> String {
    let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
    unused.local_addr().unwrap().to_string()
}

/// Guards against a listing without the figures of a state, or without the runs that are moved.
#[tokio::test]
async fn servers_are_listed_with_their_state_and_the_runs_that_are_moved() {
    let fixture = Fixture::open(Fault::None).await;

    let text = fixture.run("servers").await.unwrap();
    let as_json = fixture.run("servers --json").await.unwrap();

    let row = text.lines().find(|line| line.starts_with("i-7@")).unwrap();
    for part in [
        "pool",
        "east",
        "10.0.0.7:9000",
        "cold, 2.5/s, 1500 ms left",
        "3",
    ] {
        assert!(row.contains(part), "{part} is not in {row}");
    }
    assert!(text.contains("c1 from i-7 to i-8, for 40 ms"), "{text}");
    let parsed: GatewayServers = serde_json::from_str(&as_json).unwrap();
    assert_eq!(parsed, listing());
}

/// Guards against an operator who cannot see which requests are held back, or lift one of them.
#[tokio::test]
async fn a_request_that_is_held_back_is_listed_and_lifted() {
    let fixture = Fixture::open(Fault::None).await;

    let text = fixture.run("held-back").await.unwrap();
    let as_json = fixture.run("held-back --json").await.unwrap();
    let lifted = fixture.run(&format!("lift {FINGERPRINT}")).await.unwrap();

    let row = text.lines().last().unwrap();
    assert_eq!(row, format!("{FINGERPRINT}  i-1@5,i-2@6"));
    let parsed: Value = serde_json::from_str(&as_json).unwrap();
    let expected = json!([{"suspect": FINGERPRINT, "servers": ["i-1@5", "i-2@6"]}]);
    assert_eq!(parsed, expected);
    assert!(lifted.starts_with(FINGERPRINT), "{lifted}");
    assert_eq!(
        fixture.changes(),
        [format!("{QUARANTINE_LIFT_PATH}{FINGERPRINT}")]
    );
}

/// Guards against a lift of an unknown request that is reported as done.
#[tokio::test]
async fn a_request_that_is_not_held_back_is_refused() {
    let fixture = Fixture::open(Fault::None).await;

    let error = fixture.run(&format!("lift {OTHER_FINGERPRINT}")).await;

    let error = error.unwrap_err();
    assert_eq!(error.exit_status(), ExitStatus::Refused);
    assert!(error.to_string().contains("gateway held-back"), "{error}");
    assert!(!error.may_have_taken_effect());
}

/// Guards against a change whose answer is lost and which is reported as not made, and against a
/// change that was never sent and is reported as possibly made.
#[tokio::test]
async fn a_lost_answer_is_told_from_a_gateway_that_is_not_reached() {
    let fixture = Fixture::open(Fault::AnswerLost).await;
    let closed = closed_address().await;
    let lift = format!("lift {FINGERPRINT}");

    let lost = fixture.run(&lift).await.unwrap_err();
    let unreached = run_at(&closed, &lift).await.unwrap_err();
    let unlisted = fixture.run("servers").await.unwrap_err();

    assert_eq!(lost.exit_status(), ExitStatus::Unreachable);
    assert!(lost.may_have_taken_effect(), "{lost}");
    assert_eq!(fixture.changes().len(), 1);
    assert_eq!(unreached.exit_status(), ExitStatus::Unreachable);
    assert!(!unreached.may_have_taken_effect(), "{unreached}");
    assert_eq!(unlisted.exit_status(), ExitStatus::Unreachable);
    assert!(!unlisted.may_have_taken_effect(), "{unlisted}");
}

/// Guards against a gateway of an earlier version, which answers unknown paths with its metrics:
/// they must not be taken for a confirmation or an empty list.
#[tokio::test]
async fn a_metrics_page_is_not_taken_for_an_answer() {
    let fixture = Fixture::open(Fault::Metrics).await;

    let lift = format!("lift {FINGERPRINT}");
    for arguments in ["servers", "held-back", "drain i-7", "undrain i-7", &lift] {
        let error = fixture.run(arguments).await.unwrap_err();

        assert_eq!(error.exit_status(), ExitStatus::Unreachable);
        assert!(error.to_string().contains("version"), "{error}");
    }
}

/// Guards against a command that fails without a word about the option that it needs.
#[tokio::test]
async fn a_missing_gateway_and_a_malformed_address_are_usage_errors() {
    let bare = command().try_get_matches_from(["amaranthctl", "gateway", "servers"]);
    let missing = run(&bare.unwrap()).await.unwrap_err();
    let arguments = ["amaranthctl", "gateway", "--gateway", "front-1", "servers"];
    let malformed = command().try_get_matches_from(arguments).unwrap_err();

    assert_eq!(missing.exit_status(), ExitStatus::Usage);
    assert!(missing.to_string().contains("--gateway"), "{missing}");
    assert_eq!(malformed.exit_code(), 2);
    assert!(
        malformed.to_string().contains("10.0.0.1:7101"),
        "{malformed}"
    );
}

/// Guards against a change at another path than the one that the operator asked for.
#[tokio::test]
async fn a_server_is_drained_and_undrained_by_its_id() {
    let fixture = Fixture::open(Fault::None).await;

    let drained = fixture.run("drain i-7 --json").await.unwrap();
    let undrained = fixture.run("undrain i-7").await.unwrap();

    let drained: Value = serde_json::from_str(&drained).unwrap();
    assert_eq!(drained, json!({"text": "/servers/drain/i-7 is Done"}));
    assert_eq!(undrained, "/servers/undrain/i-7 is Done\n");
    assert_eq!(
        fixture.changes(),
        ["/servers/drain/i-7", "/servers/undrain/i-7"]
    );
}

/// Guards against an exit code that tells a script the wrong thing about a drain.
#[tokio::test]
async fn each_outcome_of_a_drain_has_its_exit_code() {
    for (outcome, status, may_have_happened) in [
        (ChangeOutcome::Invalid, ExitStatus::Refused, false),
        (ChangeOutcome::NotFound, ExitStatus::Refused, false),
        (ChangeOutcome::NotDone, ExitStatus::Unreachable, false),
        (ChangeOutcome::Unknown, ExitStatus::Unreachable, true),
    ] {
        let fixture = Fixture::open(Fault::ChangeEnds(outcome)).await;

        let error = fixture.run("drain i-7").await.unwrap_err();

        assert_eq!(error.exit_status(), status, "{outcome:?}");
        assert_eq!(error.may_have_taken_effect(), may_have_happened);
        assert!(error.to_string().contains("/servers/drain/i-7"), "{error}");
    }
}
