//! Time left before a request's deadline.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Time left before a deadline.
///
/// Sent between hosts in place of a clock time, so that their clocks need not agree.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeBudget(#[serde_as(as = "DurationMilliSeconds<u64>")] Duration);

impl TimeBudget {
    /// No time left.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Wraps a duration.
    #[must_use]
    pub const fn new(left: Duration) -> Self {
        Self(left)
    }

    /// Wraps a number of milliseconds.
    #[must_use]
    pub const fn from_millis(left_ms: u64) -> Self {
        Self(Duration::from_millis(left_ms))
    }

    /// The time left.
    #[must_use]
    pub const fn duration(self) -> Duration {
        self.0
    }

    /// The time left after some time has passed.
    #[must_use]
    pub const fn after(self, passed: Duration) -> Self {
        Self(self.0.saturating_sub(passed))
    }

    /// Whether the deadline has passed.
    #[must_use]
    pub const fn is_exhausted(self) -> bool {
        self.0.is_zero()
    }
}

impl fmt::Display for TimeBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0.as_millis())
    }
}
