//! The platform's store: rows, long polls and transactions, as PROTOCOL.md tells them.
//!
//! Each gateway has an address of the store of its own, so that its connections can go silent.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{Json, base64};

#[derive(Default)]
struct Rows {
    version: u64,
    by_name: BTreeMap<(String, String), (Option<String>, u64)>,
    /// Number of connections so far.
    connections: u64,
    /// By gateway, up to which connection all have gone silent for good.
    silent: BTreeMap<usize, u64>,
    /// Gateways that are partitioned from the store.
    cut: BTreeSet<usize>,
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self {
            rows: Arc::default(),
            started: Instant::now(),
        }
    }

    /// An address of the store for one gateway.
    pub fn listen(&self, gateway: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                let number = {
                    let mut rows = store.rows.0.lock().unwrap();
                    rows.connections += 1;
                    let number = rows.connections;
                    if rows.cut.contains(&gateway) {
                        rows.silent.insert(gateway, number);
                    }
                    number
                };
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    if store.serve(gateway, number, &mut connection).is_none() {
                        // Silent: kept open, read from and never written to.
                        while connection.message().is_some() {}
                    }
                });
            }
        });
        address
    }

    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        self.write(table, key, Some(base64(value.as_bytes())))
    }

    pub fn remove(&self, table: &str, key: &str) -> u64 {
        self.write(table, key, None)
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let name = (table.to_owned(), key.to_owned());
        rows.by_name.insert(name, (value, version));
        changed.notify_all();
        version
    }

    /// Makes all open connections of a gateway to the store go silent for good; new ones work.
    pub fn silence(&self, gateway: usize) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let connections = rows.connections;
        rows.silent.insert(gateway, connections);
        changed.notify_all();
    }

    /// Partitions a gateway from the store, or heals that. What is under way is lost.
    pub fn cut(&self, gateway: usize, is_cut: bool) {
        self.silence(gateway);
        let mut rows = self.rows.0.lock().unwrap();
        if is_cut {
            rows.cut.insert(gateway);
        } else {
            rows.cut.remove(&gateway);
        }
    }

    /// Keys of a table's rows.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.rows.0.lock().unwrap();
        let of_table = rows
            .by_name
            .iter()
            .filter(|((known, _), (value, _))| known == table && value.is_some());
        of_table.map(|((_, key), _)| key.clone()).collect()
    }

    /// Serves a connection to its end; `None` if it has gone silent.
    fn serve(&self, gateway: usize, number: u64, connection: &mut Connection) -> Option<()> {
        while let Some(request) = connection.message() {
            let (status, body) = self.answer(gateway, number, &request)?;
            if !connection.answer(&status, "Content-Type: application/json\r\n", body.as_bytes()) {
                break;
            }
        }
        Some(())
    }

    /// The answer to a call; `None` if its connection has gone silent.
    fn answer(&self, gateway: usize, number: u64, request: &Message) -> Option<(String, String)> {
        let path = request.path().to_owned();
        let (path, query) = path.split_once('?').unwrap_or((&path, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let is_silent = |rows: &Rows| rows.silent.get(&gateway).is_some_and(|last| number <= *last);
        if is_silent(&rows) {
            return None;
        }
        let table = query.get("table").copied().unwrap_or_default().to_owned();
        Some(match path {
            "/rows-get" => (ok(), self.listed(&rows, &table, 0, false)),
            "/rows-feed" => {
                let after: u64 = query["after"].parse().unwrap();
                let wait = Duration::from_millis(query["wait_ms"].parse().unwrap());
                let until = Instant::now() + wait;
                loop {
                    if is_silent(&rows) {
                        return None;
                    }
                    let mut of_table = rows.by_name.iter().filter(|((known, _), _)| *known == table);
                    let left = until.saturating_duration_since(Instant::now());
                    if of_table.any(|(_, (_, version))| *version > after) || left.is_zero() {
                        return Some((ok(), self.listed(&rows, &table, after, true)));
                    }
                    rows = changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            "/rows-tx" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let transaction = Json::parse(&body).unwrap_or(Json::Null);
                let name = |row: &Json| {
                    let (table, key) = (row.get("table").text(), row.get("key").text());
                    (table.to_owned(), key.to_owned())
                };
                let holds = transaction.get("expected_rev").list().iter().all(|row| {
                    let present = rows.by_name.get(&name(row));
                    let version =
                        present.map_or(0, |(value, version)| if value.is_some() { *version } else { 0 });
                    version as f64 == row.get("ver").number()
                });
                if !holds {
                    let body = format!("{{\"ver\":{},\"now_ms\":{},\"rows\":[]}}", rows.version, self.ms());
                    return Some(("412 Precondition Failed".to_owned(), body));
                }
                rows.version += 1;
                let version = rows.version;
                for row in transaction.get("put").list() {
                    let value = row.get("value").text().to_owned();
                    rows.by_name.insert(name(row), (Some(value), version));
                }
                for row in transaction.get("remove").list() {
                    rows.by_name.insert(name(row), (None, version));
                }
                changed.notify_all();
                (ok(), format!("{{\"ver\":{version},\"now_ms\":{}}}", self.ms()))
            }
            _ => ("404 Not Found".to_owned(), "{}".to_owned()),
        })
    }

    fn listed(&self, rows: &Rows, table: &str, after: u64, with_dropped: bool) -> String {
        let wanted = rows.by_name.iter().filter(|((known, _), (value, version))| {
            known == table && *version > after && (with_dropped || value.is_some())
        });
        let mut wanted: Vec<_> = wanted.collect();
        if with_dropped {
            wanted.sort_by_key(|(_, (_, version))| *version);
        }
        let listed: Vec<String> = wanted
            .into_iter()
            .map(|((table, key), (value, version))| match value {
                Some(value) => format!(
                    "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}"
                ),
                None => format!(
                    "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},\"tombstone\":true}}"
                ),
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"truncated\":false,\"ver\":{},\"now_ms\":{}}}",
            listed.join(","),
            rows.version,
            self.ms()
        )
    }

    fn ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }
}

fn ok() -> String {
    "200 OK".to_owned()
}
