//! Clients and servers of plain services.

use std::net::{SocketAddr, TcpListener};
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
    pub answered: usize,
}

impl Seen {
    /// Arrivals of requests that were sent later than a time.
    pub fn sent_after(&self, time: f64) -> impl Iterator<Item = &Arrival> {
        let sent: std::collections::BTreeSet<_> = self
            .sent
            .iter()
            .filter(|(_, at)| *at > time)
            .map(|(call, _)| call.clone())
            .collect();
        self.arrivals.iter().filter(move |arrival| sent.contains(&arrival.call))
    }
}

/// Starts clients that send one idempotent request after the other until all is over.
pub fn start_clients(
    front: SocketAddr,
    clients: usize,
    seen: &Arc<Mutex<Seen>>,
    is_over: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let start = |client| {
        let (seen, is_over) = (Arc::clone(seen), Arc::clone(is_over));
        thread::spawn(move || send(front, client, &seen, &is_over))
    };
    (0..clients).map(start).collect()
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
                "GET /confirm/1 HTTP/1.1\r\nHost: yard.example\r\nX-Request-Id: {id}\r\n\
                X-Deadline-Ms: 1000\r\nApi-Key: key-one\r\n\r\n"
            );
            seen.lock().unwrap().sent.push((id, record::now()));
            connection.write(request.as_bytes());
            let Some(answer) = connection.message() else {
                break;
            };
            if answer.status() == 200 {
                seen.lock().unwrap().answered += 1;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// A sound server; it serves as long as the case runs.
pub fn serve(id: &str, seen: &Arc<Mutex<Seen>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (id, seen) = (id.to_owned(), Arc::clone(seen));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (seen, id) = (Arc::clone(&seen), id.clone());
            thread::spawn(move || answer_all(&id, Connection::new(stream), &seen));
        }
    });
    address
}

fn answer_all(id: &str, mut connection: Connection, seen: &Mutex<Seen>) {
    while let Some(request) = connection.message() {
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
        thread::sleep(Duration::from_millis(15));
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
        "{{\"version\":{version},\"routes\":[{{\"name\":\"weigh-confirm\",\"host\":\"yard.example\",\"prefix\":\"/confirm/\",\
        \"route_kind\":\"idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":100,\"priority\":2,\
        \"service\":\"{service}\",\"max_attempts\":2,\"stages\":[],\"public\":false}}],\
        \"services\":[{{\"name\":\"scalehouse\",\"health_path\":\"/healthz\",\"max_conns\":51}},\
        {{\"name\":\"scalehouse-new\",\"health_path\":\"/healthz\",\"max_conns\":51}}],\
        \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
        \"tenants\":[{{\"name\":\"north\",\"api_keys\":[\"key-one\"],\"priority\":1}}]}}"
    )
}
