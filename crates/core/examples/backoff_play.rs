//! Plays servers that turn requests away under a burst, and gateways that return after the
//! requested backoffs in different ways; prints what callers get.
//!
//!     cargo run --release -p amaranthscale-core --example backoff_play

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{
    ConnectionShare, SendEnd, SendingEntry, ServerAvailability, ServerChange, ServerList,
    ServerRecord, ServerSelector,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SERVERS: usize = 6;
const SLOTS: usize = 8;
const QUEUE: usize = 4;
const SERVICE_MS: u64 = 50;
const BACKOFF_MS: u64 = 1_000;
const DEADLINE_MS: u64 = 1_500;
const BURST_MS: std::ops::Range<u64> = 2_000..5_000;
const END_MS: u64 = 14_000;
const SEEDS: u64 = 20;
/// Requests that all servers complete in a millisecond.
const CAPACITY_PER_MS: f64 = 0.96;
/// Servers that one try visits.
const MAX_TRIED: usize = 4;
/// Tries of a caller.
const MAX_TRIES: u32 = 3;
/// Time before its deadline from which a caller gives up.
const MIN_LEFT_MS: u64 = 100;
/// Retry delay of refusals.
const RETRY_AFTER_MS: u64 = 300;

/// How gateways return to a server after its backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Return {
    /// All at the requested moment.
    AtOnce,
    /// Each within a quarter of the backoff after it.
    Spread,
    /// One request at a time at first, and more with each that is accepted.
    SlowStart,
    /// Both.
    SpreadSlowStart,
}

#[derive(Default)]
struct Server {
    running: Vec<(u64, usize)>,
    queue: VecDeque<usize>,
}

struct Gateway {
    list: ServerList,
    selector: ServerSelector,
}

struct Request {
    gateway: usize,
    sent_at: u64,
    tries: u32,
}

#[derive(Default)]
struct Counts {
    asked: u32,
    served: u32,
    turned_away: u32,
    refused: u32,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn record(number: usize) -> ServerRecord {
    ServerRecord {
        incarnation: incarnation(number),
        service: "scale".parse().expect("a name"),
        address: "127.0.0.1:9000".parse().expect("an address"),
        zone: "north".parse().expect("a name"),
        slots: SLOTS,
        is_leaving: false,
        cold_left: None,
        software_version: None,
    }
}

fn incarnation(number: usize) -> ServerIncarnation {
    format!("s{number}").parse().expect("a name")
}

/// One play of a seed.
struct Play {
    way: Return,
    random: StdRng,
    records: Vec<ServerRecord>,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    /// Requests to be sent, by time.
    due: BTreeMap<u64, Vec<usize>>,
    counts: Counts,
}

impl Play {
    fn new(gateways: usize, way: Return, seed: u64) -> Self {
        let records: Vec<_> = (0..SERVERS).map(record).collect();
        let gateway = || {
            let mut list = ServerList::default();
            let listed = records.iter().cloned().map(ServerChange::Listed);
            list.replace_all(listed.collect(), Duration::ZERO);
            Gateway {
                list,
                selector: ServerSelector::default(),
            }
        };
        Self {
            way,
            random: StdRng::seed_from_u64(seed),
            gateways: (0..gateways).map(|_| gateway()).collect(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            records,
            requests: Vec::new(),
            due: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// Plays all times; `load` is the fraction of the servers' capacity before the burst.
    fn run(mut self, load: f64) -> Counts {
        for now in 0..END_MS {
            let factor = if BURST_MS.contains(&now) { 2.5 } else { 1.0 };
            self.arrive(load * factor * CAPACITY_PER_MS, now);
            for number in 0..SERVERS {
                self.work(number, now);
            }
            for index in self.due.remove(&now).unwrap_or_default() {
                self.send(index, now);
            }
        }
        self.counts
    }

    fn arrive(&mut self, mut arriving: f64, now: u64) {
        while arriving > 0.0 {
            if self.random.random_range(0.0..1.0) < arriving {
                self.due.entry(now).or_default().push(self.requests.len());
                let gateway = self.random.random_range(0..self.gateways.len());
                self.requests.push(Request {
                    gateway,
                    sent_at: now,
                    tries: 0,
                });
                self.counts.asked += 1;
            }
            arriving -= 1.0;
        }
    }

    fn work(&mut self, number: usize, now: u64) {
        let (server, incarnation) = (&mut self.servers[number], incarnation(number));
        let (ended, running): (Vec<_>, Vec<_>) =
            server.running.drain(..).partition(|(end, _)| *end <= now);
        server.running = running;
        for (_, index) in ended {
            let request = &self.requests[index];
            self.counts.served += u32::from(now <= request.sent_at + DEADLINE_MS);
            let selector = &mut self.gateways[request.gateway].selector;
            let elapsed = ms(now - request.sent_at);
            selector.record_end(&incarnation, SendEnd::Answered, elapsed, ms(now));
        }
        while server.running.len() < SLOTS
            && let Some(index) = server.queue.pop_front()
        {
            let work_ms = self.random.random_range(SERVICE_MS / 2..SERVICE_MS * 3 / 2);
            server.running.push((now + work_ms, index));
            let selector = &mut self.gateways[self.requests[index].gateway].selector;
            selector.record_accepted(&incarnation, ms(now));
        }
    }

    /// Sends a request to servers until one takes it; its caller asks again a while after a refusal.
    fn send(&mut self, index: usize, now: u64) {
        let mut tried = BTreeSet::new();
        while tried.len() < MAX_TRIED {
            let Some(number) = self.choose(index, &tried, now) else {
                break;
            };
            let gateway = &mut self.gateways[self.requests[index].gateway];
            let (server, incarnation) = (&mut self.servers[number], incarnation(number));
            if server.running.len() + server.queue.len() < SLOTS + QUEUE {
                gateway.selector.record_send(&incarnation);
                server.queue.push_back(index);
                return;
            }
            self.counts.turned_away += 1;
            let spread_ms = match self.way {
                Return::Spread | Return::SpreadSlowStart => {
                    self.random.random_range(0..=BACKOFF_MS / 4)
                }
                Return::AtOnce | Return::SlowStart => 0,
            };
            let until = ms(now + BACKOFF_MS + spread_ms);
            gateway.list.record_backoff(&incarnation, until, ms(now));
            if matches!(self.way, Return::SlowStart | Return::SpreadSlowStart) {
                gateway.selector.record_backoff(&incarnation, until);
            }
            tried.insert(incarnation);
        }
        self.counts.refused += 1;
        let request = &mut self.requests[index];
        request.tries += 1;
        let left_ms = (request.sent_at + DEADLINE_MS).saturating_sub(now);
        if request.tries < MAX_TRIES && left_ms > MIN_LEFT_MS {
            let again = now + (left_ms / 3).min(RETRY_AFTER_MS);
            self.due.entry(again).or_default().push(index);
        }
    }

    fn choose(&self, index: usize, tried: &BTreeSet<ServerIncarnation>, now: u64) -> Option<usize> {
        let number = self.requests[index].gateway;
        let gateway = &self.gateways[number];
        let usable = self.records.iter().filter(|record| {
            let availability = gateway.list.availability_of(record, None, ms(now));
            availability == ServerAvailability::Free
        });
        let (id, zone) = (format!("g{number}").parse().ok()?, "north".parse().ok()?);
        let sending = SendingEntry::new(&id, &zone, ConnectionShare::UNLIMITED);
        let selector = &gateway.selector;
        let chosen = selector.select_plain(usable.collect(), tried, sending, ms(now))?;
        self.records.iter().position(|record| record == chosen)
    }
}

fn main() {
    println!("gateways  load  way              served of asked  turned away  refused");
    for gateways in [5, 100] {
        for load in [0.6, 0.9] {
            for way in [
                Return::AtOnce,
                Return::Spread,
                Return::SlowStart,
                Return::SpreadSlowStart,
            ] {
                let mut sum = Counts::default();
                for seed in 0..SEEDS {
                    let counts = Play::new(gateways, way, seed).run(load);
                    sum.asked += counts.asked;
                    sum.served += counts.served;
                    sum.turned_away += counts.turned_away;
                    sum.refused += counts.refused;
                }
                println!(
                    "{gateways:8}  {load:4}  {:15}  {:>15.4}  {:11}  {:7}",
                    format!("{way:?}"),
                    f64::from(sum.served) / f64::from(sum.asked),
                    sum.turned_away,
                    sum.refused
                );
            }
        }
    }
}
