//! Organisations and their keys.

use std::fmt;

use crate::id::OrganisationId;

/// An organisation with its keys.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// Name of the organisation.
    pub organisation: OrganisationId,
    /// Keys that its callers may send.
    pub keys: Vec<String>,
    /// Priority of its requests, 0 first; compared before the route's.
    pub priority: Option<u8>,
}

impl fmt::Debug for KeyHolder {
    // Keys are secrets, so only their number is shown.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyHolder")
            .field("organisation", &self.organisation)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .finish()
    }
}
