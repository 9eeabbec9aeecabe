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

/// The key that the fake entry takes.
const KEY: &str = "an-operator-key";

/// What the fake entry does with the next edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Another operator's edit comes first.
    OtherFirst,
    /// The edit takes effect and its answer is lost.
    AnswerLost,
    /// The edit does not arrive.
    EditLost,
    /// The edit takes effect, and a balancer in between answers in the entry's place.
    BalancerAnswers,
    /// The entry cannot learn whether the edit takes effect, and it does not.
    EntryUnsure,
    /// Another operator's edit comes first, and the answer is lost.
    OtherFirstAnswerLost,
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
        if matches!(fault, Fault::OtherFirst | Fault::OtherFirstAnswerLost) {
            let text = r#"{"kind":"set","id":"root","field":"weight","value":"9"}"#;
            self.accept(TreeEdit::from_json(text).unwrap(), "ana");
        }
        let version = self.log.version();
        if request.expected_version != version {
            let others = self.log.edits_after(request.expected_version);
            let others = others.cloned().collect();
            let conflict = EditConflict::between(request.expected_version, version, others);
            let is_lost = fault == Fault::OtherFirstAnswerLost;
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
            // An error here closes the connection without an answer.
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

/// A fake entry, and the files of its operator.
struct Desk {
    address: SocketAddr,
    entry: Arc<Mutex<FakeEntry>>,
    files: TempDir,
}

impl Desk {
    async fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let log = TreeLog::new(SettingsTree::empty()).unwrap();
        let fault = Fault::None;
        let entry = Arc::new(Mutex::new(FakeEntry { log, fault }));
        tokio::spawn(serve(listener, Arc::clone(&entry)));
        let files = tempfile::tempdir().unwrap();
        let desk = Self {
            address,
            entry,
            files,
        };
        desk.write("key", KEY);
        desk
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.files.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    fn next_edit_meets(&self, fault: Fault) {
        self.entry.lock().unwrap().fault = fault;
    }

    fn version(&self) -> u64 {
        self.entry.lock().unwrap().log.version().get()
    }

    async fn run(&self, words: &str) -> Result<String, CtlError> {
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
        let words = options.into_iter().chain(words.split(' '));
        run(&command().try_get_matches_from(words).unwrap()).await
    }
}

#[tokio::test]
async fn edits_show_with_the_organisation_that_sets_them() {
    let desk = Desk::open().await;
    let created = desk
        .run("organisation create mill --parent root --class paid")
        .await
        .unwrap();
    desk.run("tree set mill weight 4").await.unwrap();

    let effective = desk.run("tree show --effective mill").await.unwrap();
    let weight = desk.run("--json tree get mill weight").await.unwrap();
    let history = desk.run("tree history --since 1").await.unwrap();
    let tree = desk.run("tree show").await.unwrap();

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
    let log = desk.entry.lock().unwrap().log.clone();
    assert_eq!(log.current().caller(key).unwrap().0.as_str(), "mill");
}

#[tokio::test]
async fn an_edit_that_does_not_hold_is_refused_before_it_is_sent() {
    let desk = Desk::open().await;

    let error = desk.run("tree set root weight 0").await.unwrap_err();
    let unknown = desk.run("tree set nobody weight 2").await.unwrap_err();

    assert_eq!(error.exit_status(), ExitStatus::Refused);
    assert_eq!(unknown.code(), Some(ResultCode::NotFound));
    assert_eq!(desk.version(), 0);
}

#[tokio::test]
async fn a_conflict_shows_the_other_edit() {
    let desk = Desk::open().await;
    desk.next_edit_meets(Fault::OtherFirst);

    let error = desk.run("tree set root weight 2").await.unwrap_err();

    assert_eq!(error.exit_status(), ExitStatus::Conflict);
    assert!(
        error
            .to_string()
            .contains("1 by ana: set weight of root to 9"),
        "{error}"
    );
    assert_eq!(error.to_json()["code"], 5001);
    assert_eq!(desk.version(), 1);
}

/// An operator suspends a customer. The entry accepts the edit and dies before it answers. Told
/// "not reached", the operator believes that the customer still runs. The cause: a lost answer
/// says nothing about the edit.
#[tokio::test]
async fn a_lost_answer_is_settled_by_reading_the_edits() {
    for (fault, status) in [
        (Fault::AnswerLost, None),
        (Fault::BalancerAnswers, None),
        (Fault::EntryUnsure, Some(ExitStatus::Unreachable)),
        (Fault::EditLost, Some(ExitStatus::Unreachable)),
        (Fault::OtherFirstAnswerLost, Some(ExitStatus::Conflict)),
    ] {
        let desk = Desk::open().await;
        desk.next_edit_meets(fault);

        let result = desk.run("tree set root weight 2").await;

        let found = result.as_ref().err().map(CtlError::exit_status);
        assert_eq!(found, status, "{fault:?}: {result:?}");
        let is_unknown = found == Some(ExitStatus::Unreachable);
        let code = result.err().and_then(|error| error.code());
        assert_eq!(code == Some(ResultCode::EditUnknown), is_unknown);
    }
}

/// One operator exports the tree and works on the file over lunch. Another suspends a customer
/// meanwhile. The first imports the file, and the customer runs again. The cause: a whole tree
/// replaces edits that its file has never seen.
#[tokio::test]
async fn an_import_never_undoes_edits_that_its_file_has_not_seen() {
    let desk = Desk::open().await;
    let exported = desk.run("tree export").await.unwrap();
    let file = desk.write("tree.json", &exported);
    desk.run("tree set root weight 7").await.unwrap();

    let stale = desk.run(&format!("tree import {file}")).await.unwrap_err();
    let before = desk.version();
    desk.run(&format!("tree import {file} --overwrite"))
        .await
        .unwrap();

    assert_eq!(stale.exit_status(), ExitStatus::Conflict);
    assert!(
        stale.to_string().contains("set weight of root to 7"),
        "{stale}"
    );
    assert_eq!((before, desk.version()), (1, 2));
}

#[tokio::test]
async fn both_example_trees_can_be_imported() {
    for example in ["delta-basin", "cedarline"] {
        let desk = Desk::open().await;
        let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

        let imported = desk
            .run(&format!("tree import {directory}/{example}/tree.json"))
            .await;

        assert_eq!(
            imported.unwrap(),
            "import a whole tree: version 1 is in force\n"
        );
    }
}

#[tokio::test]
async fn a_wrong_key_a_missing_entry_and_a_missing_option_end_differently() {
    let desk = Desk::open().await;
    desk.write("key", "another-key");
    let wrong_key = desk.run("tree show").await.unwrap_err();
    desk.write("key", "two\u{e9}");
    let no_key = desk.run("tree show").await.unwrap_err();
    let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let nobody = Desk {
        address: unused.local_addr().unwrap(),
        ..desk
    };
    drop(unused);
    nobody.write("key", KEY);
    let unreachable = nobody.run("tree show").await.unwrap_err();
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
async fn settings_files_are_checked_and_completions_printed_without_an_entry() {
    let desk = Desk::open().await;
    let file = desk.write("entry.ini", "[entry]\nhost = e1\n[tree]\npoll_ms = soon\n");

    let error = desk
        .run(&format!("config check {file} --kind entry"))
        .await
        .unwrap_err();
    let script = desk.run("completions bash").await.unwrap();

    assert_eq!(error.exit_status(), ExitStatus::Refused);
    assert!(error.to_string().contains(":4: [tree] poll_ms"), "{error}");
    assert!(script.contains("amaranthctl"));
}

#[test]
fn the_command_line_is_sound() {
    command().debug_assert();
}
