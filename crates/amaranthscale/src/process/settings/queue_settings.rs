//! The queue in front of a backend server.

use super::{SettingsError, SettingsText};

/// The queue in front of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// Most concurrent attempts at the backend server.
    pub slots: u32,
    /// Most attempts that wait.
    pub capacity: usize,
    /// Slots that trial work leaves free.
    pub paid_reserve_slots: u32,
}

impl QueueSettings {
    pub(super) fn read(text: &SettingsText<'_>) -> Result<Self, SettingsError> {
        text.check_at_most("queue", "paid_reserve_slots", "slots")?;
        Ok(Self {
            slots: text.get("queue", "slots"),
            capacity: text.get("queue", "capacity"),
            paid_reserve_slots: text.get("queue", "paid_reserve_slots"),
        })
    }
}
