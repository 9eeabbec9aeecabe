use std::time::Duration;

/// What a job was admitted by.
#[derive(Debug, Clone, PartialEq)]
pub(in crate::process::batcher) struct AdmissionPlan {
    /// Delay of its stages behind those of other jobs once it has started: by rank only, so that
    /// started work finishes before new work of its rank starts.
    pub(in crate::process::batcher) started_delay: Duration,
    /// Delay of its stages once most of its work was sent.
    pub(in crate::process::batcher) committed_delay: Duration,
    /// Time by which its results meet the target latency.
    pub(in crate::process::batcher) results_by: Duration,
    /// Whether an earlier owner admitted it, so that it is not displaced for its forecast.
    pub(in crate::process::batcher) is_protected: bool,
    /// By stage.
    pub(in crate::process::batcher) stages: Vec<StageForecast>,
}

/// Forecast of one stage at the job's arrival, not corrected by the errors of earlier ones.
#[expect(
    clippy::struct_field_names,
    reason = "seconds as numbers end in _s everywhere"
)]
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(in crate::process::batcher) struct StageForecast {
    /// Seconds until its service reaches it.
    pub(in crate::process::batcher) wait_s: f64,
    /// Seconds until its inputs are complete.
    pub(in crate::process::batcher) inputs_in_s: f64,
    /// Time by which a wait varies without a backlog: half a call.
    pub(in crate::process::batcher) margin_s: f64,
}
