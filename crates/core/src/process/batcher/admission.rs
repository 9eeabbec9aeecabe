//! Admits jobs by a forecast of their whole path.
//!
//! Addresses loads above the servers' capacity: jobs that cannot be completed in time are refused
//! when they arrive, with a retry time, instead of waiting and taking server time in vain. The
//! forecast of a stage's wait is the time of the work that is ordered before it, by server time and
//! by result storage, plus the more urgent work that is expected to arrive meanwhile. Its error of
//! the last seconds corrects it. Admitted jobs that can no longer be reached, as after a loss of
//! servers, are displaced at once.

mod admission_plan;
mod arriving;
mod capacity;
mod decaying_rate;
mod displacement;
mod fair_delay;
mod fluid_wait;
mod forecast;
mod forecast_error;
mod probe;
mod probe_end;
mod probes;
mod refused_forecast;
mod residence;
mod service_error;
mod started_places;

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Batcher, JobSpec};
use crate::id::ServiceId;
use crate::process::Rank;

#[doc(inline)]
pub use probe_end::ProbeEnd;
#[doc(inline)]
pub use refused_forecast::{Bound, RefusedForecast};

pub(super) use admission_plan::{AdmissionPlan, StageForecast};
pub(super) use capacity::bytes_as_f64;
pub(super) use residence::Residence;
pub(super) use started_places::StartedPlaces;

use arriving::Arriving;
use capacity::Capacity;
use fair_delay::FairDelay;
use probe::Probe;
use probes::Probes;
use service_error::ServiceError;

/// State of admission by forecast.
#[derive(Debug, Default)]
pub(super) struct Admission {
    arriving: BTreeMap<ServiceId, Arriving>,
    errors: BTreeMap<ServiceId, ServiceError>,
    probes: BTreeMap<ServiceId, Probes>,
    fair_delays: BTreeMap<Rank, FairDelay>,
    /// Absolute errors of forecast waits that were not taken yet.
    wait_errors: Vec<Duration>,
    /// Ends of probes that were not taken yet.
    probe_ends: Vec<ProbeEnd>,
    /// Order classes that were examined for forecasts since the start.
    examined_classes: u64,
}

impl Admission {
    /// Ratio of actual to forecast waits of a rank, and the favourable end of the recent ones.
    fn ratios(&self, service: &ServiceId, rank: Rank, now: Duration) -> (f64, f64) {
        let error = self.errors.get(service).map(|error| error.of(rank));
        error.map_or((1.0, 1.0), |error| {
            (error.ratio(now), error.favourable_ratio(now))
        })
    }

    /// Records the wait of a stage that starts now.
    pub(super) fn record_start(
        &mut self,
        service: &ServiceId,
        rank: Rank,
        forecast: StageForecast,
        queued_at: Duration,
        now: Duration,
    ) {
        let waited_s = now.saturating_sub(queued_at).as_secs_f64();
        let forecast_wait_s = (forecast.wait_s - forecast.inputs_in_s).max(0.0);
        let error_s = (waited_s - forecast_wait_s).abs();
        self.wait_errors.push(Duration::from_secs_f64(error_s));
        if forecast_wait_s <= 0.0 && waited_s < forecast.margin_s {
            // The stage was forecast to wait for its inputs only, and did: no information about
            // its service.
            return;
        }
        let forecast_s = forecast.wait_s.max(forecast.inputs_in_s) + forecast.margin_s;
        let actual_s = forecast.inputs_in_s + waited_s + forecast.margin_s;
        let error = self.errors.entry(service.clone()).or_default();
        error.record(rank, actual_s, forecast_s, now);
    }

    /// Whether refused jobs have left probes at a service.
    pub(super) fn has_probes(&self, service: &ServiceId) -> bool {
        let probes = self.probes.get(service);
        probes.is_some_and(|probes| !probes.is_empty())
    }

    /// Ends the probes whose stages would start now.
    pub(super) fn end_probes(
        &mut self,
        service: &ServiceId,
        places: &StartedPlaces,
        now: Duration,
    ) {
        let Some(probes) = self.probes.get_mut(service) else {
            return;
        };
        let ended = probes.end(places, now);
        let error = self.errors.entry(service.clone()).or_default();
        for probe in ended {
            self.probe_ends
                .extend(probe.reported_end(service, true, now));
            error.record(probe.rank, probe.actual_s(now), probe.forecast_s(), now);
        }
    }

    /// Drops the probes that have reached the limits of their jobs.
    pub(super) fn expire_probes(&mut self, now: Duration) {
        for (service, probes) in &mut self.probes {
            for probe in probes.expire(now) {
                self.probe_ends
                    .extend(probe.reported_end(service, false, now));
                let error = self.errors.entry(service.clone()).or_default();
                error.record_at_least(probe.rank, probe.actual_s(now), probe.forecast_s(), now);
            }
        }
    }

    fn leave_probe(&mut self, service: &ServiceId, probe: Probe) {
        let probes = self.probes.entry(service.clone()).or_default();
        probes.add(probe);
    }
}

impl Batcher {
    /// Ratio of actual to forecast waits of each service; none without admission by forecast.
    pub fn forecast_ratios(&self, now: Duration) -> impl Iterator<Item = (&ServiceId, f64)> {
        let admission = self.admission.iter();
        let errors = admission.flat_map(|admission| &admission.errors);
        errors.map(move |(service, error)| (service, error.all().ratio(now)))
    }

    /// Ratio of actual to forecast waits of each service and rank with samples.
    pub fn forecast_ratios_by_rank(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&ServiceId, Rank, f64)> {
        let admission = self.admission.iter();
        let errors = admission.flat_map(|admission| &admission.errors);
        errors.flat_map(move |(service, error)| {
            let ranks = error.ranks();
            ranks.map(move |(rank, error)| (service, rank, error.ratio(now)))
        })
    }

    /// When refused jobs would have started, for those of which this was found out since the last
    /// call.
    pub fn take_probe_ends(&mut self) -> Vec<ProbeEnd> {
        let admission = self.admission.as_mut();
        admission.map_or_else(Vec::new, |admission| {
            std::mem::take(&mut admission.probe_ends)
        })
    }

    /// Absolute errors of the forecast waits of stages that have started since the last call.
    pub fn take_forecast_errors(&mut self) -> Vec<Duration> {
        let admission = self.admission.as_mut();
        admission.map_or_else(Vec::new, |admission| {
            std::mem::take(&mut admission.wait_errors)
        })
    }

    /// Order classes that were examined for forecasts since the start: a measure of the cost of
    /// admission.
    #[must_use]
    pub fn examined_classes(&self) -> u64 {
        let admission = self.admission.as_ref();
        admission.map_or(0, |admission| admission.examined_classes)
    }

    fn capacities(&self, job_spec: &JobSpec, now: Duration) -> Vec<Option<Capacity>> {
        let stages = job_spec.stages.iter();
        let capacity = |service| Capacity::of(self.pools.get(service)?, now);
        stages
            .map(|stage| {
                let is_needed = stage.pieces > 0;
                is_needed.then(|| capacity(&stage.service)).flatten()
            })
            .collect()
    }
}
