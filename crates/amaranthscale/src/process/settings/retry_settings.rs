//! The budgets of retries and hedges.

use super::SettingsText;

/// The budgets of retries and hedges.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetrySettings {
    /// Retries for every hundred first attempts.
    pub retry_percent: u32,
    /// Hedges for every hundred first attempts.
    pub hedge_percent: u32,
}

impl RetrySettings {
    pub(super) fn read(text: &SettingsText<'_>) -> Self {
        Self {
            retry_percent: text.get("retry", "retry_percent"),
            hedge_percent: text.get("retry", "hedge_percent"),
        }
    }
}
