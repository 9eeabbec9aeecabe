//! The ledger of attempts.

use super::SettingsText;

/// The ledger of attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Most attempts in the ledger.
    pub max_entries: usize,
    /// Time for which the outcome of a finished attempt can be fetched.
    pub keep_finished_ms: u64,
}

impl LedgerSettings {
    pub(super) fn read(text: &SettingsText<'_>) -> Self {
        Self {
            max_entries: text.get("ledger", "max_entries"),
            keep_finished_ms: text.get("ledger", "keep_finished_ms"),
        }
    }
}
