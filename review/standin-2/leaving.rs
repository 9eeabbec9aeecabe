//! A server's entry is removed just after a machine's connections to the store have gone silent.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::plain::{Seen, config, end, entry, serve, start_clients};
use crate::record;
use crate::store::Store;

const DRAIN_S: f64 = 2.0;
const STABLE_S: f64 = 3.0;
const ROUNDS: usize = 6;
const CLIENTS: usize = 12;
const SERVERS: usize = 4;
/// How long a server serves on after its entry is removed: `drain_ms` and a little longer.
const SERVES_ON_S: f64 = 3.0;

pub fn run(root: &str, has_trouble: bool) -> Result<bool, String> {
    let store = Store::new();
    let seen = Arc::<Mutex<Seen>>::default();
    store.put("op", "config", &config(7, "scalehouse"));
    let mut servers = Vec::new();
    for number in 0..SERVERS + ROUNDS {
        let id = format!("i-{number}");
        let (address, has_ended) = serve(&id, &seen);
        store.put("servers", &id, &entry("scalehouse", address));
        servers.push((address, has_ended));
    }
    let mut gateway = Gateway::new(0, "north-yard", 260, store.listen(0), root);
    gateway.start()?;
    if !gateway.until_ready(Duration::from_secs(15)) {
        return Err("the gateway does not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::<AtomicBool>::default();
    let clients = start_clients(gateway.front, 0..CLIENTS, &seen, &is_over);
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
        thread::sleep(Duration::from_millis(300));
        store.remove("servers", &server);
        let removed_at = record::now();
        record::line(&format!("the store accepts that {server} is gone; it serves on"));
        thread::sleep(Duration::from_secs_f64(SERVES_ON_S));
        let (address, has_ended) = &servers[SERVERS + round];
        end(*address, has_ended);
        record::line(&format!("{server} has ended"));
        thread::sleep(Duration::from_secs(3));
        rounds.push((server, removed_at, in_touch_from));
        thread::sleep(Duration::from_secs_f64(1.13 + 0.37 * round as f64));
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
    let (mut broken, mut lost) = (0, 0);
    for (server, removed_at, in_touch_from) in rounds {
        let late = seen
            .sent_after(in_touch_from)
            .filter(|arrival| arrival.server == server && arrival.at > removed_at + DRAIN_S);
        let late: Vec<_> = late.collect();
        broken += late.len();
        let of_late = late.iter().filter(|arrival| !seen.answered.contains(&arrival.call));
        let of_late: Vec<_> = of_late.map(|arrival| &arrival.call).collect();
        lost += of_late.len();
        if !of_late.is_empty() {
            record::line(&format!("begun by {server} when it ended, and never answered with 200: {of_late:?}"));
        }
        let ms = |at: f64| (at - removed_at) * 1_000.0;
        match (late.first(), late.last()) {
            (Some(first), Some(last)) => record::line(&format!(
                "DRAIN: {} requests reached and ran at {server} too late, from {} at {:.3} ({:.0} ms after its end was accepted) to {} at {:.3} ({:.0} ms)",
                late.len(), first.call, first.at, ms(first.at), last.call, last.at, ms(last.at)
            )),
            _ => record::line(&format!("{server}: no request too late")),
        }
    }
    record::line(&format!(
        "{broken} requests reached a server too late, from a machine in touch; {lost} of them were lost with it"
    ));
    Ok(broken == 0)
}
