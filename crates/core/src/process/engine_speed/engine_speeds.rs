//! What a gateway knows of the engines' speed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::collected_engines::{CollectedEngines, median};
use super::engine_cost::EngineCost;
use super::engine_runs::EngineRuns;
use super::engine_samples::EngineSamples;
use super::{
    EngineEstimate, EngineRunId, SPEED_FORMAT, SPEED_LIFETIME, SpeedClass, SpeedReport,
    SpeedUpdate, SpeedVersion,
};
use crate::id::{InstanceId, ServerIncarnation, ServiceId};
use crate::process::count::as_f64;
use crate::process::server_list::ServerRecord;

/// Weight of each report in the fraction of time before the first event.
const SHARE_WEIGHT: f64 = 0.1;
/// Time after a change of its class for which an engine's former prefixes are looked for there.
const PREVIOUS_CLASS_LIFETIME: Duration = Duration::from_secs(40);
/// Weight of each new prompt in the usual size of prompts.
const SIZE_WEIGHT: f64 = 0.05;

#[derive(Debug, Clone, Default)]
struct KnownEngine {
    /// Its service, once this gateway has sent a prompt there.
    service: Option<ServiceId>,
    runs: EngineRuns,
    /// Reported samples of the last seconds, for another collector.
    reported: VecDeque<(Duration, EngineSamples)>,
    published: Option<EngineEstimate>,
    /// Class until the last change, and when that was.
    previous_class: Option<(SpeedClass, Duration)>,
}

/// A gateway's own samples of engines and the estimates that the collector has published.
#[derive(Debug, Clone, Default)]
pub struct EngineSpeeds {
    engines: BTreeMap<ServerIncarnation, KnownEngine>,
    /// Estimates from own samples, for the time without a collector.
    own: CollectedEngines,
    version: Option<SpeedVersion>,
    updated_at: Option<Duration>,
    next_run: u64,
    usual_tokens: f64,
    /// Fraction of the runs' time that is before their first event.
    prefill_share: f64,
}

impl EngineSpeeds {
    /// Records that a prompt was sent to an engine, which has to prefill some of its tokens and, by
    /// the engine's load, those of other gateways' prompts.
    pub fn begin_run(
        &mut self,
        engine: &ServerRecord,
        tokens: u64,
        others_ahead: u64,
        now: Duration,
    ) -> EngineRunId {
        self.next_run += 1;
        let run = EngineRunId(self.next_run);
        self.usual_tokens += SIZE_WEIGHT * (as_f64(tokens) - self.usual_tokens);
        let cost = self.cost(&engine.incarnation, now);
        let known = self.engines.entry(engine.incarnation.clone()).or_default();
        known.service = Some(engine.service.clone());
        let own_ahead = known.runs.backlog_tokens(cost, now);
        let own_ahead = Duration::try_from_secs_f64(own_ahead).map_or(0, |ahead| ahead.as_secs());
        let ahead = own_ahead.saturating_add(others_ahead);
        known.runs.begin(run, tokens, ahead, now);
        run
    }

    /// Records that an event of a run arrived.
    pub fn record_event(&mut self, engine: &ServerIncarnation, run: EngineRunId, now: Duration) {
        if let Some(known) = self.engines.get_mut(engine) {
            known.runs.record_event(run, now);
        }
    }

    /// Records how many requests an engine has reported as running, for the samples of its events.
    pub fn record_running(&mut self, engine: &ServerIncarnation, running: u32, now: Duration) {
        if let Some(known) = self.engines.get_mut(engine) {
            known.runs.record_running(running, now);
        }
    }

    /// Records that a run has ended.
    pub fn end_run(&mut self, engine: &ServerIncarnation, run: EngineRunId) {
        if let Some(known) = self.engines.get_mut(engine) {
            known.runs.end(run);
        }
    }

    /// Adds the time of overdue runs to the samples; returns whether there are samples that were not
    /// reported.
    pub fn collect_overdue(&mut self, now: Duration) -> bool {
        let costs = self.engines.keys().map(|engine| self.cost(engine, now));
        let costs: Vec<_> = costs.collect();
        let mut has_samples = false;
        for (engine, cost) in self.engines.values_mut().zip(costs) {
            if let Some(cost) = cost {
                engine.runs.count_overdue(cost, now);
            }
            has_samples |= !engine.runs.samples.is_empty();
        }
        has_samples
    }

    /// The collector whose estimates are in use.
    #[must_use]
    pub fn collector(&self) -> Option<&InstanceId> {
        self.version.as_ref().map(|version| &version.collector)
    }

    /// Records that a report was lost: the next one repeats the recent samples. The estimates stay
    /// in use as long as they are recent.
    pub fn forget_collector(&mut self) {
        self.version = None;
    }

    /// The samples since the last report, with those of overdue runs; all recent ones for a
    /// collector that is not the last one's.
    pub fn report_to(&mut self, collector: &InstanceId, now: Duration) -> SpeedReport {
        if !self.has_published(now) {
            self.forget_published();
        }
        let known = self
            .version
            .clone()
            .filter(|version| version.collector == *collector);
        self.collect_overdue(now);
        let (mut prefill_s, mut event_s) = (0.0, 0.0);
        let mut samples = Vec::new();
        for (incarnation, engine) in &mut self.engines {
            let new = std::mem::take(&mut engine.runs.samples);
            let times_s = new.times_s();
            prefill_s += times_s.0;
            event_s += times_s.1;
            let is_recent = |at: Duration| now.saturating_sub(at) <= SPEED_LIFETIME;
            engine.reported.retain(|(at, _)| is_recent(*at));
            if !new.is_empty() {
                let service = || engine.service.clone();
                // Own samples are in range, as they are bounded when they are taken.
                let _ = self.own.record(incarnation, &new, service, now);
                engine.reported.push_back((now, new.clone()));
            }
            let reported = if known.is_some() {
                new
            } else {
                merged(&engine.reported, now)
            };
            if !reported.is_empty() {
                samples.push((incarnation.clone(), reported));
            }
        }
        self.own.refresh(now);
        if prefill_s + event_s > 0.0 {
            let share = prefill_s / (prefill_s + event_s);
            self.prefill_share += SHARE_WEIGHT * (share - self.prefill_share);
        }
        SpeedReport {
            format: SPEED_FORMAT,
            known,
            samples,
        }
    }

    /// Applies a collector's update; returns the number of estimates that are invalid and not used.
    pub fn apply(&mut self, update: SpeedUpdate, now: Duration) -> usize {
        if update.is_complete {
            self.forget_published();
        }
        let mut invalid = 0;
        for (incarnation, estimate) in update.estimates {
            if estimate.is_some_and(|estimate| !estimate.is_valid()) {
                invalid += 1;
                continue;
            }
            let engine = self.engines.entry(incarnation).or_default();
            let class = |published: Option<EngineEstimate>| {
                published.map_or(SpeedClass::USUAL, |estimate| estimate.class)
            };
            let (before, after) = (class(engine.published), class(estimate));
            if before != after {
                engine.previous_class = Some((before, now));
            }
            engine.published = estimate;
        }
        self.version = Some(update.version);
        self.updated_at = Some(now);
        invalid
    }

    fn forget_published(&mut self) {
        self.version = None;
        for engine in self.engines.values_mut() {
            engine.published = None;
        }
    }

    /// Forgets engines that are gone and have no run of this gateway.
    pub fn retain(&mut self, is_known: impl Fn(&ServerIncarnation) -> bool) {
        self.own.retain(&is_known);
        self.engines
            .retain(|incarnation, engine| !engine.runs.is_empty() || is_known(incarnation));
    }

    /// Class of an engine; the usual one without an estimate.
    #[must_use]
    pub fn class(&self, engine: &ServerIncarnation) -> SpeedClass {
        let known = self.engines.get(engine);
        known
            .and_then(|known| known.published)
            .map_or(SpeedClass::USUAL, |estimate| estimate.class)
    }

    /// Class of an engine before it changed within the last seconds, else the current one.
    #[must_use]
    pub fn previous_class(&self, engine: &ServerIncarnation, now: Duration) -> SpeedClass {
        let previous = self
            .engines
            .get(engine)
            .and_then(|known| known.previous_class);
        let recent = previous.filter(|(_, at)| now.saturating_sub(*at) < PREVIOUS_CLASS_LIFETIME);
        recent.map_or_else(|| self.class(engine), |(class, _)| class)
    }

    /// The published estimate of an engine.
    #[must_use]
    pub fn published(&self, engine: &ServerIncarnation) -> Option<EngineEstimate> {
        self.engines.get(engine)?.published
    }

    /// Current time between events of an engine's streams by its published estimate; none without
    /// a recent one.
    #[must_use]
    pub fn published_event_time(
        &self,
        engine: &ServerIncarnation,
        now: Duration,
    ) -> Option<Duration> {
        let estimate = self.published(engine).filter(|_| self.has_published(now))?;
        Duration::try_from_secs_f64(estimate.cost().event_s?).ok()
    }

    /// Number of engines that are known.
    #[must_use]
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Costs of engines, the median for those without an estimate; none without any estimate.
    pub(crate) fn costs(
        &self,
        engines: &[&ServerRecord],
        now: Duration,
    ) -> Option<Vec<EngineCost>> {
        let known: Vec<_> = engines
            .iter()
            .map(|engine| {
                let cost = self.cost(&engine.incarnation, now)?;
                let Some(known) = self.engines.get(&engine.incarnation) else {
                    return Some(cost);
                };
                let overdue = known.runs.overdue_factor(cost, now);
                Some(EngineCost {
                    prefill_s_per_token: cost.prefill_s_per_token * overdue,
                    event_s: cost.event_s.map(|event_s| event_s * overdue),
                    ..cost
                })
            })
            .collect();
        let costs = known.iter().flatten();
        let prefills = costs.clone().map(|cost| cost.prefill_s_per_token);
        let usual = EngineCost {
            prefill_s_per_token: median(prefills.collect())?,
            event_s: median(costs.filter_map(|cost| cost.event_s).collect()),
            decode: None,
        };
        Some(
            known
                .into_iter()
                .map(|cost| cost.unwrap_or(usual))
                .collect(),
        )
    }

    /// Number of this gateway's runs at an engine.
    pub(crate) fn run_count(&self, engine: &ServerIncarnation) -> usize {
        let known = self.engines.get(engine);
        known.map_or(0, |known| known.runs.count())
    }

    /// Tokens of this gateway's prompts that an engine has not prefilled yet.
    pub(crate) fn backlog_tokens(
        &self,
        engine: &ServerIncarnation,
        cost: EngineCost,
        now: Duration,
    ) -> f64 {
        let known = self.engines.get(engine);
        known.map_or(0.0, |known| known.runs.backlog_tokens(Some(cost), now))
    }

    /// Usual tokens of a prompt that an engine has to prefill.
    pub(crate) const fn usual_tokens(&self) -> f64 {
        self.usual_tokens
    }

    /// Fraction of an engine's runs whose prompt is not prefilled yet.
    pub(crate) const fn prefill_share(&self) -> f64 {
        self.prefill_share
    }

    /// Cost by the published estimate or by own samples; none without either.
    fn cost(&self, engine: &ServerIncarnation, now: Duration) -> Option<EngineCost> {
        let estimate = if self.has_published(now) {
            self.published(engine)
        } else {
            self.own.published(engine)
        };
        estimate.map(|estimate| estimate.cost())
    }

    fn has_published(&self, now: Duration) -> bool {
        self.updated_at
            .is_some_and(|at| now.saturating_sub(at) <= SPEED_LIFETIME)
    }
}

/// Samples of several reports with their mean age.
fn merged(reports: &VecDeque<(Duration, EngineSamples)>, now: Duration) -> EngineSamples {
    let mut all = EngineSamples::default();
    let mut age = Duration::ZERO;
    for (taken_at, samples) in reports {
        all.add(samples);
        age += now.saturating_sub(*taken_at);
    }
    let count = u32::try_from(reports.len().max(1)).unwrap_or(u32::MAX);
    all.age_ms = u32::try_from((age / count).as_millis()).unwrap_or(u32::MAX);
    all
}
