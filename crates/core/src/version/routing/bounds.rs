//! What a caller may send.

use std::time::Duration;

/// Bounds on what callers send and on how long they take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// Most bytes of headers.
    pub max_header_bytes: usize,
    /// Most bytes of a body.
    pub max_body_bytes: usize,
    /// Longest wait for a request's headers.
    pub header_timeout: Duration,
    /// Longest pause between two requests of a connection.
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
