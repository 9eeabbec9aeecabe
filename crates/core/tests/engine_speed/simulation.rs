//! Simulates engines of two speeds behind gateways that choose among them.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

use amaranthscale_core::id::{InstanceId, ServerIncarnation, ServiceId};
use amaranthscale_core::process::{
    EngineEstimate, EnginePrompt, EngineRunId, PromptHomes, RecentPrefills, ServerLoad,
    ServerRecord, ServerSelector, SpeedCollector,
};
use amaranthscale_core::version::TransferSpec;

use super::prefix_cache::PrefixCache;

/// Interval of a gateway's reports.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Tokens that are prefilled between two decode steps.
const CHUNK_TOKENS: u64 = 2_048;
const SHARED_TOKENS: u64 = 5_400;
const SUBJECTS: u32 = 319;
/// Mean of the tokens of a large prompt that it does not share.
const MEAN_OWN_TOKENS: f64 = 6_610.0;
const MAX_OWN_TOKENS: f64 = 57_000.0;
/// Tokens from which a prompt belongs to the largest fifth.
pub const LARGEST_TOKENS: u64 = 15_500;
/// Additional time of a decode step for each running request.
const STEP_MS_PER_REQUEST: f64 = 0.12;
/// Time to the first event up to which a prompt stays at its home.
const ACCEPTABLE_TIME: Duration = Duration::from_millis(340);
/// Time to the first event within which an answer is on time.
pub const TIME_LEFT: Duration = Duration::from_millis(1_200);
/// How engines fetch shared parts from each other.
const TRANSFER: TransferSpec = TransferSpec {
    bytes_per_token: 18_432,
    bytes_per_s: 92_500_000_000,
    can_back_up: true,
    can_move: true,
    copy_retention: Duration::from_secs(5),
};
/// Time at the start in which caches are filled; not measured.
const WARM_UP: Duration = Duration::from_secs(10);

/// How engines are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// By affinity alone.
    Affinity,
    /// By measured speed.
    Speed,
    /// By each gateway's own measurements, as without a collector.
    SpeedWithoutExchange,
}

/// What is simulated.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub choice: Choice,
    pub seed: u64,
    pub engines: usize,
    /// Requests that an engine runs at once.
    pub slots: usize,
    /// The first engines are twice as fast.
    pub fast_engines: usize,
    pub gateways: usize,
    pub duration: Duration,
    /// Factor on the rates of requests.
    pub load: f64,
    /// Fraction of the large prompts that are of one subject.
    pub hot_share: f64,
    /// Whether the prompts of a busy home are split with the second engine.
    pub has_splits: bool,
    /// An engine whose work takes a multiple of the time from one time to another.
    pub slowdown: Option<(usize, f64, Duration, Duration)>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            choice: Choice::Speed,
            seed: 1,
            engines: 42,
            slots: 64,
            fast_engines: 12,
            gateways: 20,
            duration: Duration::from_mins(1),
            load: 1.0,
            hot_share: 0.0,
            has_splits: true,
            slowdown: None,
        }
    }
}

/// Times to the first event, sorted, and work that was done again.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Of the largest fifth of the large prompts.
    pub largest: Vec<Duration>,
    /// Of the other large prompts.
    pub large: Vec<Duration>,
    /// Of the small and medium prompts.
    pub others: Vec<Duration>,
    /// Shared tokens that an engine prefilled although one had prefilled them before.
    pub tokens_again: u64,
    /// Fetches of shared parts, and those of them that found nothing at their source.
    pub fetches: usize,
    pub missed_fetches: usize,
    /// Bytes of the bodies of all gateways' reports, and of the answers to them.
    pub report_bytes: usize,
    pub update_bytes: usize,
    /// Total times of the answers to the small and medium prompts.
    pub other_totals: Vec<Duration>,
}

/// A percentile of sorted times.
pub fn percentile(times: &[Duration], percent: usize) -> Duration {
    let index = times.len() * percent / 100;
    times.get(index).copied().unwrap_or_default()
}

/// Fraction of times beyond a limit.
pub fn late_fraction(times: &[Duration], limit: Duration) -> f64 {
    let late = times.iter().filter(|time| **time > limit).count();
    f64::from(u32::try_from(late).unwrap()) / f64::from(u32::try_from(times.len().max(1)).unwrap())
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Large,
    Other,
}

#[derive(Debug, Clone)]
struct Request {
    kind: Kind,
    gateway: usize,
    subject: Option<u32>,
    prefix: String,
    tokens: u64,
    events_left: u32,
    arrived_at: Duration,
    run: Option<EngineRunId>,
    /// Engine from which the one that runs the request fetches the shared parts.
    source: Option<usize>,
    prefill_left: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Step(usize),
    Exchange(usize),
}

#[derive(Debug, Default)]
struct Engine {
    prefill_ms: f64,
    event_ms: f64,
    running: Vec<Request>,
    waiting: VecDeque<Request>,
    cached: PrefixCache,
    is_busy: bool,
    /// Tokens that the current step prefills.
    chunk: u64,
}

/// The state of a simulation.
#[derive(Debug)]
pub struct Simulation {
    scenario: Scenario,
    random: u64,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    engines: Vec<Engine>,
    records: Vec<ServerRecord>,
    gateways: Vec<ServerSelector>,
    /// What each gateway has seen engines prefill.
    recent: Vec<RecentPrefills>,
    /// Subjects whose shared part some engine has prefilled.
    prefilled: BTreeSet<u32>,
    collector: SpeedCollector,
    calls: u64,
    outcome: Outcome,
}

/// Requests a second, tokens and events of each kind; the tokens of the first kind vary.
const KINDS: [(f64, u64, u32); 3] = [(27.0, 0, 42), (28.0, 830, 32), (37.0, 2_400, 3)];

impl Simulation {
    pub fn new(scenario: Scenario) -> Self {
        let fast = |index| index < scenario.fast_engines;
        let engines = (0..scenario.engines).map(|index| Engine {
            prefill_ms: if fast(index) { 13.0 } else { 30.0 },
            event_ms: if fast(index) { 14.0 } else { 40.0 },
            ..Engine::default()
        });
        let records = (0..scenario.engines).map(|index| ServerRecord {
            incarnation: format!("engine-{index}").parse().unwrap(),
            service: "engines".parse().unwrap(),
            address: "127.0.0.1:9000".parse().unwrap(),
            zone: "north".parse().unwrap(),
            slots: scenario.slots,
            is_leaving: false,
            cold_left: None,
            software_version: None,
        });
        let mut simulation = Self {
            random: scenario.seed,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            engines: engines.collect(),
            records: records.collect(),
            gateways: vec![ServerSelector::default(); scenario.gateways],
            recent: vec![RecentPrefills::default(); scenario.gateways],
            prefilled: BTreeSet::new(),
            collector: SpeedCollector::new("collector".parse().unwrap()),
            calls: 0,
            outcome: Outcome::default(),
            scenario,
        };
        for kind in 0..KINDS.len() {
            simulation.schedule(Duration::ZERO, Event::Arrival(kind));
        }
        for gateway in 0..simulation.gateways.len() {
            let offset = EXCHANGE_INTERVAL.mul_f64(simulation.uniform());
            simulation.schedule(offset, Event::Exchange(gateway));
        }
        simulation
    }

    /// Runs to the end.
    pub fn run(mut self) -> Outcome {
        self.run_until(self.scenario.duration);
        let outcome = &mut self.outcome;
        for times in [
            &mut outcome.largest,
            &mut outcome.large,
            &mut outcome.others,
            &mut outcome.other_totals,
        ] {
            times.sort_unstable();
        }
        self.outcome
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, _))) = self.events.peek()
            && *at <= end
        {
            let Some(Reverse((at, event))) = self.events.pop() else {
                return;
            };
            self.now = at;
            match event {
                Event::Arrival(kind) => self.arrive(kind),
                Event::Step(engine) => self.end_step(engine),
                Event::Exchange(gateway) => self.exchange(gateway),
            }
        }
        self.now = end;
    }

    /// Number of subjects whose usual prompts, and of those whose large prompts, each gateway would
    /// send to an engine now.
    pub fn subjects_at(&self, engine: usize) -> Vec<usize> {
        let gateways = 0..self.gateways.len();
        gateways
            .map(|gateway| {
                let is_chosen = |subject: u32, tokens| {
                    let prefix = format!("subject-{subject}");
                    let homes = self.prompt_homes(gateway, &prefix);
                    self.choose(gateway, &homes, &prefix, tokens, SHARED_TOKENS) == engine
                };
                let sizes = [12_000, 40_000].into_iter();
                sizes
                    .map(|tokens| (0..SUBJECTS).filter(|one| is_chosen(*one, tokens)).count())
                    .sum()
            })
            .collect()
    }

    /// Home engines of all subjects at a gateway.
    pub fn homes(&self, gateway: usize) -> Vec<ServerIncarnation> {
        let home = |subject| {
            let prefix = format!("subject-{subject}");
            self.prompt_homes(gateway, &prefix).home.unwrap()
        };
        (0..SUBJECTS).map(home).collect()
    }

    /// The estimate of an engine that gateways have.
    pub fn estimate(&self, engine: usize) -> Option<EngineEstimate> {
        let speeds = self.gateways[0].engine_speeds();
        speeds.published(&self.records[engine].incarnation)
    }

    fn arrive(&mut self, kind: usize) {
        let (rate, tokens, events) = KINDS[kind];
        let gap = self.exponential(1.0 / (rate * self.scenario.load));
        self.schedule(
            self.now + Duration::from_secs_f64(gap),
            Event::Arrival(kind),
        );
        self.calls += 1;
        let is_large = tokens == 0;
        let is_hot = self.scenario.hot_share > 0.0 && self.uniform() < self.scenario.hot_share;
        let subject = is_large.then(|| if is_hot { 0 } else { self.below(SUBJECTS) });
        let tokens = if is_large {
            let own = self.exponential(MEAN_OWN_TOKENS).min(MAX_OWN_TOKENS);
            SHARED_TOKENS + Duration::from_secs_f64(own).as_secs()
        } else {
            tokens
        };
        let gateway_count = u32::try_from(self.gateways.len()).unwrap();
        let gateway = usize::try_from(self.below(gateway_count)).unwrap();
        let prefix = subject.map_or_else(
            || format!("call-{}", self.calls),
            |subject| format!("subject-{subject}"),
        );
        let request = Request {
            kind: if is_large { Kind::Large } else { Kind::Other },
            gateway,
            subject,
            prefix,
            tokens,
            events_left: events,
            arrived_at: self.now,
            run: None,
            source: None,
            prefill_left: 0,
        };
        self.send(request);
    }

    fn choose(
        &self,
        gateway: usize,
        homes: &PromptHomes,
        prefix: &str,
        tokens: u64,
        shared_tokens: u64,
    ) -> usize {
        let selector = &self.gateways[gateway];
        let usable = self.records.iter().collect();
        let none = BTreeSet::new();
        let chosen = if self.scenario.choice == Choice::Affinity {
            selector.select_engine(usable, &none, prefix, self.now)
        } else {
            let prompt = prompt(prefix, homes, tokens, shared_tokens);
            selector.select_engine_by_speed(usable, &none, &prompt, self.now)
        };
        let chosen = &chosen.unwrap().incarnation;
        let mut records = self.records.iter();
        records
            .position(|record| record.incarnation == *chosen)
            .unwrap()
    }

    fn prompt_homes(&self, gateway: usize, prefix: &str) -> PromptHomes {
        let recent = self.recent[gateway].engines(prefix, self.now);
        let usable = self.records.iter().collect();
        self.gateways[gateway].prompt_homes(&usable, prefix, recent.cloned().collect(), self.now)
    }

    /// The engine from which another one fetches the shared parts of a prompt.
    fn source(&self, homes: &PromptHomes, index: usize) -> Option<usize> {
        let source = homes.sources(&self.records[index].incarnation).next()?;
        let mut records = self.records.iter();
        records.position(|record| record.incarnation == *source)
    }

    fn send(&mut self, mut request: Request) {
        let shared_tokens = request.subject.map_or(0, |_| SHARED_TOKENS);
        let gateway = request.gateway;
        let mut homes = self.prompt_homes(gateway, &request.prefix);
        if self.scenario.has_splits && request.subject.is_some() {
            let call = format!("{:016x}", self.calls).parse().unwrap();
            let usable = self.records.iter().collect();
            homes = self.gateways[gateway].split_homes(homes, &usable, &call, self.now);
        }
        let (prefix, tokens) = (&request.prefix, request.tokens);
        let index = self.choose(gateway, &homes, prefix, tokens, shared_tokens);
        if self.scenario.choice != Choice::Affinity && request.subject.is_some() {
            request.source = self.source(&homes, index);
        }
        let record = &self.records[index];
        let selector = &mut self.gateways[gateway];
        let prompt = prompt(&request.prefix, &homes, request.tokens, shared_tokens);
        selector.record_send(&record.incarnation);
        request.run = Some(selector.begin_engine_run(record, &prompt, self.now));
        self.engines[index].waiting.push_back(request);
        if !self.engines[index].is_busy {
            self.begin_step(index);
        }
    }

    fn begin_step(&mut self, index: usize) {
        let slowness = self.slowness(index);
        let fetched = self.try_fetch(index);
        let engine = &mut self.engines[index];
        let is_full = engine.running.len() >= self.scenario.slots;
        let mut step_ms = fetched.as_secs_f64() * 1_000.0;
        if !engine.running.is_empty() {
            let running = f64::from(u32::try_from(engine.running.len()).unwrap());
            step_ms += engine.event_ms + STEP_MS_PER_REQUEST * running;
        }
        engine.chunk = 0;
        if let Some(first) = engine.waiting.front_mut().filter(|_| !is_full) {
            if first.prefill_left == 0 {
                let subject = first.subject;
                let is_cached = subject.is_some_and(|subject| engine.cached.contains(subject));
                first.prefill_left = first.tokens - if is_cached { SHARED_TOKENS } else { 0 };
                if let Some(subject) = subject
                    && !is_cached
                    && !self.prefilled.insert(subject)
                    && self.now > WARM_UP
                {
                    self.outcome.tokens_again += SHARED_TOKENS;
                }
            }
            engine.chunk = first.prefill_left.min(CHUNK_TOKENS);
            let tokens = f64::from(u32::try_from(engine.chunk).unwrap());
            step_ms += tokens / 1_000.0 * engine.prefill_ms;
        }
        engine.is_busy = step_ms > 0.0;
        if engine.is_busy {
            let end = self.now + Duration::from_secs_f64(step_ms * slowness / 1_000.0);
            self.schedule(end, Event::Step(index));
        }
    }

    fn end_step(&mut self, index: usize) {
        let mut engine = std::mem::take(&mut self.engines[index]);
        let mut ended = Vec::new();
        engine.running.retain_mut(|request| {
            request.events_left -= 1;
            let server = &self.records[index].incarnation;
            let speeds = self.gateways[request.gateway].engine_speeds_mut();
            speeds.record_event(server, request.run.unwrap(), self.now);
            if request.events_left == 0 {
                ended.push(request.clone());
            }
            request.events_left > 0
        });
        for request in ended {
            self.end(index, &request);
        }
        if let Some(mut first) = engine.waiting.pop_front() {
            first.prefill_left -= engine.chunk;
            if first.prefill_left > 0 || engine.chunk == 0 {
                engine.waiting.push_front(first);
            } else {
                let shared = first.subject.map_or(0, |_| SHARED_TOKENS);
                engine
                    .cached
                    .insert(first.subject, shared, first.tokens - shared);
                first.events_left -= 1;
                self.record_first_event(index, &engine, &first);
                engine.running.push(first);
            }
        }
        self.engines[index] = engine;
        self.begin_step(index);
    }

    /// Fetches the shared part of the first waiting prompt, if it is about to be prefilled and its
    /// source holds it; returns the time that it takes.
    fn try_fetch(&mut self, index: usize) -> Duration {
        let engine = &self.engines[index];
        let first = engine.waiting.front();
        let Some(first) = first.filter(|first| first.prefill_left == 0) else {
            return Duration::ZERO;
        };
        let (Some(subject), Some(source)) = (first.subject, first.source) else {
            return Duration::ZERO;
        };
        if engine.running.len() >= self.scenario.slots || engine.cached.contains(subject) {
            return Duration::ZERO;
        }
        self.outcome.fetches += 1;
        if !self.engines[source].cached.contains(subject) {
            self.outcome.missed_fetches += 1;
            return Duration::ZERO;
        }
        let cached = &mut self.engines[index].cached;
        cached.insert(Some(subject), SHARED_TOKENS, 0);
        TRANSFER.fetch_time(SHARED_TOKENS)
    }

    fn record_first_event(&mut self, index: usize, engine: &Engine, request: &Request) {
        let server = &self.records[index].incarnation;
        let running = engine.running.len() + engine.waiting.len() + 1;
        let load = ServerLoad {
            running: u32::try_from(running.min(self.scenario.slots)).unwrap(),
            waiting: u32::try_from(running.saturating_sub(self.scenario.slots)).unwrap(),
            slots: u32::try_from(self.scenario.slots).unwrap(),
        };
        if request.subject.is_some() {
            self.recent[request.gateway].record(&request.prefix, server, self.now);
        }
        let selector = &mut self.gateways[request.gateway];
        selector.record_load(server, load, self.now);
        let speeds = selector.engine_speeds_mut();
        speeds.record_event(server, request.run.unwrap(), self.now);
        if request.arrived_at > WARM_UP {
            let time = self.now.saturating_sub(request.arrived_at);
            match request.kind {
                Kind::Large if request.tokens >= LARGEST_TOKENS => self.outcome.largest.push(time),
                Kind::Large => self.outcome.large.push(time),
                Kind::Other => self.outcome.others.push(time),
            }
        }
    }

    fn end(&mut self, index: usize, request: &Request) {
        let server = &self.records[index].incarnation;
        let selector = &mut self.gateways[request.gateway];
        selector
            .engine_speeds_mut()
            .end_run(server, request.run.unwrap());
        let elapsed = self.now.saturating_sub(request.arrived_at);
        let end = amaranthscale_core::process::SendEnd::Answered;
        selector.record_end(server, end, elapsed, self.now);
        if request.kind == Kind::Other && request.arrived_at > WARM_UP {
            self.outcome.other_totals.push(elapsed);
        }
    }

    fn exchange(&mut self, gateway: usize) {
        self.schedule(self.now + EXCHANGE_INTERVAL, Event::Exchange(gateway));
        let collector: InstanceId = "collector".parse().unwrap();
        let speeds = self.gateways[gateway].engine_speeds_mut();
        let report = speeds.report_to(&collector, self.now);
        if self.scenario.choice != Choice::Speed {
            return;
        }
        let service: ServiceId = "engines".parse().unwrap();
        let invalid = self
            .collector
            .record(&report, |_| Some(service.clone()), self.now);
        assert!(invalid.is_empty(), "{invalid:?}");
        let update = self.collector.update_since(report.known.as_ref(), self.now);
        self.outcome.report_bytes += rmp_serde::to_vec(&report).unwrap().len();
        self.outcome.update_bytes += rmp_serde::to_vec(&update).unwrap().len();
        let invalid = speeds.apply(update, self.now);
        assert_eq!(invalid, 0);
    }

    fn slowness(&self, engine: usize) -> f64 {
        match self.scenario.slowdown {
            Some((slow, factor, from, until))
                if slow == engine && (from..until).contains(&self.now) =>
            {
                factor
            }
            _ => 1.0,
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    /// A random number between 0 and 1 (`SplitMix64`), without either.
    fn uniform(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let upper = u32::try_from((mixed ^ (mixed >> 31)) >> 32).unwrap();
        (f64::from(upper) + 0.5) / (f64::from(u32::MAX) + 1.0)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * self.uniform().ln()
    }

    fn below(&mut self, bound: u32) -> u32 {
        let number = Duration::from_secs_f64(self.uniform() * f64::from(bound));
        u32::try_from(number.as_secs()).unwrap().min(bound - 1)
    }
}

fn prompt<'a>(
    shared_prefix: &'a str,
    homes: &'a PromptHomes,
    tokens: u64,
    shared_tokens: u64,
) -> EnginePrompt<'a> {
    EnginePrompt {
        shared_prefix,
        homes,
        tokens,
        shared_tokens,
        acceptable_time: ACCEPTABLE_TIME,
        time_left: TIME_LEFT,
        max_event_gap: Some(Duration::from_millis(800)),
        fetch: Some(TRANSFER),
    }
}
