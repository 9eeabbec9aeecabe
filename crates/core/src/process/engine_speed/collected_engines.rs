//! Estimates of all engines from their samples.

use std::collections::BTreeMap;
use std::time::Duration;

use super::decode_line::{DecodeLine, slope_us};
use super::engine_aggregate::EngineAggregate;
use super::engine_estimate::{EngineEstimate, rounded};
use super::speed_class::SpeedClass;
use super::{DecodeLoad, EngineSamples, InvalidSamples};
use crate::id::{ServerIncarnation, ServiceId};

/// Shortest time between two passes over all engines; with hundreds of gateways reports arrive more
/// often.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an engine must have another speed until its class changes. A change moves prefixes
/// to other engines, which prefill them again; meanwhile prompts leave a slowed engine by its cost.
const CLASS_DELAY: Duration = Duration::from_secs(8);
/// Ratio of the relative prefill speed to the relative decode speed up to which the latter counts
/// for both, and the slower one beyond it: times to first events include waiting for other prompts,
/// so they vary much more than times between events.
const MAX_DISAGREEMENT: f64 = 2.5;

#[derive(Debug, Clone)]
struct CollectedEngine {
    service: ServiceId,
    aggregate: EngineAggregate,
    class: SpeedClass,
    /// Since when its speed has been that of another class.
    differs_since: Option<Duration>,
    published: Option<EngineEstimate>,
    /// Number of the pass in which the estimate was published.
    changed_in: u64,
}

/// By engine of a service: time to prefill a token, time of events, and that by load.
#[derive(Debug, Default)]
struct ServiceSamples(Vec<f64>, Vec<f64>, Vec<DecodeLine>);

/// Medians of a service's engines.
#[derive(Debug, Clone, Copy)]
struct Medians {
    prefill_s_per_token: f64,
    event_us: Option<f64>,
    /// Additional time of an event for each running request, by the samples of all engines.
    slope_us: Option<f64>,
}

/// Samples and estimates of engines.
#[derive(Debug, Clone, Default)]
pub(super) struct CollectedEngines {
    engines: BTreeMap<ServerIncarnation, CollectedEngine>,
    refreshed_at: Option<Duration>,
    /// Number of the last pass that changed a published estimate.
    version: u64,
}

impl CollectedEngines {
    /// Adds samples of an engine, if its service is known.
    pub(super) fn record(
        &mut self,
        engine: &ServerIncarnation,
        samples: &EngineSamples,
        service: impl FnOnce() -> Option<ServiceId>,
        now: Duration,
    ) -> Result<(), InvalidSamples> {
        samples.check()?;
        if !self.engines.contains_key(engine) {
            // Engines that are not listed would take memory without bound.
            let Some(service) = service() else {
                return Ok(());
            };
            let collected = CollectedEngine::new(service);
            self.engines.insert(engine.clone(), collected);
        }
        if let Some(collected) = self.engines.get_mut(engine) {
            collected.aggregate.add(samples, now);
        }
        Ok(())
    }

    /// Updates the published estimates.
    pub(super) fn refresh(&mut self, now: Duration) {
        let is_recent = |at: Duration| now.saturating_sub(at) < REFRESH_INTERVAL;
        if self.refreshed_at.is_some_and(is_recent) {
            return;
        }
        self.refreshed_at = Some(now);
        for engine in self.engines.values_mut() {
            engine.aggregate.expire(now);
            engine.aggregate.forget_before_change(now);
        }
        let medians = self.medians();
        let next_version = self.version + 1;
        for engine in self.engines.values_mut() {
            let estimate = medians
                .get(&engine.service)
                .and_then(|medians| engine.estimate(medians, now));
            let is_changed = match (&estimate, &engine.published) {
                (Some(estimate), Some(published)) => estimate.differs(published),
                (estimate, published) => estimate.is_some() != published.is_some(),
            };
            if is_changed {
                engine.published = estimate;
                engine.changed_in = next_version;
                self.version = next_version;
            }
        }
    }

    pub(super) const fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn published(&self, engine: &ServerIncarnation) -> Option<EngineEstimate> {
        self.engines.get(engine)?.published
    }

    /// Estimates that changed after a version.
    pub(super) fn changed_after(
        &self,
        version: u64,
    ) -> impl Iterator<Item = (&ServerIncarnation, Option<EngineEstimate>)> {
        let engines = self.engines.iter();
        engines
            .filter(move |(_, engine)| engine.changed_in > version)
            .map(|(incarnation, engine)| (incarnation, engine.published))
    }

    pub(super) fn retain(&mut self, is_listed: impl Fn(&ServerIncarnation) -> bool) {
        self.engines.retain(|incarnation, _| is_listed(incarnation));
    }

    pub(super) fn len(&self) -> usize {
        self.engines.len()
    }

    fn medians(&self) -> BTreeMap<ServiceId, Medians> {
        let mut by_service: BTreeMap<&ServiceId, ServiceSamples> = BTreeMap::new();
        for engine in self.engines.values() {
            let ServiceSamples(prefills, events, lines) =
                by_service.entry(&engine.service).or_default();
            prefills.extend(engine.aggregate.prefill_s_per_token());
            events.extend(engine.aggregate.event_us());
            lines.push(engine.aggregate.decode_line());
        }
        let medians = by_service.into_iter().filter_map(
            |(service, ServiceSamples(prefills, events, lines))| {
                let medians = Medians {
                    prefill_s_per_token: median(prefills)?,
                    event_us: median(events),
                    slope_us: slope_us(lines.iter()),
                };
                Some((service.clone(), medians))
            },
        );
        medians.collect()
    }
}

impl CollectedEngine {
    const fn new(service: ServiceId) -> Self {
        Self {
            service,
            aggregate: EngineAggregate::new(),
            class: SpeedClass::USUAL,
            differs_since: None,
            published: None,
            changed_in: 0,
        }
    }

    fn estimate(&mut self, medians: &Medians, now: Duration) -> Option<EngineEstimate> {
        let relative_speed = self.relative_speed(medians)?;
        self.update_class(relative_speed, now);
        let event_us = self.aggregate.event_us();
        let recent = self.aggregate.recent_factor(now);
        let estimate = EngineEstimate {
            prefill_ns: rounded(medians.prefill_s_per_token / relative_speed * 1e9),
            event_us: event_us.map(rounded),
            decode: self.decode_load(medians),
            recent_percent: rounded(recent * 100.0),
            class: self.class,
        };
        estimate.is_valid().then_some(estimate)
    }

    /// The line through the engine's own samples, with the slope of its service where they are few.
    fn decode_load(&self, medians: &Medians) -> Option<DecodeLoad> {
        let line = self.aggregate.decode_line();
        let running = line.mean_running()?;
        let slope_us = line.slope_us().or(medians.slope_us)?;
        let whole = |number: f64| {
            let whole = Duration::try_from_secs_f64(number.round()).ok()?;
            u32::try_from(whole.as_secs()).ok()
        };
        let load = DecodeLoad {
            running: whole(running)?,
            slope_ns: whole(slope_us * 1e3)?,
        };
        load.is_valid().then_some(load)
    }

    fn relative_speed(&self, medians: &Medians) -> Option<f64> {
        let prefill = self.aggregate.prefill_s_per_token();
        let prefill = prefill.map(|prefill| medians.prefill_s_per_token / prefill);
        let event_us = self.aggregate.event_us();
        let decode = medians.event_us.zip(event_us);
        let decode = decode.map(|(median, event_us)| median / event_us);
        match (prefill, decode) {
            (Some(prefill), Some(decode)) => {
                let ratio = prefill / decode;
                let agree = (1.0 / MAX_DISAGREEMENT..MAX_DISAGREEMENT).contains(&ratio);
                Some(if agree { decode } else { decode.min(prefill) })
            }
            (prefill, decode) => prefill.or(decode),
        }
    }

    fn update_class(&mut self, relative_speed: f64, now: Duration) {
        let class = self.class.after(relative_speed);
        if class == self.class {
            self.differs_since = None;
            return;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.saturating_sub(since) >= CLASS_DELAY {
            self.class = class;
            self.differs_since = None;
        }
    }
}

/// The middle one of some numbers; none without any.
pub(in crate::process) fn median(mut numbers: Vec<f64>) -> Option<f64> {
    numbers.sort_by(f64::total_cmp);
    numbers.get(numbers.len() / 2).copied()
}
