//! A route moves to another service just after all machines' connections to the store have gone silent.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::plain::{Seen, config, entry, serve, start_clients};
use crate::record;
use crate::store::Store;

const APPLY_S: f64 = 2.0;
const STABLE_S: f64 = 3.0;
const ROUNDS: usize = 9;
/// Clients at each machine.
const CLIENTS: usize = 4;
/// The machines' zones.
const ZONES: [&str; 5] = ["north-yard", "north-yard", "south-yard", "mill-office", "tare-shed"];

pub fn run(root: &str, has_trouble: bool) -> Result<bool, String> {
    let store = Store::new();
    let seen = Arc::<Mutex<Seen>>::default();
    store.put("op", "config", &config(7, "scalehouse"));
    for service in ["scalehouse", "scalehouse-new"] {
        for number in 0..2 {
            let id = format!("{service}-{number}");
            let (address, _has_ended) = serve(&id, &seen);
            store.put("servers", &id, &entry(service, address));
        }
    }
    let mut gateways = Vec::new();
    for (number, zone) in ZONES.into_iter().enumerate() {
        let mut gateway = Gateway::new(number, zone, 260, store.listen(number), root);
        gateway.start()?;
        gateways.push(gateway);
    }
    for gateway in &gateways {
        if !gateway.until_ready(Duration::from_secs(15)) {
            return Err("a gateway does not become ready".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::<AtomicBool>::default();
    let clients: Vec<_> = gateways
        .iter()
        .enumerate()
        .flat_map(|(number, gateway)| {
            start_clients(gateway.front, number * CLIENTS..(number + 1) * CLIENTS, &seen, &is_over)
        })
        .collect();
    let mut rounds = Vec::new();
    let services = ["scalehouse", "scalehouse-new"];
    for round in 0..ROUNDS {
        let (old, new) = (services[round % 2], services[(round + 1) % 2]);
        // At any moment of the machines' polls: the rounds are no multiple of their pace apart.
        let mut in_touch_from = 0.0;
        if has_trouble {
            for number in 0..ZONES.len() {
                store.silence(number);
            }
            in_touch_from = record::now() + STABLE_S;
            record::line(&format!(
                "all machines' connections to the store go silent, new ones work; in touch again from {in_touch_from:.3} on"
            ));
        }
        thread::sleep(Duration::from_millis(300));
        let version = 10 + 3 * round as u64;
        store.put("op", "config", &config(version, new));
        let accepted_at = record::now();
        record::line(&format!("the store accepts version {version}: the route moves from {old} to {new}"));
        rounds.push((version, old, accepted_at, in_touch_from));
        thread::sleep(Duration::from_secs_f64(6.0 + 0.29 * round as f64));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let seen = seen.lock().unwrap();
    record::line(&format!("{} requests sent, {} answered with 200", seen.sent.len(), seen.answered.len()));
    if seen.answered.len() * 2 < seen.sent.len() {
        return Err("the gateway hardly serves".to_owned());
    }
    let mut broken = 0;
    for (version, old, accepted_at, in_touch_from) in rounds {
        let from = (accepted_at + APPLY_S).max(in_touch_from);
        let until = accepted_at + 6.0;
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
    record::line(&format!("{broken} requests were handled by an older version, at machines in touch"));
    Ok(broken == 0)
}
