//! Measures the processor time of the batch owner per second of a simulated deployment.
//!
//! Time is simulated, so the deployment runs as fast as the owner decides. Requests have three
//! stages of 1, 6 and 6 pieces. At each rate there are two runs: with servers at 70% utilisation,
//! and with servers at 160%, where half of the final results are large, engines read them late, and
//! servers run out of storage.
//!
//! `cargo run --release -p amaranthscale-core --example batcher_load -- 1000 3000 5000`
#![expect(
    clippy::unwrap_used,
    clippy::print_stdout,
    reason = "a tool for developers that prints its table"
)]

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use amaranthscale_core::id::RoutingVersion;
use amaranthscale_core::process::{
    AllowedZones, Batch, BatchEnd, Batcher, Cell, DEFAULT_ENGINE_TIME, JobEvent, JobSpec, PieceEnd,
    Rank, ServerAvailability, ServerRecord, StageSpec,
};
use amaranthscale_core::version::{BatchSpec, CallerBounds, Pool, Routing};

const SERVICES: [&str; 3] = ["encode", "retrieve", "rerank"];
const PIECES: [usize; 3] = [1, 6, 6];
const MAX_PIECES: usize = 40;
const STEP: Duration = Duration::from_millis(5);
const SECONDS: u64 = 5;
/// How long an engine takes to read its inputs, which are retained meanwhile.
const READ_TIME: Duration = Duration::from_millis(1_500);

/// The load on the servers.
#[derive(Debug, Clone, Copy)]
struct Load {
    name: &'static str,
    /// Fraction of the servers' time that the requests take.
    utilisation: f64,
    /// Size of the final results of every second request.
    large_bytes: u64,
}

const LOADS: [Load; 2] = [
    Load {
        name: "calm",
        utilisation: 0.7,
        large_bytes: 6_000,
    },
    Load {
        name: "beyond",
        utilisation: 1.6,
        large_bytes: 800_000,
    },
];

fn spec() -> BatchSpec {
    BatchSpec {
        slots: 1,
        max_pieces: MAX_PIECES,
        call_time: Duration::from_millis(240),
        piece_time: Duration::from_millis(5),
        result_capacity_bytes: 22_000_000,
        result_retention: Duration::from_secs(4),
    }
}

fn server(service: &str, index: u32) -> ServerRecord {
    ServerRecord {
        incarnation: format!("{service}-{index}").parse().unwrap(),
        service: service.parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: format!("zone-{}", index % 6).parse().unwrap(),
        slots: 1,
        is_leaving: false,
        cold_left: None,
        software_version: None,
    }
}

fn servers(per_second: u32, load: Load) -> Vec<ServerRecord> {
    let batch_s = spec().call_time_for(MAX_PIECES).as_secs_f64();
    let of_service = |(service, pieces): (&&str, usize)| {
        let piece_s = batch_s / f64::from(u32::try_from(MAX_PIECES).unwrap());
        let busy = f64::from(per_second) * f64::from(u32::try_from(pieces).unwrap()) * piece_s;
        let count = (1..100_000)
            .find(|count| f64::from(*count) * load.utilisation >= busy)
            .unwrap();
        (0..count)
            .map(|index| server(service, index))
            .collect::<Vec<_>>()
    };
    SERVICES.iter().zip(PIECES).flat_map(of_service).collect()
}

fn batcher(servers: &[ServerRecord]) -> Batcher {
    let pools = SERVICES.map(|service| Pool {
        service: service.parse().unwrap(),
        max_connections: 100,
        engine: None,
        batch: Some(spec()),
        cold: None,
    });
    let routing = Routing::new(RoutingVersion::new(1), CallerBounds::default());
    let mut batcher = Batcher::new();
    let in_use = servers
        .iter()
        .map(|server| (server, ServerAvailability::Free));
    batcher.set_servers(&routing.with_pools(pools), in_use, Duration::ZERO);
    batcher
}

fn job_spec(number: u64, load: Load) -> JobSpec {
    let last_bytes = if number.is_multiple_of(2) {
        load.large_bytes
    } else {
        6_000
    };
    let stages = SERVICES.iter().zip(PIECES).enumerate();
    let stages = stages.map(|(index, (service, pieces))| StageSpec {
        service: service.parse().unwrap(),
        depends_on: index.checked_sub(1).into_iter().collect(),
        pieces,
        result_bytes: if index == 2 { last_bytes } else { 6_000 },
    });
    JobSpec {
        call: format!("call-{number}").parse().unwrap(),
        route: "route".parse().unwrap(),
        cell: Cell::SINGLE,
        piece_key: "key".to_owned(),
        stages: stages.collect(),
        rank: Rank::default(),
        organisation: None,
        was_admitted: false,
        value_tokens: 1_000 + number % 7 * 500,
        target_latency: Duration::from_secs(2),
        target_latency_left: Duration::from_secs(2),
        deadline_left: Duration::from_secs(15),
        engine_time: DEFAULT_ENGINE_TIME,
        reader_zone: format!("zone-{}", number % 6).parse().unwrap(),
        allowed_zones: AllowedZones::default(),
        retained: Vec::new(),
    }
}

/// Measurements of one run.
struct Figures {
    spent: Duration,
    most_jobs: usize,
    done: usize,
    failed: usize,
}

fn run(per_second: u32, servers: &[ServerRecord], load: Load) -> Figures {
    let mut batcher = batcher(servers);
    let mut read = VecDeque::new();
    let mut ends: BTreeMap<(Duration, u64), Batch> = BTreeMap::new();
    let mut figures = Figures {
        spent: Duration::ZERO,
        most_jobs: 0,
        done: 0,
        failed: 0,
    };
    let (mut now, mut number, mut calls) = (Duration::from_secs(10), 0, 0);
    let end = now + Duration::from_secs(SECONDS);
    while now < end {
        now += STEP;
        let due = u64::from(per_second)
            * u64::try_from(
                (now + Duration::from_secs(SECONDS))
                    .saturating_sub(end)
                    .as_millis(),
            )
            .unwrap()
            / 1_000;
        let started = Instant::now();
        while number < due {
            number += 1;
            figures.failed += usize::from(batcher.submit(job_spec(number, load), now).is_err());
        }
        let later = ends.split_off(&(now, u64::MAX));
        for batch in std::mem::replace(&mut ends, later).into_values() {
            let made = (0..batch.items.len()).map(|index| {
                PieceEnd::Completed(
                    format!("10.0.0.1:80/{}-{index}", batch.items[0].call)
                        .parse()
                        .unwrap(),
                )
            });
            batcher.batch_ended(batch.id, BatchEnd::Pieces(made.collect()), None, now);
        }
        for batch in batcher.next_batches(now) {
            calls += 1;
            ends.insert(
                (now + spec().call_time_for(batch.items.len()), calls),
                batch,
            );
        }
        for event in batcher.take_events() {
            let job = match event {
                JobEvent::Done(job, ..) => {
                    figures.done += 1;
                    job
                }
                JobEvent::Failed(job, _) | JobEvent::Displaced(job, _) => {
                    figures.failed += 1;
                    job
                }
                JobEvent::ResultsStored(..)
                | JobEvent::ResultsDropped(..)
                | JobEvent::ConnectionLost(..) => continue,
            };
            read.push_back((now + READ_TIME, job));
        }
        while let Some((_, job)) = read.pop_front_if(|(at, _)| *at <= now) {
            batcher.release(job);
        }
        for request in batcher.take_free_requests(|_| true) {
            batcher.results_freed(&request);
        }
        figures.spent += started.elapsed();
        figures.most_jobs = figures.most_jobs.max(batcher.job_count());
    }
    figures
}

fn main() {
    let asked = std::env::args().skip(1).map(|rate| {
        rate.parse::<u32>()
            .expect("requests a second, such as 1000")
    });
    println!("requests/s  load    servers  open jobs  done  failed  of a core");
    for per_second in asked {
        for load in LOADS {
            let servers = servers(per_second, load);
            let figures = run(per_second, &servers, load);
            let part = figures.spent.as_secs_f64() / Duration::from_secs(SECONDS).as_secs_f64();
            println!(
                "{per_second:>10}  {:<6}  {:>7}  {:>9}  {:>4}  {:>6}  {:>8.1}%",
                load.name,
                servers.len(),
                figures.most_jobs,
                figures.done,
                figures.failed,
                part * 100.0
            );
        }
    }
}
