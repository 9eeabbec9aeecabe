//! Limits on callers' requests.

use std::time::Duration;

/// Limits on the size of callers' requests and the time to receive them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// Maximum size of the headers.
    pub max_header_bytes: usize,
    /// Maximum size of a body.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request's headers.
    pub header_timeout: Duration,
    /// Maximum idle time between two requests on a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerBounds {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
