//! A fake of the platform's table and object store with injectable faults.

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

use super::with_timeout;

/// A fake of the platform's table and object store with injectable faults.
#[derive(Debug)]
pub struct FakeTable {
    server: HttpServer,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    content: watch::Sender<Content>,
    faults: Mutex<Faults>,
    delayed: watch::Sender<Vec<Transaction>>,
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
    delay: usize,
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

    /// Starts or ends refusing every call.
    pub fn set_down(&self, is_down: bool) {
        self.shared.faults.lock().unwrap().is_down = is_down;
    }

    /// Applies the next transactions without answering them.
    pub fn lose_answers(&self, transactions: usize) {
        self.shared.faults.lock().unwrap().lose_answers = transactions;
    }

    /// Delays the next transactions, which are neither applied nor answered.
    pub fn delay_transactions(&self, transactions: usize) {
        self.shared.faults.lock().unwrap().delay = transactions;
    }

    /// Waits until this number of calls was refused in total.
    pub async fn wait_for_refusals(&self, calls: usize) {
        let mut refused = self.shared.refused.subscribe();
        let enough = refused.wait_for(|refused| *refused >= calls);
        with_timeout(enough).await.unwrap();
    }

    /// Waits until this number of transactions is delayed.
    pub async fn wait_for_delayed(&self, transactions: usize) {
        let mut delayed = self.shared.delayed.subscribe();
        let enough = delayed.wait_for(|delayed| delayed.len() >= transactions);
        with_timeout(enough).await.unwrap();
    }

    /// Whether a delayed transaction writes a value that contains this text.
    pub fn is_delayed_with(&self, text: &str) -> bool {
        let delayed = self.shared.delayed.borrow();
        let mut writes = delayed.iter().flat_map(|transaction| &transaction.writes);
        writes.any(|write| write.value.contains(text))
    }

    /// Applies the delayed transactions now.
    pub fn apply_delayed(&self) {
        let mut delayed = Vec::new();
        self.shared
            .delayed
            .send_modify(|all| delayed = std::mem::take(all));
        for transaction in delayed {
            self.shared.transact(&transaction);
        }
    }

    /// The current row; version 0 if absent.
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

    /// Waits until a row meets a condition.
    pub async fn wait_for_row(&self, key: &str, is_wanted: impl Fn(&Row) -> bool) -> Row {
        let mut content = self.shared.content.subscribe();
        let wanted = content.wait_for(|content| is_wanted(&content.row(key)));
        with_timeout(wanted).await.unwrap().row(key)
    }

    /// Waits until there are rows with a prefix.
    pub async fn wait_for_rows(&self, prefix: &str) -> Vec<Row> {
        let mut content = self.shared.content.subscribe();
        let has_any = |content: &Content| content.rows.keys().any(|key| key.starts_with(prefix));
        drop(with_timeout(content.wait_for(has_any)).await.unwrap());
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
        if self.take_fault(|faults| &mut faults.delay) {
            self.delayed
                .send_modify(|delayed| delayed.push(transaction.clone()));
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

/// Decodes the platform client's percent encoding.
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
