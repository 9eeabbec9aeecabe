//! A route moves to another service just after a machine's connections to the store have gone silent.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway::Gateway;
use crate::plain::{Seen, config, entry, serve, start_clients};
use crate::record;
use crate::store::Store;

const APPLY_S: f64 = 2.0;
const STABLE_S: f64 = 3.0;
const ROUNDS: usize = 5;
const CLIENTS: usize = 12;

pub fn run(root: &str, has_trouble: bool) -> Result<bool, String> {
    let store = Store::new();
    let seen = Arc::<Mutex<Seen>>::default();
    store.put("op", "config", &config(7, "scalehouse"));
    for service in ["scalehouse", "scalehouse-new"] {
        for number in 0..2 {
            let id = format!("{service}-{number}");
            store.put("servers", &id, &entry(service, serve(&id, &seen)));
        }
    }
    let mut gateway = Gateway::new(0, "north-yard", 260, store.listen(0), root);
    gateway.start()?;
    if !gateway.until_ready(Duration::from_secs(15)) {
        return Err("the gateway does not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::<AtomicBool>::default();
    let clients = start_clients(gateway.front, CLIENTS, &seen, &is_over);
    let mut rounds = Vec::new();
    let services = ["scalehouse", "scalehouse-new"];
    for round in 0..ROUNDS {
        let (old, new) = (services[round % 2], services[(round + 1) % 2]);
        // The connections go silent shortly after a poll has begun; a poll begins every 2.3 s.
        until_poll(&store)?;
        thread::sleep(Duration::from_millis(100));
        let mut in_touch_from = 0.0;
        if has_trouble {
            store.silence(0);
            in_touch_from = record::now() + STABLE_S;
            record::line(&format!(
                "the machine's connections to the store go silent, new ones work; in touch again from {in_touch_from:.3} on"
            ));
        }
        thread::sleep(Duration::from_millis(300));
        let version = 10 + 3 * round as u64;
        store.put("op", "config", &config(version, new));
        let accepted_at = record::now();
        record::line(&format!("the store accepts version {version}: the route moves from {old} to {new}"));
        rounds.push((version, old, accepted_at, in_touch_from));
        thread::sleep(Duration::from_secs(8));
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
    for (version, old, accepted_at, in_touch_from) in rounds {
        let from = (accepted_at + APPLY_S).max(in_touch_from);
        let until = accepted_at + 8.0;
        let late = seen.sent_after(from).filter(|arrival| {
            arrival.server.rsplit_once('-').is_some_and(|(service, _)| service == old) && arrival.at < until
        });
        let late: Vec<_> = late.collect();
        broken += late.len();
        let ms = |at: f64| (at - accepted_at) * 1_000.0;
        match (late.first(), late.last()) {
            (Some(first), Some(last)) => record::line(&format!(
                "CONFIG: version {version}: {} requests were run by {old}, from {} at {:.3} ({:.0} ms after it was accepted) to {} at {:.3} ({:.0} ms)",
                late.len(), first.call, first.at, ms(first.at), last.call, last.at, ms(last.at)
            )),
            _ => record::line(&format!("version {version}: in force in time")),
        }
    }
    record::line(&format!("{broken} requests were handled by an older version, at a machine in touch"));
    Ok(broken == 0)
}

/// Waits until a long poll of the configuration has just arrived at the store.
fn until_poll(store: &Store) -> Result<(), String> {
    let before = store.last_poll(0, "op").map(|(at, _)| at);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(8) {
        if let Some((at, wait)) = store.last_poll(0, "op")
            && Some(at) != before
            && wait > Duration::from_millis(500)
        {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(2));
    }
    Err("the gateway does not poll the configuration".to_owned())
}
