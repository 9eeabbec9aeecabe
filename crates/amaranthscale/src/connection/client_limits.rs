//! Limits on clients outside the system.

use std::time::Duration;

/// Fields of a head up to which nothing is counted, as in the HTTP library by default.
pub(crate) const USUAL_FIELDS: usize = 100;

/// Bounds on what the clients of a server may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Most open connections; beyond them, connections without a request are closed for new ones.
    pub max_connections: usize,
    /// Longest time from the first bytes of a request's head to its end.
    pub head_timeout: Duration,
    /// Most fields of a head. Of heads with more than a hundred, ten are taken a second.
    pub max_fields: usize,
}
