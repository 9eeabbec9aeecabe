//! The platform's table and object store, with outages on demand.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthscale::connection::{
    HttpServer, HttpServerLimits, ResponseBody, empty_body, full_body, read_body,
};
use amaranthscale_core::id::RowVersion;
use amaranthscale_core::wire::{Row, Transaction, TransactionReply};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::watch;

use super::soon;

/// The platform's table and object store, with outages on demand.
#[derive(Debug)]
pub struct FakeTable {
    server: HttpServer,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    content: watch::Sender<Content>,
    faults: Mutex<Faults>,
    held: watch::Sender<Vec<Transaction>>,
    refused: watch::Sender<usize>,
}

#[derive(Debug, Default)]
struct Content {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
}

#[derive(Debug, Default)]
struct Faults {
    is_down: bool,
    lose_answers: usize,
    hold: usize,
}

impl FakeTable {
    pub async fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let answering = Arc::clone(&shared);
        let answer = move |request| Arc::clone(&answering).answer(request);
        let listen = "127.0.0.1:0".parse().unwrap();
        let server = HttpServer::start(listen, HttpServerLimits::default(), answer).await;
        Self {
            server: server.unwrap(),
            shared,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Refuses every call, or serves again.
    pub fn set_down(&self, is_down: bool) {
        self.shared.faults.lock().unwrap().is_down = is_down;
    }

    /// Lets the next transactions take effect without an answer.
    pub fn lose_answers(&self, transactions: usize) {
        self.shared.faults.lock().unwrap().lose_answers = transactions;
    }

    /// Keeps the next transactions on their way, without effect or answer.
    pub fn hold(&self, transactions: usize) {
        self.shared.faults.lock().unwrap().hold = transactions;
    }

    /// Waits until so many calls were refused in all.
    pub async fn refused(&self, calls: usize) {
        let mut refused = self.shared.refused.subscribe();
        let enough = refused.wait_for(|refused| *refused >= calls);
        soon(enough).await.unwrap();
    }

    /// Waits until so many transactions are kept on their way.
    pub async fn held(&self, transactions: usize) {
        let mut held = self.shared.held.subscribe();
        let enough = held.wait_for(|held| held.len() >= transactions);
        soon(enough).await.unwrap();
    }

    /// Whether a transaction that is kept on its way names this text.
    pub fn is_held_with(&self, text: &str) -> bool {
        let held = self.shared.held.borrow();
        let mut writes = held.iter().flat_map(|transaction| &transaction.writes);
        writes.any(|write| write.value.contains(text))
    }

    /// Lets what was kept on its way take effect now.
    pub fn let_held_take_effect(&self) {
        let mut held = Vec::new();
        self.shared
            .held
            .send_modify(|all| held = std::mem::take(all));
        for transaction in held {
            self.shared.transact(&transaction);
        }
    }

    /// The row as it is; version 0 if absent.
    pub fn row(&self, key: &str) -> Row {
        self.shared.content.borrow().row(key)
    }

    /// Rows whose keys start with a prefix.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let content = self.shared.content.borrow();
        let rows = content.rows.values();
        rows.filter(|row| row.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Waits until a row is as wanted.
    pub async fn row_when(&self, key: &str, is_wanted: impl Fn(&Row) -> bool) -> Row {
        let mut content = self.shared.content.subscribe();
        let wanted = content.wait_for(|content| is_wanted(&content.row(key)));
        soon(wanted).await.unwrap().row(key)
    }

    /// Waits until rows with a prefix are there.
    pub async fn rows_when_any(&self, prefix: &str) -> Vec<Row> {
        let mut content = self.shared.content.subscribe();
        let has_any = |content: &Content| content.rows.keys().any(|key| key.starts_with(prefix));
        drop(soon(content.wait_for(has_any)).await.unwrap());
        self.rows(prefix)
    }

    /// All objects by key.
    pub fn objects(&self) -> BTreeMap<String, Bytes> {
        self.shared.content.borrow().objects.clone()
    }
}

impl Content {
    fn row(&self, key: &str) -> Row {
        self.rows.get(key).cloned().unwrap_or_else(|| Row {
            key: key.to_owned(),
            version: RowVersion::default(),
            value: String::new(),
        })
    }

    fn transact(&mut self, transaction: &Transaction) -> TransactionReply {
        let checked: Vec<Row> = transaction
            .checks
            .iter()
            .map(|check| self.row(&check.key))
            .collect();
        let holds = |(row, check): (&Row, &amaranthscale_core::wire::RowCheck)| {
            row.version == check.version
        };
        if !checked.iter().zip(&transaction.checks).all(holds) {
            return TransactionReply::Conflict(checked);
        }
        let mut written = Vec::new();
        for write in &transaction.writes {
            let mut row = self.row(&write.key);
            row.version = row.version.next();
            row.value.clone_from(&write.value);
            self.rows.insert(write.key.clone(), row.clone());
            written.push(row);
        }
        TransactionReply::Committed(written)
    }
}

impl Shared {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        if self.faults.lock().unwrap().is_down {
            self.refused.send_modify(|refused| *refused += 1);
            return with_status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let body = read_body(request.into_body(), 1 << 24, Duration::from_secs(10)).await;
        let body = body.unwrap();
        match (method, path.as_str()) {
            (Method::GET, "/table/row") => {
                let key = decode(query.strip_prefix("key=").unwrap());
                json(StatusCode::OK, &self.content.borrow().row(&key))
            }
            (Method::POST, "/table/transaction") => {
                self.answer_transaction(&serde_json::from_slice(&body).unwrap())
                    .await
            }
            (Method::PUT, path) => {
                let key = decode(path.strip_prefix("/objects/").unwrap());
                self.content
                    .send_modify(|content| drop(content.objects.insert(key, body)));
                with_status(StatusCode::OK)
            }
            _ => with_status(StatusCode::NOT_FOUND),
        }
    }

    async fn answer_transaction(&self, transaction: &Transaction) -> Response<ResponseBody> {
        if self.take_fault(|faults| &mut faults.hold) {
            self.held.send_modify(|held| held.push(transaction.clone()));
            return std::future::pending().await;
        }
        let reply = self.transact(transaction);
        if self.take_fault(|faults| &mut faults.lose_answers) {
            return std::future::pending().await;
        }
        let status = match reply {
            TransactionReply::Committed(_) => StatusCode::OK,
            TransactionReply::Conflict(_) => StatusCode::CONFLICT,
        };
        json(status, &reply)
    }

    fn transact(&self, transaction: &Transaction) -> TransactionReply {
        let mut reply = TransactionReply::Conflict(Vec::new());
        self.content
            .send_modify(|content| reply = content.transact(transaction));
        reply
    }

    fn take_fault(&self, which: impl Fn(&mut Faults) -> &mut usize) -> bool {
        let mut faults = self.faults.lock().unwrap();
        let left = which(&mut faults);
        let is_due = *left > 0;
        *left = left.saturating_sub(1);
        is_due
    }
}

fn json(status: StatusCode, content: &impl serde::Serialize) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(serde_json::to_vec(content).unwrap()));
    *response.status_mut() = status;
    response
}

fn with_status(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}

/// Undoes the percent encoding of the platform client.
fn decode(text: &str) -> String {
    let mut decoded = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits = [bytes.next().unwrap(), bytes.next().unwrap()];
            let digits = std::str::from_utf8(&digits).unwrap();
            decoded.push(u8::from_str_radix(digits, 16).unwrap());
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8(decoded).unwrap()
}
