//! Whether and where runs are moved from slow and from full engines.
//!
//! Addressed loads: an engine that becomes several times slower while its streams are running, and
//! engines that are full while others of the service are not. All gateways see the same estimates,
//! and loads that are up to two seconds old, so each decision depends only on these and on the run:
//! which runs leave a full engine is decided by a hash of the call, and the fraction that leaves is
//! what the gap between the engines allows, less as the loads get older. However many gateways
//! decide, and however often while the reported load stays the same, they move the same runs.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::count::as_f64;
use super::super::rendezvous;
use super::super::server_list::ServerRecord;
use super::super::server_selector::{ServerLoad, ServerSelector};
use super::{ElectiveRun, MoveReason};
use crate::id::ServerIncarnation;
use crate::version::TransferSpec;

/// Multiple of the median time of an event from which an engine is slow.
const SLOW_FACTOR: u32 = 3;
/// Fraction of the longest pause between events above which an engine is slow.
const SLOW_GAP_FRACTION: f64 = 0.8;
/// Fraction of its slots above which an engine is full.
const FULL_FRACTION: f64 = 0.9;
/// Fraction of its slots below which an engine takes runs of full ones.
const SPARE_FRACTION: f64 = 0.5;
/// Fraction of its slots up to which it takes them; the rest is for new requests and for the
/// variance of the hash.
const MAX_FILLED_FRACTION: f64 = 0.7;
/// Difference between engines, as a fraction of their slots, at which no more runs are moved.
const MIN_DIFFERENCE: f64 = 0.25;
/// Fraction of its slots up to which an engine takes runs of slow ones.
const MAX_TARGET_FULLNESS: f64 = 0.75;
/// Time after which an engine that took runs of full ones may be a source itself. Another gateway may
/// have moved runs to it, which is known only by its load of then: 2 s after the last of these, which
/// ends half a second after an overview at the latest.
const TARGET_LIFETIME: Duration = Duration::from_millis(2_500);
/// Seeds of the hashes that choose the target, and the runs that are moved.
const TARGET_SEED: u64 = 5;
const RUN_SEED: u64 = 6;

#[derive(Debug, Clone)]
struct SpareEngine {
    engine: ServerIncarnation,
    slots: f64,
    fullness: f64,
    /// Requests that it can take.
    capacity: f64,
    freshness: f64,
}

/// What the engines of a service report and what is estimated of them, at one time.
#[derive(Debug, Clone, Default)]
pub struct EngineOverview {
    /// Median of their time between events.
    median_event_time: Option<Duration>,
    /// Requests at full engines.
    full_requests: f64,
    spare: Vec<SpareEngine>,
    /// When engines last had free capacity while others were full.
    targets: BTreeMap<ServerIncarnation, Duration>,
}

impl EngineOverview {
    /// An overview of a service's engines after an earlier one; `free` are those that take requests
    /// without a limit.
    #[must_use]
    pub fn new(
        previous: &Self,
        engines: &[&ServerRecord],
        free: &[&ServerRecord],
        server_selector: &ServerSelector,
        now: Duration,
    ) -> Self {
        let speeds = server_selector.engine_speeds();
        let event_time =
            |engine: &ServerRecord| speeds.published_event_time(&engine.incarnation, now);
        let mut event_times: Vec<_> = engines.iter().filter_map(|one| event_time(one)).collect();
        event_times.sort();
        let mut overview = Self {
            median_event_time: event_times.get(event_times.len() / 2).copied(),
            ..Self::default()
        };
        let load =
            |engine: &ServerRecord| server_selector.reported_engine_load(&engine.incarnation, now);
        for engine in engines {
            if let Some((load, _)) = load(engine).filter(|(load, _)| is_full(*load, engine)) {
                overview.full_requests += requests(load);
            }
        }
        for engine in free {
            let Some((load, freshness)) = load(engine).filter(|(load, _)| load.waiting == 0) else {
                continue;
            };
            let fullness = fullness(load, engine);
            let is_spare = fullness < SPARE_FRACTION
                && event_time(engine).is_some_and(|time| !overview.is_slow(time, None))
                && !is_avoided(engine, server_selector, now);
            if is_spare {
                overview.spare.push(SpareEngine {
                    engine: engine.incarnation.clone(),
                    slots: slots(engine),
                    fullness,
                    capacity: (MAX_FILLED_FRACTION - fullness) * slots(engine),
                    freshness,
                });
            }
        }
        let targets = previous.targets.iter();
        let recent = targets.filter(|(_, at)| now.saturating_sub(**at) < TARGET_LIFETIME);
        overview.targets = recent.map(|(engine, at)| (engine.clone(), *at)).collect();
        if overview.full_requests > 0.0 {
            let spare = overview.spare.iter();
            let targets = spare.map(|spare| (spare.engine.clone(), now));
            overview.targets.extend(targets.collect::<Vec<_>>());
        }
        overview
    }

    /// Why a run is to leave its engine, if it is.
    #[must_use]
    pub fn reason(
        &self,
        run: &ElectiveRun<'_>,
        server_selector: &ServerSelector,
        now: Duration,
    ) -> Option<MoveReason> {
        let engine = run.engine;
        let speeds = server_selector.engine_speeds();
        let event_time = speeds.published_event_time(&engine.incarnation, now)?;
        if !run.may_move() {
            return None;
        }
        if self.is_slow(event_time, run.max_event_gap) {
            return Some(MoveReason::Slow);
        }
        let load = server_selector.reported_engine_load(&engine.incarnation, now)?;
        self.relief(run, load).map(|_target| MoveReason::Uneven)
    }

    /// The engine to which a run is moved for a reason, among those that take requests without a
    /// limit; none if the move gains nothing.
    #[must_use]
    pub fn target<'a>(
        &self,
        run: &ElectiveRun<'_>,
        reason: MoveReason,
        free: &[&'a ServerRecord],
        transfer: &TransferSpec,
        server_selector: &ServerSelector,
        now: Duration,
    ) -> Option<&'a ServerRecord> {
        let speeds = server_selector.engine_speeds();
        let time_here = speeds.published_event_time(&run.engine.incarnation, now)?;
        let is_target = |target: &ServerRecord| {
            let Some(event_time) = speeds.published_event_time(&target.incarnation, now) else {
                return false;
            };
            let run_move = run.move_to(target, time_here);
            let is_gain = if reason == MoveReason::Slow {
                run_move.ends_earlier(transfer, run.time_at(event_time))
            } else {
                run_move.is_worthwhile(transfer)
                    && run.ends_in_time(&run_move, event_time, transfer)
            };
            is_gain
                && run.may_go_to(&target.incarnation)
                && target.address != run.engine.address
                && !self.is_slow(event_time, run.max_event_gap)
                && !is_avoided(target, server_selector, now)
        };
        if reason == MoveReason::Uneven {
            let load = server_selector.reported_engine_load(&run.engine.incarnation, now)?;
            let chosen = self.relief(run, load)?;
            let target = free.iter().find(|one| one.incarnation == *chosen)?;
            return is_target(target).then_some(*target);
        }
        let fullness = |server: &ServerRecord| server_selector.engine_fullness(server, now);
        let mut targets: Vec<_> = free
            .iter()
            .copied()
            .filter(|target| fullness(target) < MAX_TARGET_FULLNESS && is_target(target))
            .collect();
        if targets.iter().any(|target| target.zone == run.engine.zone) {
            targets.retain(|target| target.zone == run.engine.zone);
        }
        targets.sort_by(|a, b| fullness(a).total_cmp(&fullness(b)));
        targets.truncate(targets.len().div_ceil(2));
        let seed = rendezvous::score(TARGET_SEED, run.call);
        let score = |target: &&ServerRecord| rendezvous::score(seed, target.incarnation.id());
        targets.into_iter().max_by_key(score)
    }

    /// Whether an engine with a time of each event is slow for a run with a longest pause.
    fn is_slow(&self, event_time: Duration, max_event_gap: Option<Duration>) -> bool {
        let is_slow = |median: Duration| event_time >= median.saturating_mul(SLOW_FACTOR);
        self.median_event_time.is_some_and(is_slow)
            || max_event_gap.is_some_and(|gap| event_time > gap.mul_f64(SLOW_GAP_FRACTION))
    }

    /// The engine that relieves a full one of a run; none if the run stays.
    fn relief(
        &self,
        run: &ElectiveRun<'_>,
        (load, freshness): (ServerLoad, f64),
    ) -> Option<&ServerIncarnation> {
        let engine = run.engine;
        let is_target = self.targets.contains_key(&engine.incarnation);
        if !is_full(load, engine) || is_target || self.spare.is_empty() {
            return None;
        }
        // The same number for a run at all engines would move the same few runs again and again.
        let seed = rendezvous::score(RUN_SEED, engine.incarnation.id());
        let number = rendezvous::uniform(rendezvous::score(seed, run.call));
        let capacity: f64 = self.spare.iter().map(|spare| spare.capacity).sum();
        let of_capacity = capacity / self.full_requests.max(requests(load)).max(1.0);
        let of_gap = |target: &SpareEngine| {
            let gap = fullness(load, engine) - target.fullness - MIN_DIFFERENCE;
            gap / (1.0 / slots(engine) + 1.0 / target.slots) / requests(load).max(1.0)
        };
        let fraction = |target: &SpareEngine| {
            of_gap(target).min(of_capacity) * freshness.min(target.freshness)
        };
        // Most runs stay with any target, and the hash of all of them takes long.
        if !self.spare.iter().any(|spare| number < fraction(spare)) {
            return None;
        }
        let seed = rendezvous::score(TARGET_SEED, run.call);
        let weight = |spare: &SpareEngine| {
            rendezvous::weighted(rendezvous::score(seed, spare.engine.id()), spare.capacity)
        };
        let target = self
            .spare
            .iter()
            .filter(|spare| run.may_go_to(&spare.engine))
            .max_by(|a, b| weight(a).total_cmp(&weight(b)))?;
        (number < fraction(target)).then_some(&target.engine)
    }
}

/// Whether an engine gets no runs of others, whatever its load.
fn is_avoided(engine: &ServerRecord, server_selector: &ServerSelector, now: Duration) -> bool {
    server_selector.is_failing(&engine.incarnation, now)
        || server_selector.is_full_after_backoff(&engine.incarnation, now)
}

fn is_full(load: ServerLoad, engine: &ServerRecord) -> bool {
    load.waiting > 0 || fullness(load, engine) > FULL_FRACTION
}

fn fullness(load: ServerLoad, engine: &ServerRecord) -> f64 {
    requests(load) / slots(engine)
}

fn requests(load: ServerLoad) -> f64 {
    f64::from(load.running) + f64::from(load.waiting)
}

fn slots(engine: &ServerRecord) -> f64 {
    as_f64(engine.slots.max(1))
}
