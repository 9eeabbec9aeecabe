//! Refusal of work that did not run.

use std::fmt;

use crate::ResultCode;

/// Why work was refused, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Result code.
    pub code: ResultCode,
    /// Time after which a retry makes sense.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// A refusal with a code and a retry delay.
    #[must_use]
    pub const fn new(code: ResultCode, retry_after_ms: u64) -> Self {
        Self {
            code,
            retry_after_ms,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; retry after {} ms", self.code, self.retry_after_ms)
    }
}
