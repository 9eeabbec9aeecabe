//! Intervals at which a process synchronises the settings tree.

use super::SettingsText;

/// Intervals at which a process synchronises the settings tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TreeSettings {
    /// Time between two polls of the tree's version in the table.
    pub poll_ms: u64,
    /// Time between two comparisons with another process.
    pub exchange_ms: u64,
}

impl TreeSettings {
    pub(super) fn read(text: &SettingsText<'_>) -> Self {
        Self {
            poll_ms: text.get("tree", "poll_ms"),
            exchange_ms: text.get("tree", "exchange_ms"),
        }
    }
}
