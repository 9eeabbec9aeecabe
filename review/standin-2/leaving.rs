//! A server's entry is removed just after a machine's connections to the store have gone silent.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::http::Connection;
use crate::record;
use crate::store::Store;

const DRAIN_S: f64 = 2.0;
const STABLE_S: f64 = 3.0;
const ROUNDS: usize = 6;
const CLIENTS: usize = 12;
const SERVERS: usize = 4;

#[derive(Debug, Clone)]
struct Arrival {
    call: String,
    server: String,
    at: f64,
}

#[derive(Default)]
struct Seen {
    arrivals: Vec<Arrival>,
    /// Requests by their id and when they were sent.
    sent: Vec<(String, f64)>,
    answered: usize,
}

pub fn run(root: &str, has_trouble: bool) -> Result<bool, String> {
    let store = Store::new();
    let seen = Arc::<Mutex<Seen>>::default();
    store.put("op", "config", &config());
    for number in 0..SERVERS + ROUNDS {
        let id = format!("i-{number}");
        let address = serve(&id, Arc::clone(&seen));
        store.put("servers", &id, &entry(address));
    }
    let mut gateway = Gateway::new(0, "north-yard", 260, store.listen(0), root);
    gateway.start()?;
    if !gateway.until_ready(Duration::from_secs(15)) {
        return Err("the gateway does not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::<AtomicBool>::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (seen, is_over, front) = (Arc::clone(&seen), Arc::clone(&is_over), gateway.front);
            thread::spawn(move || send(front, client, &seen, &is_over))
        })
        .collect();
    let mut rounds = Vec::new();
    for round in 0..ROUNDS {
        let server = format!("i-{}", SERVERS + round);
        // At any moment of the gateway's polls: the rounds are no multiple of their pace apart.
        let mut in_touch_from = 0.0;
        if has_trouble {
            store.silence(0);
            in_touch_from = record::now() + STABLE_S;
            record::line(&format!(
                "the machine's connections to the store go silent, new ones work; in touch again from {in_touch_from:.3} on"
            ));
        }
        sleep_s(0.3);
        store.remove("servers", &server);
        let removed_at = record::now();
        record::line(&format!("the store accepts that {server} is gone; it serves on"));
        sleep_s(6.0);
        rounds.push((server, removed_at, in_touch_from));
        sleep_s(1.13 + 0.37 * round as f64);
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let seen = seen.lock().unwrap();
    record::line(&format!("{} requests sent, {} answered with 200", seen.sent.len(), seen.answered));
    if seen.answered * 2 < seen.sent.len() {
        return Err("the gateway hardly serves".to_owned());
    }
    let mut broken = 0;
    for (server, removed_at, in_touch_from) in rounds {
        let of_server = seen.arrivals.iter().filter(|arrival| arrival.server == server);
        let late = of_server.filter(|arrival| {
            let sent_at = seen.sent.iter().find(|(call, _)| *call == arrival.call);
            sent_at.is_some_and(|(_, sent_at)| *sent_at > in_touch_from)
                && arrival.at > removed_at + DRAIN_S
        });
        for arrival in late {
            broken += 1;
            record::line(&format!(
                "DRAIN: {} reached {server} at {:.3}, {:.0} ms after its end was accepted",
                arrival.call,
                arrival.at,
                (arrival.at - removed_at) * 1_000.0
            ));
        }
    }
    record::line(&format!("{broken} requests reached a server too late, from a machine in touch"));
    Ok(broken == 0)
}

fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// A client that sends one request after the other.
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
            } else {
                // As a client that waits a little before its next request.
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

/// A sound server; it serves as long as it runs.
fn serve(id: &str, seen: Arc<Mutex<Seen>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let id = id.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (seen, id) = (Arc::clone(&seen), id.clone());
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Some(request) = connection.message() {
                    let call = request.header("x-request-id").unwrap_or_default().to_owned();
                    if request.header("x-target-instance").is_some_and(|target| target != id) {
                        connection.answer("421 Misdirected Request", "", b"");
                        continue;
                    }
                    seen.lock().unwrap().arrivals.push(Arrival {
                        call: call.clone(),
                        server: id.clone(),
                        at: record::now(),
                    });
                    thread::sleep(Duration::from_millis(15));
                    let headers = format!("X-Request-Id: {call}\r\nX-Response-Stamp: {id}.{call}\r\n");
                    if !connection.answer("200 OK", &headers, &[b't'; 800]) {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn entry(address: SocketAddr) -> String {
    format!(
        "{{\"service\":\"scalehouse\",\"addr\":\"{address}\",\"zone\":\"north-yard\",\"version\":\"v1\",\
        \"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1}}"
    )
}

fn config() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"weigh-confirm\",\"host\":\"yard.example\",\"prefix\":\"/confirm/\",\
    \"route_kind\":\"idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":100,\"priority\":2,\
    \"service\":\"scalehouse\",\"max_attempts\":2,\"stages\":[],\"public\":false}],\
    \"services\":[{\"name\":\"scalehouse\",\"health_path\":\"/healthz\",\"max_conns\":51}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
    \"tenants\":[{\"name\":\"north\",\"api_keys\":[\"key-one\"],\"priority\":1}]}"
        .to_owned()
}
