//! Readings of a sidecar's clock.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Reading of a sidecar's clock: milliseconds since its incarnation started.
///
/// Readings of different incarnations cannot be compared.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SidecarClock(u64);

impl SidecarClock {
    /// Wraps a reading.
    #[must_use]
    pub const fn from_millis(elapsed_ms: u64) -> Self {
        Self(elapsed_ms)
    }

    /// The reading in milliseconds.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The reading after some time has passed.
    #[must_use]
    pub fn plus(self, passed: Duration) -> Self {
        let passed_ms = u64::try_from(passed.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(passed_ms))
    }

    /// Time from this reading until a later one; zero if that one is earlier.
    #[must_use]
    pub const fn until(self, later: Self) -> Duration {
        Duration::from_millis(later.0.saturating_sub(self.0))
    }
}

impl fmt::Display for SidecarClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
