use std::time::Duration;

use super::{ProbeEnd, StageForecast};
use crate::id::{CallId, ServiceId};
use crate::process::Rank;

/// What a refused job would have waited for at one service.
///
/// Addresses forecasts that are too high: a job that is refused does not start, so nothing would
/// show that its service would have reached it in time.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    /// Position that the stage would have had in the order.
    pub(super) scheduled_start: Duration,
    pub(super) rank: Rank,
    pub(super) pieces: usize,
    /// Storage that each of its results would have occupied.
    pub(super) result_bytes: u64,
    /// The refused call, at the service for which it would have waited the longest.
    pub(super) call: Option<CallId>,
    /// Latest start that still meets the target.
    pub(super) latest_start: Duration,
    /// When its job was refused.
    pub(super) refused_at: Duration,
    /// When its inputs would have been complete.
    pub(super) inputs_at: Duration,
    /// When its job would have missed its target.
    pub(super) limit_at: Duration,
    pub(super) forecast: StageForecast,
}

impl Probe {
    /// Forecast time from the refusal to the start.
    pub(super) fn forecast_s(&self) -> f64 {
        self.forecast.wait_s.max(self.forecast.inputs_in_s) + self.forecast.margin_s
    }

    /// What is reported at its end; nothing except for the binding service of its job.
    pub(super) fn reported_end(
        &self,
        service: &ServiceId,
        has_started: bool,
        now: Duration,
    ) -> Option<ProbeEnd> {
        Some(ProbeEnd {
            call: self.call.clone()?,
            service: service.clone(),
            waited: now.saturating_sub(self.refused_at),
            limit: self.latest_start.saturating_sub(self.refused_at),
            has_started,
        })
    }

    /// Time from the refusal to a start at a time.
    pub(super) fn actual_s(&self, at: Duration) -> f64 {
        at.saturating_sub(self.refused_at).as_secs_f64() + self.forecast.margin_s
    }
}
