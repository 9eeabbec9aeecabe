//! Clients and servers of plain services.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http::Connection;
use crate::record;

/// A request that a server has begun to run.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub call: String,
    pub server: String,
    pub at: f64,
}

#[derive(Default)]
pub struct Seen {
    pub arrivals: Vec<Arrival>,
    /// Requests by their id, and when they were sent.
    pub sent: Vec<(String, f64)>,
    /// Requests that were answered with 200.
    pub answered: BTreeSet<String>,
}

impl Seen {
    /// Arrivals of requests that were sent later than a time.
    pub fn sent_after(&self, time: f64) -> impl Iterator<Item = &Arrival> {
        let sent: BTreeSet<_> = self
            .sent
            .iter()
            .filter(|(_, at)| *at > time)
            .map(|(call, _)| call.clone())
            .collect();
        self.arrivals.iter().filter(move |arrival| sent.contains(&arrival.call))
    }
}

/// Starts clients that send one ticket after the other until all is over.
pub fn start_clients(
    front: SocketAddr,
    clients: Range<usize>,
    seen: &Arc<Mutex<Seen>>,
    is_over: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let start = |client| {
        let (seen, is_over) = (Arc::clone(seen), Arc::clone(is_over));
        thread::spawn(move || send(front, client, &seen, &is_over))
    };
    clients.map(start).collect()
}

fn send(front: SocketAddr, client: usize, seen: &Mutex<Seen>, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut connection) = Connection::open(front) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(2)));
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("c{client}n{number}");
            let request = format!(
                "POST /ticket/1 HTTP/1.1\r\nHost: yard.example\r\nX-Request-Id: {id}\r\n\
                X-Deadline-Ms: 1000\r\nApi-Key: key-one\r\nContent-Length: {}\r\n\r\n{id}",
                id.len()
            );
            seen.lock().unwrap().sent.push((id.clone(), record::now()));
            connection.write(request.as_bytes());
            let Some(answer) = connection.message() else {
                break;
            };
            if answer.status() == 200 {
                seen.lock().unwrap().answered.insert(id);
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// A sound server; it serves until it ends.
pub fn serve(id: &str, seen: &Arc<Mutex<Seen>>) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (id, seen) = (id.to_owned(), Arc::clone(seen));
    let has_ended = Arc::<AtomicBool>::default();
    let ended = Arc::clone(&has_ended);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if ended.load(Ordering::Relaxed) {
                return;
            }
            let (seen, id, ended) = (Arc::clone(&seen), id.clone(), Arc::clone(&ended));
            thread::spawn(move || answer_all(&id, Connection::new(stream), &seen, &ended));
        }
    });
    (address, has_ended)
}

/// Ends a server: its connections close, and new ones are refused.
pub fn end(address: SocketAddr, has_ended: &AtomicBool) {
    has_ended.store(true, Ordering::Relaxed);
    // Wakes the listener, which closes.
    let _ = Connection::open(address);
}

fn answer_all(id: &str, mut connection: Connection, seen: &Mutex<Seen>, ended: &AtomicBool) {
    while let Some(request) = connection.message() {
        if ended.load(Ordering::Relaxed) {
            return;
        }
        let call = request.header("x-request-id").unwrap_or_default().to_owned();
        if request.header("x-target-instance").is_some_and(|target| target != id) {
            connection.answer("421 Misdirected Request", "", b"");
            continue;
        }
        seen.lock().unwrap().arrivals.push(Arrival {
            call: call.clone(),
            server: id.to_owned(),
            at: record::now(),
        });
        for _ in 0..10 {
            thread::sleep(Duration::from_millis(10));
            if ended.load(Ordering::Relaxed) {
                return;
            }
        }
        let headers = format!("X-Request-Id: {call}\r\nX-Response-Stamp: {id}.{call}\r\n");
        if !connection.answer("200 OK", &headers, &[b't'; 800]) {
            return;
        }
    }
}

/// A server's entry in the store.
pub fn entry(service: &str, address: SocketAddr) -> String {
    format!(
        "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"north-yard\",\"version\":\"v1\",\
        \"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1}}"
    )
}

/// A configuration with one route, which leads to a service.
pub fn config(version: u64, service: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"gate-ticket\",\"host\":\"yard.example\",\"prefix\":\"/ticket/\",\
        \"route_kind\":\"non_idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":100,\"priority\":2,\
        \"service\":\"{service}\",\"max_attempts\":1,\"stages\":[],\"public\":false}}],\
        \"services\":[{{\"name\":\"scalehouse\",\"health_path\":\"/healthz\",\"max_conns\":51}},\
        {{\"name\":\"scalehouse-new\",\"health_path\":\"/healthz\",\"max_conns\":51}}],\
        \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
        \"tenants\":[{{\"name\":\"north\",\"api_keys\":[\"key-one\"],\"priority\":1}}]}}"
    )
}
