//! A refusal of work that did not run.

use std::fmt;

use crate::ResultCode;

/// Says why work was not run, and when to ask again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Numbered reason.
    pub code: ResultCode,
    /// Time after which asking again makes sense.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// Refuses with a reason and a time to come back.
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
