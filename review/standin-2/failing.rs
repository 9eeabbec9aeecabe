//! A server fails part of the requests that it has run, with 503 and without saying that they did not run.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::http::Connection;
use crate::plain::entry;
use crate::record;
use crate::store::Store;

const SERVERS: usize = 7;
const CLIENTS: usize = 8;
const TICKETS: usize = 150;

#[derive(Default)]
struct Seen {
    /// Servers that ran a request, by its id.
    runs: BTreeMap<String, Vec<String>>,
    /// Requests that were answered with a promise that they have not run, and the answer's stamp.
    promised: Vec<(String, u16, String)>,
    /// Ids of the requests of each ticket.
    tickets: BTreeMap<String, Vec<String>>,
    answered: usize,
}

pub fn run(root: &str, has_trouble: bool) -> Result<bool, String> {
    let store = Store::new();
    let seen = Arc::<Mutex<Seen>>::default();
    store.put("op", "config", &config());
    for number in 0..SERVERS {
        let id = format!("i-{number}");
        // One of seven servers; it fails four of ten of its requests.
        let address = serve(&id, &seen, has_trouble && number == 0);
        store.put("servers", &id, &entry("scalehouse", address));
    }
    let mut gateway = Gateway::new(0, "north-yard", 260, store.listen(0), root);
    gateway.start()?;
    if !gateway.until_ready(Duration::from_secs(15)) {
        return Err("the gateway does not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (seen, front) = (Arc::clone(&seen), gateway.front);
            thread::spawn(move || send(front, client, &seen))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let seen = seen.lock().unwrap();
    if seen.answered == 0 {
        return Err("the gateway serves nothing".to_owned());
    }
    let mut broken = 0;
    for (call, status, stamp) in &seen.promised {
        if let Some(servers) = seen.runs.get(call) {
            broken += 1;
            record::line(&format!(
                "REFUSED: {call} was answered {status} (stamp {stamp}) and has run at {servers:?}"
            ));
        }
    }
    let runs_of = |calls: &Vec<String>| calls.iter().filter_map(|call| seen.runs.get(call)).map(Vec::len).sum::<usize>();
    let doubled: Vec<_> = seen.tickets.iter().filter(|(_, calls)| runs_of(calls) > 1).collect();
    record::line(&format!(
        "{} tickets, {} answered with 200; {} run twice by servers, as their clients relied on the promise",
        seen.tickets.len(),
        seen.answered,
        doubled.len()
    ));
    record::line(&format!("{broken} requests were answered with a promise that they have not run, and have run"));
    Ok(broken == 0)
}

/// A client as PROTOCOL.md tells: it repeats a non-idempotent request once, after a promise alone.
fn send(front: SocketAddr, client: usize, seen: &Mutex<Seen>) {
    for ticket in 0..TICKETS {
        let ticket = format!("c{client}t{ticket}");
        for attempt in 0..2 {
            let call = format!("{ticket}a{attempt}");
            seen.lock().unwrap().tickets.entry(ticket.clone()).or_default().push(call.clone());
            let Ok(mut connection) = Connection::open(front) else {
                break;
            };
            let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(2)));
            let request = format!(
                "POST /ticket/1 HTTP/1.1\r\nHost: yard.example\r\nX-Request-Id: {call}\r\n\
                X-Deadline-Ms: 1000\r\nApi-Key: key-one\r\nContent-Length: {}\r\n\r\n{ticket}",
                ticket.len()
            );
            connection.write(request.as_bytes());
            let Some(answer) = connection.message() else {
                break;
            };
            let status = answer.status();
            if matches!(status, 408 | 421 | 429 | 503) {
                let stamp = answer.header("x-response-stamp").unwrap_or("none").to_owned();
                seen.lock().unwrap().promised.push((call, status, stamp));
                let wait = answer.header("retry-after").and_then(|wait| wait.parse().ok());
                thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.05_f64).min(0.3)));
                continue;
            }
            if status == 200 {
                seen.lock().unwrap().answered += 1;
            }
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// A server that runs each request once. A failing one answers part of what it has run with 503.
fn serve(id: &str, seen: &Arc<Mutex<Seen>>, is_failing: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (id, seen) = (id.to_owned(), Arc::clone(seen));
    let count = Arc::<AtomicUsize>::default();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, seen, count) = (id.clone(), Arc::clone(&seen), Arc::clone(&count));
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Some(request) = connection.message() {
                    let call = request.header("x-request-id").unwrap_or_default().to_owned();
                    if request.header("x-target-instance").is_some_and(|target| target != id) {
                        connection.answer("421 Misdirected Request", "", b"");
                        continue;
                    }
                    seen.lock().unwrap().runs.entry(call.clone()).or_default().push(id.clone());
                    thread::sleep(Duration::from_millis(15));
                    let number = count.fetch_add(1, Ordering::Relaxed);
                    let status = if is_failing && number * 2 % 5 < 2 {
                        "503 Service Unavailable"
                    } else {
                        "200 OK"
                    };
                    let headers = format!("X-Request-Id: {call}\r\nX-Response-Stamp: {id}.{call}\r\n");
                    if !connection.answer(status, &headers, &[b't'; 800]) {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn config() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"gate-ticket\",\"host\":\"yard.example\",\"prefix\":\"/ticket/\",\
    \"route_kind\":\"non_idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":100,\"priority\":2,\
    \"service\":\"scalehouse\",\"max_attempts\":1,\"stages\":[],\"public\":false}],\
    \"services\":[{\"name\":\"scalehouse\",\"health_path\":\"/healthz\",\"max_conns\":51}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
    \"tenants\":[{\"name\":\"north\",\"api_keys\":[\"key-one\"],\"priority\":1}]}"
        .to_owned()
}
