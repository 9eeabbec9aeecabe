//! Commands of `amaranthctl` against a fake entry.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should end its test"
)]

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use amaranthscale::operator::ctl::{CtlError, ExitStatus, command, run};
use amaranthscale::operator::{
    EDITS_PATH, EditAccepted, EditConflict, EditRequest, Refusal, TREE_PATH,
};
use amaranthscale_core::ResultCode;
use amaranthscale_core::version::{EditRecord, SettingsTree, TreeEdit, TreeLog};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tempfile::TempDir;
use tokio::net::TcpListener;

/// The key that the fake entry accepts.
const KEY: &str = "an-operator-key";

/// Fault of the fake entry at the next edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Another operator's edit is made first.
    OtherEditFirst,
    /// The edit takes effect, and its answer is lost.
    AnswerLost,
    /// The edit is lost.
    EditLost,
    /// The edit takes effect, and a load balancer answers in the entry's place.
    BalancerAnswers,
    /// The entry does not know whether the edit takes effect, and it does not.
    EntryUnsure,
    /// Another operator's edit is made first, and the answer is lost.
    OtherEditFirstAnswerLost,
}

#[derive(Debug)]
struct FakeEntry {
    log: TreeLog,
    fault: Fault,
}

impl FakeEntry {
    fn accept(&mut self, edit: TreeEdit, by: &str) -> EditAccepted {
        let version = self.log.version().next();
        let record = EditRecord {
            version,
            edit,
            by: by.to_owned(),
            write_id: format!("write-{version}").parse().unwrap(),
        };
        self.log.apply_record(record).unwrap();
        EditAccepted { version }
    }

    fn edit(&mut self, request: EditRequest) -> Option<(ResultCode, serde_json::Value)> {
        let fault = std::mem::replace(&mut self.fault, Fault::None);
        if matches!(
            fault,
            Fault::OtherEditFirst | Fault::OtherEditFirstAnswerLost
        ) {
            let text = r#"{"kind":"set","id":"root","field":"weight","value":"9"}"#;
            self.accept(TreeEdit::from_json(text).unwrap(), "ana");
        }
        let version = self.log.version();
        if request.expected_version != version {
            let others = self.log.edits_after(request.expected_version);
            let others = others.cloned().collect();
            let conflict = EditConflict::between(request.expected_version, version, others);
            let is_lost = fault == Fault::OtherEditFirstAnswerLost;
            return (!is_lost).then(|| (conflict.code, json!(conflict)));
        }
        if fault == Fault::EditLost {
            return None;
        }
        if fault == Fault::EntryUnsure {
            let code = ResultCode::EditUnknown;
            return Some((code, json!(Refusal::new(code, code.text()))));
        }
        let accepted = self.accept(request.edit, &request.by);
        if fault == Fault::BalancerAnswers {
            return Some((ResultCode::DeadlinePassed, json!("gateway timeout")));
        }
        (fault != Fault::AnswerLost).then(|| (ResultCode::Complete, json!(accepted)))
    }
}

async fn answer(
    entry: Arc<Mutex<FakeEntry>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let is_operator = request.headers()[AUTHORIZATION] == format!("Bearer {KEY}");
    let (parts, body) = request.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    let mut entry = entry.lock().unwrap();
    let (code, value) = match (parts.method, parts.uri.path()) {
        _ if !is_operator => {
            let code = ResultCode::WrongOperatorKey;
            (code, json!(Refusal::new(code, code.text())))
        }
        (Method::GET, TREE_PATH) => (ResultCode::Complete, json!(entry.log.current().tree())),
        (Method::GET, EDITS_PATH) => {
            let since = parts.uri.query().unwrap().strip_prefix("since=").unwrap();
            let edits = entry.log.edits_after(since.parse().unwrap());
            (ResultCode::Complete, json!(edits.collect::<Vec<_>>()))
        }
        (Method::POST, EDITS_PATH) => {
            let done = entry.edit(serde_json::from_slice(&body).unwrap());
            // An error closes the connection without an answer.
            done.ok_or_else(|| std::io::Error::other("the answer is lost"))?
        }
        (_, path) => panic!("the fake entry has no {path}"),
    };
    let answer = Response::builder().status(code.http_status());
    Ok(answer.body(Full::from(value.to_string())).unwrap())
}

async fn serve(listener: TcpListener, entry: Arc<Mutex<FakeEntry>>) -> Infallible {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let entry = Arc::clone(&entry);
        let service = service_fn(move |request| answer(Arc::clone(&entry), request));
        let connection = hyper::server::conn::http1::Builder::new();
        tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
    }
}

/// A fake entry and a directory for the operator's files.
struct Fixture {
    address: SocketAddr,
    entry: Arc<Mutex<FakeEntry>>,
    files: TempDir,
}

impl Fixture {
    async fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let log = TreeLog::new(SettingsTree::empty()).unwrap();
        let fault = Fault::None;
        let entry = Arc::new(Mutex::new(FakeEntry { log, fault }));
        tokio::spawn(serve(listener, Arc::clone(&entry)));
        let files = tempfile::tempdir().unwrap();
        let fixture = Self {
            address,
            entry,
            files,
        };
        fixture.write("key", KEY);
        fixture
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.files.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    fn set_fault(&self, fault: Fault) {
        self.entry.lock().unwrap().fault = fault;
    }

    fn version(&self) -> u64 {
        self.entry.lock().unwrap().log.version().get()
    }

    async fn run(&self, arguments: &str) -> Result<String, CtlError> {
        let key = self.files.path().join("key");
        let key = key.to_str().unwrap();
        let address = self.address.to_string();
        let options = [
            "amaranthctl",
            "--entry",
            &address,
            "--key-file",
            key,
            "--by",
            "ben",
        ];
        let arguments = options.into_iter().chain(arguments.split(' '));
        run(&command().try_get_matches_from(arguments).unwrap()).await
    }
}

#[tokio::test]
async fn effective_values_show_the_organisation_that_sets_them() {
    let fixture = Fixture::open().await;
    let created = fixture
        .run("organisation create mill --parent root --class paid")
        .await
        .unwrap();
    fixture.run("tree set mill weight 4").await.unwrap();

    let effective = fixture.run("tree show --effective mill").await.unwrap();
    let weight = fixture.run("--json tree get mill weight").await.unwrap();
    let history = fixture.run("tree history --since 1").await.unwrap();
    let tree = fixture.run("tree show").await.unwrap();

    let row = |name: &str| {
        effective
            .lines()
            .find(|line| line.starts_with(name))
            .unwrap()
    };
    assert!(row("weight").ends_with("mill"), "{effective}");
    assert!(row("deadline_ms").ends_with("root"), "{effective}");
    let weight: serde_json::Value = serde_json::from_str(&weight).unwrap();
    assert_eq!(weight, json!({ "value": "4", "from": "mill" }));
    assert_eq!(history, "2 by ben: set weight of mill to 4\n");
    assert!(tree.contains("    mill class=paid weight=4\n"), "{tree}");
    let key = created.lines().last().unwrap().rsplit(' ').next().unwrap();
    let log = fixture.entry.lock().unwrap().log.clone();
    assert_eq!(log.current().caller(key).unwrap().0.as_str(), "mill");
}

#[tokio::test]
async fn invalid_edit_is_refused_before_it_is_sent() {
    let fixture = Fixture::open().await;

    let error = fixture.run("tree set root weight 0").await.unwrap_err();
    let unknown = fixture.run("tree set nobody weight 2").await.unwrap_err();

    assert_eq!(error.exit_status(), ExitStatus::Refused);
    assert_eq!(unknown.code(), Some(ResultCode::NotFound));
    assert_eq!(fixture.version(), 0);
}

#[tokio::test]
async fn conflict_shows_the_other_edit() {
    let fixture = Fixture::open().await;
    fixture.set_fault(Fault::OtherEditFirst);

    let error = fixture.run("tree set root weight 2").await.unwrap_err();

    assert_eq!(error.exit_status(), ExitStatus::Conflict);
    assert!(
        error
            .to_string()
            .contains("1 by ana: set weight of root to 9"),
        "{error}"
    );
    assert_eq!(error.to_json()["code"], 5001);
    assert_eq!(fixture.version(), 1);
}

/// Guards against reporting "not reached" for an edit that took effect. It happens when the entry
/// accepts the edit and fails before it answers; the operator who suspended an organisation would
/// believe that it is not suspended.
#[tokio::test]
async fn lost_answer_is_settled_by_reading_the_edits() {
    for (fault, status) in [
        (Fault::AnswerLost, None),
        (Fault::BalancerAnswers, None),
        (Fault::EntryUnsure, Some(ExitStatus::Unreachable)),
        (Fault::EditLost, Some(ExitStatus::Unreachable)),
        (Fault::OtherEditFirstAnswerLost, Some(ExitStatus::Conflict)),
    ] {
        let fixture = Fixture::open().await;
        fixture.set_fault(fault);

        let result = fixture.run("tree set root weight 2").await;

        let found = result.as_ref().err().map(CtlError::exit_status);
        assert_eq!(found, status, "{fault:?}: {result:?}");
        let is_unknown = found == Some(ExitStatus::Unreachable);
        let code = result.err().and_then(|error| error.code());
        assert_eq!(code == Some(ResultCode::EditUnknown), is_unknown);
    }
}

/// Guards against an import that undoes edits made after its file was exported, such as the
/// suspension of an organisation by another operator. It happens because an import replaces the
/// whole tree.
#[tokio::test]
async fn import_does_not_undo_edits_made_after_the_export() {
    let fixture = Fixture::open().await;
    let exported = fixture.run("tree export").await.unwrap();
    let file = fixture.write("tree.json", &exported);
    fixture.run("tree set root weight 7").await.unwrap();

    let stale = fixture
        .run(&format!("tree import {file}"))
        .await
        .unwrap_err();
    let before = fixture.version();
    fixture
        .run(&format!("tree import {file} --overwrite"))
        .await
        .unwrap();

    assert_eq!(stale.exit_status(), ExitStatus::Conflict);
    assert!(
        stale.to_string().contains("set weight of root to 7"),
        "{stale}"
    );
    assert_eq!((before, fixture.version()), (1, 2));
}

#[tokio::test]
async fn both_example_trees_can_be_imported() {
    for example in ["delta-basin", "cedarline"] {
        let fixture = Fixture::open().await;
        let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

        let imported = fixture
            .run(&format!("tree import {directory}/{example}/tree.json"))
            .await;

        assert_eq!(
            imported.unwrap(),
            "import a whole tree: version 1 is in force\n"
        );
    }
}

#[tokio::test]
async fn wrong_key_missing_entry_and_missing_option_have_different_exit_statuses() {
    let fixture = Fixture::open().await;
    fixture.write("key", "another-key");
    let wrong_key = fixture.run("tree show").await.unwrap_err();
    fixture.write("key", "two\u{e9}");
    let no_key = fixture.run("tree show").await.unwrap_err();
    let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = Fixture {
        address: unused.local_addr().unwrap(),
        ..fixture
    };
    drop(unused);
    closed.write("key", KEY);
    let unreachable = closed.run("tree show").await.unwrap_err();
    let bare = command()
        .try_get_matches_from(["amaranthctl", "status"])
        .unwrap();
    let no_entry = run(&bare).await.unwrap_err();

    assert_eq!(wrong_key.exit_status(), ExitStatus::WrongKey);
    assert_eq!(no_key.exit_status(), ExitStatus::Usage);
    assert_eq!(unreachable.exit_status(), ExitStatus::Unreachable);
    assert_eq!(no_entry.exit_status(), ExitStatus::Usage);
}

#[tokio::test]
async fn config_check_and_completions_need_no_entry() {
    let fixture = Fixture::open().await;
    let file = fixture.write("entry.ini", "[entry]\nhost = e1\n[tree]\npoll_ms = soon\n");

    let error = fixture
        .run(&format!("config check {file} --kind entry"))
        .await
        .unwrap_err();
    let script = fixture.run("completions bash").await.unwrap();

    assert_eq!(error.exit_status(), ExitStatus::Refused);
    assert!(error.to_string().contains(":4: [tree] poll_ms"), "{error}");
    assert!(script.contains("amaranthctl"));
}

#[test]
fn command_line_definition_is_valid() {
    command().debug_assert();
}
