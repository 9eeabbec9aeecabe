//! Settings of admission control.

/// How strictly an entry admits requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Percentage of the estimate that a paid budget must cover.
    pub paid_margin_percent: u64,
    /// Percentage of the estimate that a trial budget must cover.
    pub trial_margin_percent: u64,
    /// Shortest retry delay.
    pub min_retry_after_ms: u64,
    /// Longest retry delay, before jitter.
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
