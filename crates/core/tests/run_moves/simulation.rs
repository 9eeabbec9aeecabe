//! Simulated engines and gateways that move runs between them.
//!
//! All gateways see the same estimates and the same reported loads, which are as old as the scenario
//! says. A copy reserves a slot at its target from its beginning, as at a real engine.

use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::{CallId, ServerIncarnation};
use amaranthscale_core::process::{
    BegunMove, ElectiveRun, EngineEstimate, EngineOverview, MoveId, MoveReason, MoveRegistry, Rank,
    SPEED_FORMAT, ServerLoad, ServerRecord, ServerSelector, SpeedClass, SpeedUpdate, SpeedVersion,
};
use amaranthscale_core::version::TransferSpec;
use quickcheck::{Arbitrary, Gen};

/// Time of a step.
const STEP: Duration = Duration::from_millis(10);
/// Interval at which a run is checked for a move.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which estimates are published and overviews are made.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(250);
/// Time of a copy, with the calls before and after it.
const COPY_TIME: Duration = Duration::from_millis(30);
const GATEWAYS: u64 = 20;
const SLOTS: usize = 48;
const SERVICE: &str = "pool";

/// What is simulated.
pub struct Scenario {
    /// Time of an event at each engine, at a time.
    pub event_ms: fn(engine: usize, now: Duration) -> u32,
    /// Requests at each engine at the beginning.
    pub initial: fn(engine: usize) -> usize,
    /// Requests that arrive at each engine in a second.
    pub arrivals_per_s: fn(engine: usize, now: Duration) -> f64,
    pub engines: usize,
    /// Time between two reports of an engine's load.
    pub report_interval: Duration,
    pub duration: Duration,
    pub moves: bool,
    pub seed: u64,
}

/// A move that was completed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedMove {
    pub at: Duration,
    pub call: CallId,
    pub from: usize,
    pub to: usize,
    pub reason: MoveReason,
    /// Requests at the target before it.
    pub at_target: usize,
}

/// What a simulation shows.
#[derive(Debug, Default)]
pub struct Outcome {
    pub completed: Vec<CompletedMove>,
    /// Moves that their targets did not take.
    pub rejected: usize,
    /// Time that each run took from its arrival.
    pub run_ms: Vec<u64>,
    /// Time that runs waited for a slot, in all.
    pub waited: Duration,
}

#[derive(Debug)]
struct Run {
    call: CallId,
    gateway: usize,
    engine: usize,
    rank: Rank,
    arrived_at: Duration,
    began_at: Option<Duration>,
    events: f64,
    events_left: f64,
    checked_at: Duration,
    left: Vec<ServerIncarnation>,
    moving: Option<Moving>,
}

#[derive(Debug)]
struct Moving {
    id: MoveId,
    to: usize,
    reason: MoveReason,
    ends_at: Duration,
}

#[derive(Debug, Default)]
struct SimulatedGateway {
    selector: ServerSelector,
    registry: MoveRegistry,
    overview: Arc<EngineOverview>,
}

pub struct Simulation {
    scenario: Scenario,
    engines: Vec<ServerRecord>,
    gateways: Vec<SimulatedGateway>,
    runs: Vec<Run>,
    random: Gen,
    due: Vec<f64>,
    calls: u64,
    now: Duration,
    outcome: Outcome,
}

pub fn incarnation(engine: usize) -> ServerIncarnation {
    format!("p{engine}").parse().unwrap()
}

pub fn record(engine: usize, slots: usize) -> ServerRecord {
    ServerRecord {
        incarnation: incarnation(engine),
        service: SERVICE.parse().unwrap(),
        address: format!("127.0.0.1:{}", 9_000 + engine).parse().unwrap(),
        zone: "east".parse().unwrap(),
        slots,
        is_leaving: false,
        cold_left: None,
        software_version: None,
    }
}

/// 18,432 bytes a token over 740,000 Mbit/s: about 0.2 ms for 1,000 tokens.
pub const TRANSFER: TransferSpec = TransferSpec {
    bytes_per_token: 18_432,
    bytes_per_s: 92_500_000_000,
    can_back_up: false,
    can_move: true,
    copy_retention: Duration::from_secs(5),
};

/// An update with the time of an event of each engine.
pub fn update(event_ms: impl Iterator<Item = u32>) -> SpeedUpdate {
    let estimates = event_ms.enumerate().map(|(engine, event_ms)| {
        let estimate = EngineEstimate {
            prefill_ns: 20_000,
            event_us: Some(event_ms * 1_000),
            recent_percent: 100,
            class: SpeedClass::USUAL,
            decode: None,
        };
        (incarnation(engine), Some(estimate))
    });
    SpeedUpdate {
        format: SPEED_FORMAT,
        version: SpeedVersion {
            collector: "g1".parse().unwrap(),
            number: 1,
        },
        is_complete: true,
        estimates: estimates.collect(),
    }
}

impl Simulation {
    pub fn run(scenario: Scenario) -> Outcome {
        let engines: Vec<_> = (0..scenario.engines)
            .map(|one| record(one, SLOTS))
            .collect();
        let mut simulation = Self {
            random: Gen::from_size_and_seed(64, scenario.seed),
            gateways: (0..GATEWAYS).map(|_| SimulatedGateway::default()).collect(),
            due: vec![0.0; scenario.engines],
            runs: Vec::new(),
            calls: 0,
            now: Duration::from_secs(100),
            outcome: Outcome::default(),
            engines,
            scenario,
        };
        for engine in 0..simulation.scenario.engines {
            for _ in 0..(simulation.scenario.initial)(engine) {
                simulation.arrive(engine);
            }
        }
        let end = simulation.now + simulation.scenario.duration;
        while simulation.now < end {
            simulation.step();
        }
        simulation.outcome
    }

    fn pick(&mut self, count: u64) -> u64 {
        u64::arbitrary(&mut self.random) % count
    }

    fn arrive(&mut self, engine: usize) {
        self.calls += 1;
        let gateway = usize::try_from(self.pick(GATEWAYS)).unwrap();
        let events = u32::try_from(20 + self.pick(160)).unwrap();
        let route = u8::try_from(self.pick(3)).unwrap();
        self.runs.push(Run {
            call: format!("c{}", self.calls).parse().unwrap(),
            gateway,
            engine,
            rank: Rank {
                organisation: 0,
                route,
            },
            arrived_at: self.now,
            began_at: None,
            events: 0.0,
            events_left: f64::from(events),
            checked_at: self.now,
            left: Vec::new(),
            moving: None,
        });
    }

    /// Time since the beginning.
    fn elapsed(&self) -> Duration {
        self.now.checked_sub(Duration::from_secs(100)).unwrap()
    }

    fn is_time(&self, interval: Duration) -> bool {
        self.elapsed()
            .as_millis()
            .is_multiple_of(interval.as_millis())
    }

    fn step(&mut self) {
        for engine in 0..self.scenario.engines {
            self.due[engine] +=
                (self.scenario.arrivals_per_s)(engine, self.elapsed()) * STEP.as_secs_f64();
            while self.due[engine] >= 1.0 {
                self.due[engine] -= 1.0;
                self.arrive(engine);
            }
        }
        self.work();
        if self.is_time(self.scenario.report_interval) {
            self.report();
        }
        if self.is_time(PUBLISH_INTERVAL) {
            self.publish();
        }
        if self.scenario.moves {
            self.end_moves();
            for index in 0..self.runs.len() {
                self.check(index);
            }
        }
        self.now += STEP;
    }

    /// Lets the engines work: the first requests have a slot, the others wait.
    fn work(&mut self) {
        let elapsed = self.elapsed();
        let mut running = vec![0; self.scenario.engines];
        for run in &mut self.runs {
            running[run.engine] += 1;
            if running[run.engine] > SLOTS {
                self.outcome.waited += STEP;
                continue;
            }
            let event_ms = f64::from((self.scenario.event_ms)(run.engine, elapsed));
            run.began_at.get_or_insert(self.now);
            run.events += 10.0 / event_ms;
            run.events_left -= 10.0 / event_ms;
        }
        let now = self.now;
        let (outcome, gateways) = (&mut self.outcome, &mut self.gateways);
        self.runs.retain(|run| {
            let is_over = run.events_left <= 0.0;
            if is_over {
                let took = now.checked_sub(run.arrived_at).unwrap();
                outcome.run_ms.push(took.as_millis().try_into().unwrap());
                if let Some(moving) = &run.moving {
                    gateways[run.gateway].registry.end(moving.id, now);
                }
            }
            !is_over
        });
    }

    /// Requests at an engine and copies that it takes.
    fn requests(&self, engine: usize) -> usize {
        let here = self.runs.iter().filter(|run| run.engine == engine).count();
        let moving = self.runs.iter().filter_map(|run| run.moving.as_ref());
        here + moving.filter(|moving| moving.to == engine).count()
    }

    fn report(&mut self) {
        for engine in 0..self.scenario.engines {
            let requests = self.requests(engine);
            let load = ServerLoad {
                running: u32::try_from(requests.min(SLOTS)).unwrap(),
                waiting: u32::try_from(requests.saturating_sub(SLOTS)).unwrap(),
                slots: u32::try_from(SLOTS).unwrap(),
            };
            for gateway in &mut self.gateways {
                let selector = &mut gateway.selector;
                selector.record_send(&incarnation(engine));
                selector.record_load(&incarnation(engine), load, self.now);
            }
        }
    }

    fn publish(&mut self) {
        // Samples are half a second old when all gateways have the estimate.
        let at = self.elapsed().saturating_sub(Duration::from_millis(500));
        let update =
            update((0..self.scenario.engines).map(|one| (self.scenario.event_ms)(one, at)));
        let engines: Vec<_> = self.engines.iter().collect();
        for gateway in &mut self.gateways {
            let speeds = gateway.selector.engine_speeds_mut();
            assert_eq!(speeds.apply(update.clone(), self.now), 0);
            let overview = EngineOverview::new(
                &gateway.overview,
                &engines,
                &engines,
                &gateway.selector,
                self.now,
            );
            gateway.overview = Arc::new(overview);
        }
    }

    fn end_moves(&mut self) {
        for index in 0..self.runs.len() {
            let run = &self.runs[index];
            let Some(moving) = run.moving.as_ref().filter(|one| one.ends_at <= self.now) else {
                continue;
            };
            let (id, to, reason) = (moving.id, moving.to, moving.reason);
            let at_target = self.requests(to) - 1;
            let run = &mut self.runs[index];
            self.outcome.completed.push(CompletedMove {
                at: self.now,
                call: run.call.clone(),
                from: run.engine,
                to,
                reason,
                at_target,
            });
            run.engine = to;
            run.moving = None;
            self.gateways[run.gateway].registry.end(id, self.now);
        }
    }

    /// Begins to move a run if there is a reason to.
    fn check(&mut self, index: usize) {
        let now = self.now;
        let run = &mut self.runs[index];
        let Some(began_at) = run.began_at.filter(|_| run.moving.is_none()) else {
            return;
        };
        if now < run.checked_at + CHECK_INTERVAL {
            return;
        }
        run.checked_at = now;
        let run = &self.runs[index];
        let tokens = |number: f64| Duration::from_secs_f64(number.max(0.0)).as_secs();
        let elective = ElectiveRun {
            call: &run.call,
            engine: &self.engines[run.engine],
            rank: run.rank,
            tokens: 6_000 + tokens(run.events),
            tokens_left: tokens(run.events_left),
            max_event_gap: Some(Duration::from_millis(800)),
            time_left: Duration::from_secs(30),
            age: now.checked_sub(began_at).unwrap(),
            left: &run.left,
        };
        let gateway = &mut self.gateways[run.gateway];
        let source = &elective.engine.incarnation;
        if !elective.may_move() || gateway.registry.has_received(source, now) {
            return;
        }
        let overview = &gateway.overview;
        let Some(reason) = overview.reason(&elective, &gateway.selector, now) else {
            return;
        };
        let free: Vec<_> = self
            .engines
            .iter()
            .filter(|one| gateway.registry.may_enter(&one.incarnation))
            .collect();
        let selector = &gateway.selector;
        let target = overview.target(&elective, reason, &free, &TRANSFER, selector, now);
        let Some(target) = target.cloned() else {
            return;
        };
        let order = elective.order(reason);
        if !gateway.registry.offer(source, &run.call, order, now) {
            return;
        }
        let begun = BegunMove {
            call: run.call.clone(),
            from: source.clone(),
            to: target.incarnation.clone(),
            reason,
            began_at: now,
        };
        let Some(id) = gateway.registry.try_begin(begun) else {
            return;
        };
        let to = self
            .engines
            .iter()
            .position(|one| one.incarnation == target.incarnation)
            .unwrap();
        let is_full = self.requests(to) >= SLOTS;
        let run = &mut self.runs[index];
        run.left.push(incarnation(run.engine));
        if is_full {
            self.outcome.rejected += 1;
            self.gateways[run.gateway].registry.end(id, now);
            return;
        }
        run.moving = Some(Moving {
            id,
            to,
            reason,
            ends_at: now + COPY_TIME,
        });
    }
}

impl Outcome {
    /// Moves that bring a run back to an engine that it left.
    pub fn returns(&self) -> usize {
        let is_return = |(index, one): (usize, &CompletedMove)| {
            let earlier = self.completed[..index].iter();
            let mut own = earlier.filter(|earlier| earlier.call == one.call);
            own.any(|earlier| earlier.from == one.to)
        };
        self.completed
            .iter()
            .enumerate()
            .filter(|one| is_return(*one))
            .count()
    }

    /// Engines that give up a run within a time after they received one.
    pub fn swings(&self, within: Duration) -> usize {
        let is_swing = |one: &&CompletedMove| {
            self.completed.iter().any(|earlier| {
                earlier.to == one.from && earlier.at < one.at && one.at < earlier.at + within
            })
        };
        self.completed.iter().filter(is_swing).count()
    }

    /// Largest number of runs that an engine received within a time.
    pub fn most_received(&self, within: Duration) -> usize {
        let received = self.completed.iter().enumerate().map(|(index, first)| {
            let later = self.completed[index..].iter();
            let window = later.filter(|one| one.to == first.to && one.at < first.at + within);
            window.count()
        });
        received.max().unwrap_or_default()
    }

    /// Most requests that an engine had when it received a run, with that one.
    pub fn fullest_target(&self) -> usize {
        let requests = self.completed.iter().map(|one| one.at_target + 1);
        requests.max().unwrap_or_default()
    }

    pub fn mean_run_ms(&self) -> u64 {
        let count = u64::try_from(self.run_ms.len().max(1)).unwrap();
        self.run_ms.iter().sum::<u64>() / count
    }
}
