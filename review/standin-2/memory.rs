//! Clients upload bodies within the limits in small chunks.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway::Gateway;
use crate::http::{Connection, is_closed};
use crate::record;
use crate::store::Store;

const MEMORY_MB: u32 = 260;
const MAX_BODY_BYTES: usize = 4_194_304;
const UPLOADERS: usize = 14;
const TICKET_CLIENTS: usize = 8;
const ROUNDS: usize = 3;

/// What servers ran and what clients got.
#[derive(Default)]
struct Seen {
    /// Tickets that a server has begun.
    run: BTreeMap<String, f64>,
    /// Tickets whose kept connection was closed without an answer.
    unanswered: Vec<String>,
    answered: usize,
    uploads: BTreeMap<String, usize>,
}

pub fn run(root: &str, has_trouble: bool) -> Result<bool, String> {
    let store = Store::new();
    let seen = Arc::<Mutex<Seen>>::default();
    let desk = serve("i-desk", Arc::clone(&seen), false);
    let engine = serve("i-engine", Arc::clone(&seen), true);
    store.put("op", "config", &config());
    for (id, service, address, slots) in
        [("i-desk", "scalehouse", desk, 64), ("i-engine", "assay-llm", engine, 128)]
    {
        let entry = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"north-yard\",\"version\":\"v1\",\
            \"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1}}"
        );
        store.put("servers", id, &entry);
    }
    let mut gateways = Vec::new();
    for number in 0..2 {
        let address = store.listen(number);
        let gateway = Gateway::new(number, "north-yard", MEMORY_MB, address, root);
        gateways.push(Arc::new(Mutex::new(gateway)));
    }
    let ends: Vec<_> = (0..2).map(|_| Arc::<AtomicUsize>::default()).collect();
    for gateway in &gateways {
        gateway.lock().unwrap().start()?;
    }
    let is_over = Arc::<AtomicBool>::default();
    let watchers: Vec<_> = gateways
        .iter()
        .zip(&ends)
        .map(|(gateway, ends)| {
            let (gateway, ends, is_over) =
                (Arc::clone(gateway), Arc::clone(ends), Arc::clone(&is_over));
            thread::spawn(move || watch(&gateway, &ends, &is_over))
        })
        .collect();
    for round in 0..ROUNDS {
        for gateway in &gateways {
            let ready = || gateway.lock().unwrap().until_ready(Duration::from_millis(200));
            let started = Instant::now();
            while !ready() {
                if started.elapsed() > Duration::from_secs(15) {
                    return Err("a gateway does not become ready".to_owned());
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // Longer than `stable_ms` after the start, so that the machines are in touch.
        thread::sleep(Duration::from_millis(3_500));
        record::line(&format!("round {round}: {UPLOADERS} uploads at each machine"));
        play(&gateways, round, has_trouble, &seen);
        thread::sleep(Duration::from_millis(1_500));
    }
    is_over.store(true, Ordering::Relaxed);
    for watcher in watchers {
        let _ = watcher.join();
    }
    let seen = seen.lock().unwrap();
    let lost: Vec<_> = seen.unanswered.iter().filter(|id| seen.run.contains_key(*id)).collect();
    record::line(&format!("uploads ended with: {:?}", seen.uploads));
    record::line(&format!("tickets answered: {}", seen.answered));
    record::line(&format!("tickets that a server ran and whose kept connection was closed without an answer: {lost:?}"));
    let ends: Vec<_> = ends.iter().map(|ends| ends.load(Ordering::Relaxed)).collect();
    record::line(&format!("processes that exceeded their memory, by machine: {ends:?}"));
    let is_lost = lost.len() > 3;
    let is_fault = ends.iter().filter(|ends| **ends >= 3).count() >= 2;
    if is_lost {
        record::line(&format!("LOST is broken: {} requests, at most 3 are allowed", lost.len()));
    }
    if is_fault {
        record::line("Fault: processes ended by themselves three times on two machines");
    }
    if seen.answered == 0 {
        return Err("no ticket was answered".to_owned());
    }
    Ok(!is_lost && !is_fault)
}

/// The platform: ends a process that exceeds its memory, and starts it again.
fn watch(gateway: &Mutex<Gateway>, ends: &AtomicUsize, is_over: &AtomicBool) {
    let mut most = 0;
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(10));
        let mut gateway = gateway.lock().unwrap();
        let Some(memory) = gateway.memory() else {
            continue;
        };
        most = most.max(memory);
        if memory > u64::from(MEMORY_MB) * 1024 * 1024 {
            record::line(&format!(
                "{}: {} MiB of {MEMORY_MB}: killed by the platform",
                gateway.name,
                memory / 1024 / 1024
            ));
            gateway.kill();
            ends.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(500));
            if let Err(reason) = gateway.start() {
                record::line(&reason);
            }
        }
    }
    record::line(&format!(
        "{}: most memory in use {} MiB",
        gateway.lock().unwrap().name,
        most / 1024 / 1024
    ));
}

fn play(gateways: &[Arc<Mutex<Gateway>>], round: usize, has_trouble: bool, seen: &Arc<Mutex<Seen>>) {
    let is_done = Arc::<AtomicBool>::default();
    let mut tickets = Vec::new();
    let mut uploads = Vec::new();
    for (number, gateway) in gateways.iter().enumerate() {
        let front = gateway.lock().unwrap().front;
        for client in 0..TICKET_CLIENTS {
            let (seen, is_done) = (Arc::clone(seen), Arc::clone(&is_done));
            let name = format!("t{round}g{number}c{client}");
            tickets.push(thread::spawn(move || send_tickets(front, &name, &seen, &is_done)));
        }
        for client in 0..UPLOADERS {
            let seen = Arc::clone(seen);
            let name = format!("u{round}g{number}c{client}");
            uploads.push(thread::spawn(move || {
                let end = upload(front, &name, has_trouble);
                *seen.lock().unwrap().uploads.entry(end).or_default() += 1;
            }));
        }
    }
    for upload in uploads {
        let _ = upload.join();
    }
    is_done.store(true, Ordering::Relaxed);
    for ticket in tickets {
        let _ = ticket.join();
    }
}

/// Sends tickets one after the other on a kept connection, until it is closed.
fn send_tickets(front: SocketAddr, name: &str, seen: &Mutex<Seen>, is_done: &AtomicBool) {
    let Ok(mut connection) = Connection::open(front) else {
        return;
    };
    let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(3)));
    for number in 0.. {
        if is_done.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{name}n{number}");
        let request = format!(
            "POST /ticket/1 HTTP/1.1\r\nHost: yard.example\r\nX-Request-Id: {id}\r\n\
            X-Deadline-Ms: 1000\r\nApi-Key: key-one\r\nContent-Length: 4\r\n\r\nbeet"
        );
        connection.write(request.as_bytes());
        let Some(answer) = connection.message() else {
            // The first request of a connection does not count, as the connection is new.
            if number > 0 {
                seen.lock().unwrap().unanswered.push(id);
            }
            return;
        };
        if answer.status() == 200 {
            seen.lock().unwrap().answered += 1;
        }
        if answer.header("connection").is_some_and(|value| value == "close") {
            return;
        }
    }
}

/// Uploads one body within the limits; returns how that ended.
fn upload(front: SocketAddr, id: &str, has_trouble: bool) -> String {
    let Ok(mut connection) = Connection::open(front) else {
        return "not connected".to_owned();
    };
    let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(16)));
    let _ = connection.stream.set_write_timeout(Some(Duration::from_secs(16)));
    let head = format!(
        "POST /report/1 HTTP/1.1\r\nHost: yard.example\r\nX-Request-Id: {id}\r\n\
        X-Deadline-Ms: 15000\r\nApi-Key: key-one\r\nX-Model: m\r\nX-Token-Usage: 6610,64\r\n\
        X-Prompt-Prefix: aa:512,{id}:6098\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    connection.write(head.as_bytes());
    // A JSON list of small numbers, as a client's encoder hands it on item by item.
    let chunk = if has_trouble { 8 } else { 8_192 };
    let mut piece = format!("{chunk:x}\r\n").into_bytes();
    piece.extend(b"[10,20],".iter().cycle().take(chunk));
    piece.extend(b"\r\n");
    let chunks = (MAX_BODY_BYTES - 8_192) / chunk;
    let at_once = (65_536 / piece.len()).max(1);
    let mut sent = 0;
    while sent < chunks {
        let count = at_once.min(chunks - sent);
        if !connection.write(&piece.repeat(count)) {
            break;
        }
        sent += count;
    }
    if sent == chunks {
        connection.write(b"0\r\n\r\n");
    }
    let Some(answer) = connection.message() else {
        return if is_closed(&connection.stream) {
            "closed without an answer".to_owned()
        } else {
            "no answer".to_owned()
        };
    };
    format!("status {}", answer.status())
}

/// A sound server: runs each request once, and answers it.
fn serve(id: &'static str, seen: Arc<Mutex<Seen>>, is_engine: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let seen = Arc::clone(&seen);
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Some(request) = connection.message() {
                    if !request.is_whole {
                        return;
                    }
                    let call = request.header("x-request-id").unwrap_or_default().to_owned();
                    if request.header("x-target-instance").is_some_and(|target| target != id) {
                        connection.answer("421 Misdirected Request", "", b"");
                        continue;
                    }
                    if !is_engine {
                        seen.lock().unwrap().run.insert(call.clone(), record::now());
                    }
                    thread::sleep(Duration::from_millis(100));
                    let headers = format!("X-Request-Id: {call}\r\nX-Response-Stamp: {id}.{call}\r\n");
                    let is_sent = if is_engine {
                        let events = format!("id: 1\ndata: {call}\n\n");
                        let headers = format!("{headers}Content-Type: text/event-stream\r\n");
                        connection.answer("200 OK", &headers, events.as_bytes())
                    } else {
                        connection.answer("200 OK", &headers, &[b't'; 800])
                    };
                    if !is_sent {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str, timeout: u32, aim: u32, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"yard.example\",\"prefix\":\"{prefix}\",\"route_kind\":\"{kind}\",\
            \"timeout_ms\":{timeout},\"target_latency_ms\":{aim},\"priority\":1,\"service\":\"{service}\",\
            \"max_attempts\":1,\"stages\":[],\"public\":false,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":300}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[\
        {{\"name\":\"assay-llm\",\"health_path\":\"/healthz\",\"max_conns\":500,\"engine\":{{\"slots\":128,\"kv_tokens\":1071844}}}},\
        {{\"name\":\"scalehouse\",\"health_path\":\"/healthz\",\"max_conns\":500}}],\
        \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":{MAX_BODY_BYTES},\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
        \"tenants\":[{{\"name\":\"north\",\"api_keys\":[\"key-one\"],\"priority\":1}}]}}",
        route("load-report", "/report/", "streaming", 15_000, 1_100, "assay-llm"),
        route("gate-ticket", "/ticket/", "non_idempotent", 1_000, 100, "scalehouse"),
    )
}
