//! Plays a case of the review: the project's gateways before stand-ins of the platform, servers and
//! clients, on loopback addresses and the real clock.
//!
//!     review-standin CASE FOLDER    (TROUBLE=0: without the disruption)
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod http;
mod json;
mod servers;
mod store;

use std::fs;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use http::Server;
use servers::{Backend, Stage, World};

const STEP: Duration = Duration::from_millis(5);

/// The gateways, ended when this is dropped.
struct Gateways(Arc<Mutex<Vec<Child>>>);

impl Gateways {
    fn end(&self) {
        for child in self.0.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A free port, and the one after it, below those that the system gives to connections by itself.
fn free_ports() -> u16 {
    static NEXT: Mutex<Option<u32>> = Mutex::new(None);
    let mut next = NEXT.lock().unwrap();
    let mut port = next.unwrap_or(std::process::id());
    loop {
        port += 2;
        *next = Some(port);
        let first = 20_000 + (port % 6_000) as u16 * 2;
        let is_free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if is_free(first) && is_free(first + 1) {
            return first;
        }
    }
}

struct Gateway {
    front: SocketAddr,
    ready: SocketAddr,
}

fn start_gateway(number: usize, folder: &Path, store: SocketAddr, children: &Gateways) -> Result<Gateway, String> {
    let (front, ready, peers) = (free_ports(), free_ports(), free_ports());
    let settings = format!(
        "node_name=front-{number}\nrole=gateway\nmachine_class=front\nserves=front\nip=127.0.0.1\nzone=z1\nregion=r1\nzones.z1=r1\n\
         bind.front=127.0.0.1:{front}\nbind.ready=127.0.0.1:{ready}\nport_range={peers},{last}\nbootstrap=true\n\
         limits.cpu_share=0.19\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\nheartbeat_ms=1200\n\
         bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.stable_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\n\
         bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
         bounds.rollback_slack_ms=250\nbounds.stretch_max_ms=5000\nbounds.strict_revoke=true\nbounds.revoke_ms=5000\n\
         bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.retry_slack=56\nbounds.recover_s=12\n\
         platform.addr={store}\nplatform.form=table\n",
        last = peers + 1
    );
    let path = folder.join(format!("boot-{number}.conf"));
    fs::write(&path, settings).map_err(|error| error.to_string())?;
    let log = fs::File::create(folder.join(format!("gateway-{number}.log"))).map_err(|error| error.to_string())?;
    let errors = log.try_clone().map_err(|error| error.to_string())?;
    let child = Command::new("target/release/amaranth-gateway")
        .arg("gateway")
        .env("AMARANTHSCALE_BOOT", &path)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .map_err(|error| format!("target/release/amaranth-gateway: {error}"))?;
    children.0.lock().unwrap().push(child);
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    Ok(Gateway { front: address(front), ready: address(ready) })
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut text = [0; 12];
    stream.write_all(b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n").is_ok()
        && stream.read_exact(&mut text).is_ok()
        && text.ends_with(b"200")
}

fn configuration(world: &World) -> String {
    let stages = world.stages.iter().map(|stage| {
        let after: Vec<String> = stage.after.iter().map(ToString::to_string).collect();
        format!("{{\"service\":\"{}\",\"after\":[{}],\"bytes\":{}}}", stage.service, after.join(","), stage.bytes)
    });
    let stages: Vec<String> = stages.collect();
    let services = world.stages.iter().map(|stage| {
        format!(
            "{{\"name\":\"{}\",\"health_path\":\"/healthz\",\"max_conns\":500,\"protocol\":\"h1\",\"tls\":false,\"pieces\":{{\"slots\":1,\"queue\":2,\"batch\":{},\"call_ms\":{},\"item_ms\":{},\"room_mb\":{},\"handle_s\":4.0,\"bandwidth_mbps\":10000}}}}",
            stage.service, stage.batch, stage.call_ms, stage.item_ms, stage.room_mb
        )
    });
    let services: Vec<String> = services.collect();
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-one\",\"host\":\"a.example\",\"prefix\":\"/p/\",\"route_kind\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":1900,\"priority\":0,\"service\":\"llm\",\"max_attempts\":2,\"stages\":[{}],\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":300}}],\
         \"services\":[{{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_conns\":500,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":128,\"kv_tokens\":1071844,\"models\":[{{\"name\":\"m\"}}]}}}},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"t-one\",\"api_keys\":[\"key-one-of-the-test\"],\"priority\":1}}]}}",
        stages.join(","),
        services.join(",")
    )
}

/// One client's request on a new connection.
fn ask(world: &World, front: SocketAddr, id: &str) {
    let pieces: Vec<String> = world.stages.iter().map(|stage| stage.pieces.to_string()).collect();
    let request = format!(
        "POST /p/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 826,49\r\nX-Prompt-Prefix: 5c1e07a2:198,{id}:628\r\n\
         X-Deadline-Ms: 15000\r\nApi-Key: key-one-of-the-test\r\nX-Pieces: {}\r\nX-Piece-Key: key{id}\r\nContent-Length: 5\r\n\r\nhello",
        pieces.join(",")
    );
    let answered = (|| -> std::io::Result<(String, Vec<u8>)> {
        let mut stream = TcpStream::connect(front)?;
        stream.set_read_timeout(Some(Duration::from_secs(16)))?;
        stream.write_all(request.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let (first, headers) = http::read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let body = http::read_body(&mut reader, &headers)?;
        Ok((first, body))
    })();
    match answered {
        Ok((first, body)) => {
            let is_served = first.contains(" 200 ") && String::from_utf8_lossy(&body).matches(id).count() == 5;
            world.count(if is_served { "requests served" } else { "requests refused or failed" });
            world.line(format!("client: request {id} gets {}", first.trim_start_matches("HTTP/1.1 ")));
        }
        Err(error) => {
            world.count("requests without a whole answer");
            world.line(format!("client: request {id} gets no whole answer: {error}"));
        }
    }
}

/// What a case is made of.
struct Case {
    stages: Vec<Stage>,
    requests_per_s: f64,
    seconds: u64,
    /// Servers of each stage service.
    servers: usize,
    trouble: Trouble,
}

enum Trouble {
    /// Three of five servers of each stage service send 3 in 100 of their answers once more, where
    /// the next answer is expected, in these windows.
    LateAnswers(Vec<(u64, u64)>),
    /// A server of the first stage's service crashes at each of these times and is back 5.5 s later.
    Crashes(Vec<u64>),
}

fn case(name: &str) -> Option<Case> {
    let stage = |service, after, pieces, bytes, batch, item_ms, room_mb| Stage { service, after, pieces, bytes, batch, call_ms: 240.0, item_ms, room_mb };
    match name {
        // The stages of tare-note of the deployment Delta Basin.
        "late-answers" => Some(Case {
            stages: vec![
                stage("ledger", &[], 1, 8_000, 12, 17.0, 14.0),
                stage("pile", &[0], 4, 60_000, 26, 7.9, 3.0),
                stage("haul", &[1], 6, 6_000, 40, 5.1, 0.44),
            ],
            requests_per_s: 12.0,
            seconds: 70,
            servers: 5,
            trouble: Trouble::LateAnswers((0..7).map(|number| (8_000 + number * 8_000, 13_000 + number * 8_000)).collect()),
        }),
        // The same services; the second and the third stage both follow the first one.
        "two-followers" => Some(Case {
            stages: vec![
                stage("ledger", &[], 2, 8_000, 12, 17.0, 14.0),
                stage("pile", &[0], 4, 60_000, 26, 7.9, 3.0),
                stage("haul", &[0], 6, 6_000, 40, 5.1, 0.44),
            ],
            requests_per_s: 58.0,
            seconds: 85,
            servers: 5,
            trouble: Trouble::Crashes((0..11).map(|number| 8 + number * 7).collect()),
        }),
        _ => None,
    }
}

fn play(case: Case, folder: &Path, has_trouble: bool, gateways: &Gateways, temporary: &Path) -> Result<i32, String> {
    let world = World::new(case.stages.clone());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = Server::start(any, world.store.handler()).map_err(|error| error.to_string())?;
    world.store.put("op", "config", &configuration(&world));
    let mut backends = Vec::new();
    for stage in &case.stages {
        for number in 0..case.servers {
            backends.push(Backend::start(&world, stage.service, Some(stage.clone()), number < 3));
        }
    }
    for _ in 0..3 {
        backends.push(Backend::start(&world, "llm", None, false));
    }
    thread::sleep(Duration::from_millis(300));
    let fronts: Vec<Gateway> = (1..=2).map(|number| start_gateway(number, temporary, store.address, gateways)).collect::<Result<_, _>>()?;
    let until = Instant::now() + Duration::from_secs(10);
    while !fronts.iter().all(|front| is_ready(front.ready)) {
        if Instant::now() > until {
            return Err("the gateways are not ready after 10 s".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    world.line("the gateways are ready".to_owned());
    let begun = world.started.elapsed();
    let mut crashes = Vec::new();
    if has_trouble {
        match &case.trouble {
            Trouble::LateAnswers(windows) => {
                let begun_ms = begun.as_millis() as u64;
                *world.faulty.lock().unwrap() = windows.iter().map(|(from, to)| (from + begun_ms, to + begun_ms)).collect();
            }
            Trouble::Crashes(times) => crashes = times.iter().map(|at| Duration::from_secs(*at)).collect(),
        }
    }
    crashes.reverse();
    let started = Instant::now();
    let mut clients = Vec::new();
    let (mut asked, mut crashed) = (0_u32, 0);
    while started.elapsed() < Duration::from_secs(case.seconds) {
        if crashes.last().is_some_and(|at| *at <= started.elapsed()) {
            crashes.pop();
            backends[crashed % case.servers].crash(Duration::from_millis(5_500));
            crashed += 1;
        }
        if started.elapsed().as_secs_f64() * case.requests_per_s >= f64::from(asked) {
            asked += 1;
            let front = fronts[asked as usize % fronts.len()].front;
            let (world, id) = (Arc::clone(&world), format!("{:016x}", u64::from(asked) * 0x9e37_79b9_7f4a_7c15 % 0xffff_ffff_ffff));
            clients.push(thread::spawn(move || ask(&world, front, &id)));
        }
        thread::sleep(STEP);
    }
    for client in clients {
        let _ = client.join();
    }
    gateways.end();
    let broken = world.broken();
    let mut record = world.lines();
    record.push(format!("asked {asked}; {:?}", world.counts()));
    record.push(format!("rule broken {} times", broken.len()));
    fs::write(folder.join("record.txt"), record.join("\n") + "\n").map_err(|error| error.to_string())?;
    println!("asked {asked}; {:?}", world.counts());
    for text in broken.iter().take(5) {
        println!("broken: {text}");
    }
    println!("rule broken {} times", broken.len());
    if world.counts().get("requests served").copied().unwrap_or(0) * 2 < u64::from(asked) {
        return Err("fewer than half of the requests were served".to_owned());
    }
    Ok(i32::from(!broken.is_empty()))
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: review-standin CASE FOLDER");
        exit(2);
    };
    let Some(case) = case(name) else {
        eprintln!("no case {name}");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let gateways = Gateways(Arc::default());
    let temporary: PathBuf = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if let Err(error) = fs::create_dir_all(&temporary) {
        eprintln!("{error}");
        exit(2);
    }
    // Whatever hangs, nothing is left running.
    let (children, kept) = (Arc::clone(&gateways.0), temporary.clone());
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(112));
        eprintln!("the case did not end in time");
        Gateways(children).end();
        let _ = fs::remove_dir_all(kept);
        exit(2);
    });
    let ended = play(case, Path::new(folder), has_trouble, &gateways, &temporary);
    gateways.end();
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&temporary);
    } else {
        println!("kept {}", temporary.display());
    }
    match ended {
        Ok(code) => exit(code),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            exit(2);
        }
    }
}
