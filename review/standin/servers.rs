//! Servers of stage services and model servers, and the check of what they are given.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Server, answer};
use crate::json::Json;
use crate::store::Store;

/// How often a server writes its entry; it is removed after three intervals of silence.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// One stage of the route.
#[derive(Clone)]
pub struct Stage {
    pub service: &'static str,
    pub after: &'static [usize],
    pub pieces: usize,
    pub bytes: u32,
    pub batch: usize,
    pub call_ms: f64,
    pub item_ms: f64,
    pub room_mb: f64,
}

/// A result that lies at its maker.
#[derive(Clone)]
struct Made {
    request: String,
    stage: usize,
    piece: usize,
    maker: String,
    freed: bool,
    at: Instant,
}

pub struct World {
    pub started: Instant,
    pub store: Arc<Store>,
    pub stages: Vec<Stage>,
    lines: Mutex<Vec<String>>,
    results: Mutex<BTreeMap<String, Made>>,
    alive: Mutex<BTreeSet<String>>,
    broken: Mutex<Vec<String>>,
    counts: Mutex<BTreeMap<&'static str, u64>>,
    numbers: AtomicU64,
    /// When servers are faulty: windows in milliseconds from the start.
    pub faulty: Mutex<Vec<(u64, u64)>>,
    answers_of_faulty: AtomicU64,
}

/// What a server is given.
#[derive(PartialEq)]
enum Given {
    Right,
    /// Not this request's results, or not all of them.
    Wrong(String),
}

impl World {
    pub fn new(stages: Vec<Stage>) -> Arc<World> {
        Arc::new(World {
            started: Instant::now(),
            store: Store::new(),
            stages,
            lines: Mutex::default(),
            results: Mutex::default(),
            alive: Mutex::default(),
            broken: Mutex::default(),
            counts: Mutex::default(),
            numbers: AtomicU64::new(1),
            faulty: Mutex::default(),
            answers_of_faulty: AtomicU64::new(0),
        })
    }

    pub fn line(&self, text: String) {
        let ms = self.started.elapsed().as_millis();
        self.lines.lock().unwrap().push(format!("{:>7.3} {text}", ms as f64 / 1_000.0));
    }

    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    pub fn count(&self, name: &'static str) {
        *self.counts.lock().unwrap().entry(name).or_default() += 1;
    }

    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.counts.lock().unwrap().clone()
    }

    pub fn broken(&self) -> Vec<String> {
        self.broken.lock().unwrap().clone()
    }

    fn break_rule(&self, text: String) {
        self.line(format!("RULE BROKEN {text}"));
        self.broken.lock().unwrap().push(text);
    }

    pub fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::SeqCst)
    }

    pub fn is_faulty_now(&self) -> bool {
        let ms = self.started.elapsed().as_millis() as u64;
        self.faulty.lock().unwrap().iter().any(|(from, to)| (*from..*to).contains(&ms))
    }

    /// Whether the handles are exactly the results of all pieces of these stages of the request.
    fn check(&self, request: &str, stages: &[usize], handles: &[String]) -> Given {
        let results = self.results.lock().unwrap();
        let mut seen = BTreeSet::new();
        for handle in handles {
            let Some(made) = results.get(handle) else {
                return Given::Wrong(format!("{handle}, which no server made"));
            };
            if made.request != request || !stages.contains(&made.stage) {
                return Given::Wrong(format!("{handle}, the result of stage {} piece {} of request {}", made.stage, made.piece, made.request));
            }
            if !seen.insert((made.stage, made.piece)) {
                return Given::Wrong(format!("stage {} piece {} twice", made.stage, made.piece));
            }
        }
        let due: usize = stages.iter().map(|stage| self.stages[*stage].pieces).sum();
        if seen.len() == due { Given::Right } else { Given::Wrong(format!("{} of its {due} inputs", seen.len())) }
    }

    /// Whether all results still lie at their makers.
    fn are_there(&self, handles: &[String]) -> bool {
        let (results, alive) = (self.results.lock().unwrap(), self.alive.lock().unwrap());
        handles.iter().all(|handle| {
            let made = results.get(handle);
            made.is_some_and(|made| !made.freed && alive.contains(&made.maker) && made.at.elapsed() < Duration::from_secs(4))
        })
    }
}

/// A server, its entry and its faults.
pub struct Backend {
    pub service: &'static str,
    pub address: SocketAddr,
    pub id: Arc<Mutex<String>>,
    world: Arc<World>,
    stage: Option<Stage>,
    is_faulty: bool,
    server: Mutex<Server>,
}

impl Backend {
    /// Starts a server; one with a stage makes its pieces, others are model servers.
    pub fn start(world: &Arc<World>, service: &'static str, stage: Option<Stage>, is_faulty: bool) -> Arc<Backend> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let id = Arc::new(Mutex::new(new_id(world)));
        let server = serve(world, &id, stage.clone(), is_faulty, any);
        let backend = Arc::new(Backend {
            service,
            address: server.address,
            id,
            world: Arc::clone(world),
            stage,
            is_faulty,
            server: Mutex::new(server),
        });
        world.alive.lock().unwrap().insert(backend.id());
        let beating = Arc::clone(&backend);
        thread::spawn(move || beating.beat());
        backend
    }

    pub fn id(&self) -> String {
        self.id.lock().unwrap().clone()
    }

    /// Ends the process; it starts again as another incarnation after a time.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        let ended = self.id();
        self.world.line(format!("server {ended} of {} crashes", self.service));
        self.world.alive.lock().unwrap().remove(&ended);
        self.server.lock().unwrap().kill();
        let backend = Arc::clone(self);
        thread::spawn(move || {
            let silent = HEARTBEAT * 3;
            thread::sleep(silent.min(down));
            backend.world.store.remove("servers", &ended);
            thread::sleep(down.saturating_sub(silent));
            let id = new_id(&backend.world);
            *backend.id.lock().unwrap() = id.clone();
            let server = serve(&backend.world, &backend.id, backend.stage.clone(), backend.is_faulty, backend.address);
            *backend.server.lock().unwrap() = server;
            backend.world.alive.lock().unwrap().insert(id.clone());
            backend.world.line(format!("server {id} of {} starts in place of {ended}", backend.service));
        });
    }

    fn beat(&self) {
        let mut sequence = 0;
        loop {
            let id = self.id();
            if self.world.alive.lock().unwrap().contains(&id) {
                sequence += 1;
                let slots = if self.stage.is_some() { 1 } else { 128 };
                let entry = format!(
                    "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":{sequence}}}",
                    self.service, self.address
                );
                self.world.store.put("servers", &id, &entry);
            }
            for _ in 0..12 {
                thread::sleep(HEARTBEAT / 12);
                if self.id() != id {
                    break;
                }
            }
        }
    }
}

fn new_id(world: &World) -> String {
    format!("i-{:08x}", world.number() * 7_919)
}

fn serve(world: &Arc<World>, id: &Arc<Mutex<String>>, stage: Option<Stage>, is_faulty: bool, address: SocketAddr) -> Server {
    let own = id.lock().unwrap().clone();
    let (world, place) = (Arc::clone(world), Arc::new(Place::default()));
    let handler = move |stream: &mut std::net::TcpStream, request: Request, late: &mut Option<Vec<u8>>| {
        let target = request.header("x-target-instance");
        if target.is_some_and(|target| target != own) {
            stream.write_all(&answer(421, &[("X-Instance-Id", &own), ("X-Not-Executed", "1")], "{}"))?;
            return Ok(true);
        }
        match (&stage, request.path.as_str()) {
            (Some(stage), "/stage-run") => {
                let address = stream.local_addr()?;
                let bytes = stage_run(&world, &own, address, stage, &place, &request);
                stream.write_all(&bytes)?;
                if is_faulty && world.is_faulty_now() && world.answers_of_faulty.fetch_add(1, Ordering::SeqCst) % 34 == 16 {
                    world.line(format!("server {own} will send its last answer once more, late"));
                    world.count("answers sent once more");
                    *late = Some(bytes);
                }
            }
            (Some(_), "/stage-free") => {
                let body = Json::parse(&request.text()).unwrap_or(Json::Null);
                let mut results = world.results.lock().unwrap();
                for handle in body.get("handles").list().iter().filter_map(Json::text) {
                    if let Some(made) = results.get_mut(handle) {
                        made.freed = true;
                    }
                }
                drop(results);
                stream.write_all(&answer(200, &[], "{}"))?;
            }
            (None, path) if path.starts_with("/p/") => return model_run(&world, &own, stream, &request),
            _ => stream.write_all(&answer(404, &[], "{}"))?,
        }
        Ok(true)
    };
    Server::start(address, Arc::new(handler)).expect("a listener of a server")
}

/// Calls in progress or waiting at one server.
#[derive(Default)]
struct Place {
    working: Mutex<()>,
    calls: AtomicU64,
}

/// Two calls may wait behind the one that is worked on.
const QUEUE: u64 = 2;

fn stage_run(world: &Arc<World>, own: &str, address: SocketAddr, stage: &Stage, place: &Place, request: &Request) -> Vec<u8> {
    let body = Json::parse(&request.text()).unwrap_or(Json::Null);
    if place.calls.fetch_add(1, Ordering::SeqCst) > QUEUE {
        place.calls.fetch_sub(1, Ordering::SeqCst);
        return answer(503, &[("X-Not-Executed", "1")], "{}");
    }
    let turn = place.working.lock().unwrap();
    let items = body.get("items").list();
    let mut answers = Vec::new();
    for item in items {
        answers.push(piece(world, own, address, item));
    }
    let ms = stage.call_ms + stage.item_ms * items.len() as f64;
    thread::sleep(Duration::from_secs_f64(ms / 1_000.0));
    drop(turn);
    let load = format!("0,{},1", place.calls.fetch_sub(1, Ordering::SeqCst) - 1);
    // A crashed server sends nothing; its connections are closed.
    let mut results = world.results.lock().unwrap();
    let made_at = Instant::now();
    for (handle, made) in answers.iter().filter_map(|answer| answer.as_ref().ok()) {
        results.insert(handle.clone(), Made { at: made_at, ..made.clone() });
    }
    drop(results);
    let answers: Vec<String> = answers
        .iter()
        .map(|answer| match answer {
            Ok((handle, _)) => format!("{{\"handle\":\"{handle}\"}}"),
            Err(reason) => format!("{{\"reason\":\"{reason}\"}}"),
        })
        .collect();
    world.count("stage calls");
    answer(200, &[("X-Server-Load", &load)], &format!("{{\"items\":[{}]}}", answers.join(",")))
}

/// Makes one piece, and checks what it is given.
fn piece(world: &Arc<World>, own: &str, address: SocketAddr, item: &Json) -> Result<(String, Made), &'static str> {
    let id = item.get("id").text().unwrap_or_default().to_owned();
    let number = |name: &str| item.get(name).number().unwrap_or(0.0) as usize;
    let (stage, piece) = (number("stage"), number("piece"));
    let inputs: Vec<String> = item.get("inputs").list().iter().filter_map(Json::text).map(str::to_owned).collect();
    let after = world.stages.get(stage).map_or(&[][..], |stage| stage.after);
    let named = format!("server {own} is asked for stage {stage} piece {piece} of request {id}");
    if after.is_empty() {
        if item.get("key").text().is_none() || !inputs.is_empty() {
            world.break_rule(format!("{named}: no key, or inputs"));
        }
    } else {
        let given = if inputs.is_empty() { "none" } else { "inputs" };
        let is_there = world.are_there(&inputs);
        if let Given::Wrong(what) = world.check(&id, after, &inputs) {
            let there = if is_there { "the server works with that" } else { "an input is gone, the server says so" };
            let has_key = if item.get("key").text().is_some() { ", and the key" } else { "" };
            world.break_rule(format!("{named}: given {given}{has_key}: {what}; {there}"));
        }
        if !is_there {
            world.count("pieces with inputs gone");
            world.line(format!("{named}: an input is gone"));
            return Err("gone");
        }
    }
    let handle = format!("{address}/{:x}", world.number());
    world.count("pieces made");
    let made = Made { request: id, stage, piece, maker: own.to_owned(), freed: false, at: Instant::now() };
    Ok((handle, made))
}

/// Runs a request at a model server, and streams its events.
fn model_run(world: &Arc<World>, own: &str, stream: &mut std::net::TcpStream, request: &Request) -> std::io::Result<bool> {
    let id = request.header("x-request-id").unwrap_or_default().to_owned();
    let not_run = |status: u16| answer(status, &[("X-Request-Id", &id), ("X-Not-Executed", "1")], "{}");
    let Some(inputs) = request.header("x-inputs") else {
        stream.write_all(&not_run(400))?;
        return Ok(true);
    };
    let handles: Vec<String> = inputs.split(',').filter(|handle| !handle.is_empty()).map(str::to_owned).collect();
    let last: Vec<usize> = (0..world.stages.len()).filter(|index| !world.stages.iter().any(|stage| stage.after.contains(index))).collect();
    let is_there = world.are_there(&handles);
    if let Given::Wrong(what) = world.check(&id, &last, &handles) {
        let there = if is_there { "runs with them" } else { "some are gone" };
        world.break_rule(format!("server {own} is asked to run request {id}: given {what}; {there}"));
    }
    if !is_there {
        world.count("requests with inputs gone");
        stream.write_all(&not_run(409))?;
        return Ok(true);
    }
    world.count("requests run");
    let stamp = format!("{own}.{id}");
    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\nX-Response-Stamp: {stamp}\r\nTransfer-Encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    for number in 1..=5 {
        thread::sleep(Duration::from_millis(20));
        let event = format!("id: {number}\ndata: {id}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}
