//! Settings of the admission.

/// How strictly an entry admits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Part of the estimate that a paid budget must cover, in percent.
    pub paid_margin_percent: u64,
    /// Part of the estimate that a trial budget must cover, in percent.
    pub trial_margin_percent: u64,
    /// Shortest time to come back.
    pub min_retry_after_ms: u64,
    /// Longest time to come back, before jitter.
    pub max_retry_after_ms: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            paid_margin_percent: 100,
            trial_margin_percent: 125,
            min_retry_after_ms: 200,
            max_retry_after_ms: 20_000,
        }
    }
}
