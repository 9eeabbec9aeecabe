//! Limits on callers' requests to an entry.

use super::{SettingsError, SettingsText};

/// Limits on callers' requests to an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Largest headers of a request.
    pub max_header_bytes: usize,
    /// Most requests in flight.
    pub max_requests: usize,
    /// Time in which a request has to arrive whole.
    pub read_timeout_ms: u64,
    /// Deadline if neither caller nor tree sets one.
    pub default_deadline_ms: u64,
    /// Longest deadline that a caller may set.
    pub max_deadline_ms: u64,
}

impl LimitSettings {
    pub(super) fn read(text: &SettingsText<'_>) -> Result<Self, SettingsError> {
        text.check_at_most("limits", "default_deadline_ms", "max_deadline_ms")?;
        Ok(Self {
            max_body_bytes: text.get("limits", "max_body_bytes"),
            max_header_bytes: text.get("limits", "max_header_bytes"),
            max_requests: text.get("limits", "max_requests"),
            read_timeout_ms: text.get("limits", "read_timeout_ms"),
            default_deadline_ms: text.get("limits", "default_deadline_ms"),
            max_deadline_ms: text.get("limits", "max_deadline_ms"),
        })
    }
}
