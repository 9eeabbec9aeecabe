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
mod refused_forecast;
mod residence;

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Batcher, JobSpec};
use crate::id::ServiceId;
use crate::process::Rank;

#[doc(inline)]
pub use refused_forecast::{Bound, RefusedForecast};

pub(super) use admission_plan::{AdmissionPlan, StageForecast};
pub(super) use capacity::bytes_as_f64;
pub(super) use residence::Residence;

use arriving::Arriving;
use capacity::Capacity;
use fair_delay::FairDelay;
use forecast_error::ForecastError;

/// State of admission by forecast.
#[derive(Debug, Default)]
pub(super) struct Admission {
    arriving: BTreeMap<ServiceId, Arriving>,
    errors: BTreeMap<ServiceId, ForecastError>,
    fair_delays: BTreeMap<Rank, FairDelay>,
    /// Absolute errors of forecast waits that were not taken yet.
    wait_errors: Vec<Duration>,
    /// Order classes that were examined for forecasts since the start.
    examined_classes: u64,
}

impl Admission {
    fn ratio(&self, service: &ServiceId, now: Duration) -> f64 {
        let error = self.errors.get(service);
        error.map_or(1.0, |error| error.ratio(now))
    }

    /// Records the wait of a stage that starts now.
    pub(super) fn record_start(
        &mut self,
        service: &ServiceId,
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
        error.record(actual_s, forecast_s, now);
    }
}

impl Batcher {
    /// Ratio of actual to forecast waits of each service; none without admission by forecast.
    pub fn forecast_ratios(&self, now: Duration) -> impl Iterator<Item = (&ServiceId, f64)> {
        let admission = self.admission.iter();
        let errors = admission.flat_map(|admission| &admission.errors);
        errors.map(move |(service, error)| (service, error.ratio(now)))
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
