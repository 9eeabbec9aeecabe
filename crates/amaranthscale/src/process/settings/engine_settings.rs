//! Capabilities of the backend server beyond calls.

use super::SettingsText;

/// Capabilities of the backend server beyond calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSettings {
    /// Whether it is an engine that accepts orders.
    pub has_orders: bool,
    /// Whether it refuses orders with an old fencing number.
    pub honours_fence: bool,
}

impl EngineSettings {
    pub(super) fn read(text: &SettingsText<'_>) -> Self {
        Self {
            has_orders: text.get("engine", "has_orders"),
            honours_fence: text.get("engine", "honours_fence"),
        }
    }
}
