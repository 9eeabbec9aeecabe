//! The two clocks of a gateway.
//!
//! Decisions about waiting use the runtime's steady clock, which tests pause and advance. The age
//! of what is known from the store is taken from a clock that also counts the time for which the
//! machine was suspended: by the steady one, a machine that wakes after minutes would trust a key
//! that was revoked meanwhile.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

pub(super) use crate::process::ms;

/// The clocks that a gateway decides by.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    awake_or_not: fn() -> Duration,
}

impl Clock {
    /// Clocks of a running machine.
    #[must_use]
    pub fn new(awake_or_not: fn() -> Duration) -> Self {
        Self {
            started: Instant::now(),
            awake_or_not,
        }
    }

    /// Steady time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Time that goes on while the machine is suspended.
    #[must_use]
    pub fn with_suspension(&self) -> Duration {
        (self.awake_or_not)()
    }
}

/// The machine's time since it was booted, suspension included.
#[must_use]
pub fn boot_time() -> Duration {
    // The clock exists on every kernel that these daemons run on.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
