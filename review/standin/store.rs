//! The platform's store: rows, a feed of changes, transactions.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Handler, Request, answer};
use crate::json::Json;

#[derive(Default)]
struct Rows {
    version: u64,
    /// By table and key: the value in base64 and the version.
    rows: BTreeMap<(String, String), (String, u64)>,
    /// All changes in order; no value for a dropped row.
    changes: Vec<(u64, String, String, Option<String>)>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn new() -> Arc<Store> {
        Arc::new(Store { rows: Mutex::default(), changed: Condvar::new(), started: Instant::now() })
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.apply(vec![(table.to_owned(), key.to_owned(), Some(base64(value.as_bytes())))]);
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.apply(vec![(table.to_owned(), key.to_owned(), None)]);
    }

    fn apply(&self, changes: Vec<(String, String, Option<String>)>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        for (table, key, value) in changes {
            let name = (table.clone(), key.clone());
            let is_known = match &value {
                Some(value) => {
                    rows.rows.insert(name, (value.clone(), version));
                    true
                }
                None => rows.rows.remove(&name).is_some(),
            };
            if is_known {
                rows.changes.push((version, table, key, value));
            }
        }
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis() + 1_000
    }

    fn rows_answer(&self, rows: &[String], version: u64) -> Vec<u8> {
        let body = format!("{{\"rows\":[{}],\"truncated\":false,\"ver\":{version},\"now_ms\":{}}}", rows.join(","), self.now_ms());
        answer(200, &[], &body)
    }

    pub fn handler(self: &Arc<Self>) -> Arc<Handler> {
        let store = Arc::clone(self);
        Arc::new(move |stream, request, _late| {
            std::thread::sleep(Duration::from_millis(4));
            let bytes = match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/rows-get") => store.read(&request),
                ("GET", "/rows-feed") => store.feed(&request),
                ("POST", "/rows-tx") => store.transaction(&request),
                _ => answer(404, &[], "{}"),
            };
            stream.write_all(&bytes)?;
            Ok(true)
        })
    }

    fn read(&self, request: &Request) -> Vec<u8> {
        let table = request.parameter("table").unwrap_or_default();
        let from = request.parameter("from").unwrap_or_default();
        let rows = self.rows.lock().unwrap();
        let found = rows.rows.iter().filter(|((of, key), _)| *of == table && *key >= from);
        let found: Vec<String> = found.map(|((_, key), (value, version))| row(&table, key, Some(value), *version)).collect();
        self.rows_answer(&found, rows.version)
    }

    fn feed(&self, request: &Request) -> Vec<u8> {
        let table = request.parameter("table").unwrap_or_default();
        let number = |name: &str| request.parameter(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, until) = (number("after"), Instant::now() + Duration::from_millis(number("wait_ms")));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut newest = BTreeMap::new();
            for (version, of, key, value) in &rows.changes {
                if *version > after && *of == table {
                    newest.insert(key.clone(), (*version, value.clone()));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !newest.is_empty() || left.is_zero() {
                let mut newest: Vec<_> = newest.into_iter().collect();
                newest.sort_by_key(|(_, (version, _))| *version);
                let found: Vec<String> = newest.iter().map(|(key, (version, value))| row(&table, key, value.as_ref(), *version)).collect();
                return self.rows_answer(&found, rows.version);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transaction(&self, request: &Request) -> Vec<u8> {
        let Ok(body) = Json::parse(&request.text()) else {
            return answer(400, &[], "{}");
        };
        let name = |entry: &Json| {
            let text = |name: &str| entry.get(name).text().unwrap_or_default().to_owned();
            (text("table"), text("key"))
        };
        let writes = body.get("put").list().iter().chain(body.get("remove").list());
        if writes.clone().any(|entry| ["op", "servers"].contains(&name(entry).0.as_str())) {
            return answer(403, &[], "{}");
        }
        let rows = self.rows.lock().unwrap();
        let holds = body.get("expected_rev").list().iter().all(|entry| {
            let version = rows.rows.get(&name(entry)).map_or(0, |(_, version)| *version);
            entry.get("ver").number() == Some(version as f64)
        });
        drop(rows);
        if !holds {
            let rows = self.rows.lock().unwrap();
            return answer(412, &[], &format!("{{\"rows\":[],\"ver\":{},\"now_ms\":{}}}", rows.version, self.now_ms()));
        }
        let put = body.get("put").list().iter().map(|entry| {
            let (table, key) = name(entry);
            (table, key, entry.get("value").text().map(str::to_owned))
        });
        let removed = body.get("remove").list().iter().map(|entry| {
            let (table, key) = name(entry);
            (table, key, None)
        });
        self.apply(put.chain(removed).collect());
        let version = self.rows.lock().unwrap().version;
        answer(200, &[], &format!("{{\"ver\":{version},\"now_ms\":{}}}", self.now_ms()))
    }
}

fn row(table: &str, key: &str, value: Option<&String>, version: u64) -> String {
    match value {
        Some(value) => format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}"),
        None => format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},\"tombstone\":true}}"),
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let number = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(char::from(DIGITS[(number >> (18 - 6 * index) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
