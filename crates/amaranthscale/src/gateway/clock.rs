//! The two clocks of a gateway.
//!
//! Waits and timeouts use the runtime's monotonic clock, which tests pause and advance. The age of
//! data from the store is measured by a clock that also counts time while the host was suspended:
//! by the monotonic clock, a host that resumes after minutes would still accept a key that was
//! revoked meanwhile.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

pub(super) use crate::process::ms;

/// The clocks of a gateway.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    boot_clock: fn() -> Duration,
}

impl Clock {
    /// Creates the clocks; `boot_clock` also counts time while the host is suspended.
    #[must_use]
    pub fn new(boot_clock: fn() -> Duration) -> Self {
        Self {
            started: Instant::now(),
            boot_clock,
        }
    }

    /// Monotonic time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Time of the clock that also counts while the host is suspended.
    #[must_use]
    pub fn now_with_suspend(&self) -> Duration {
        (self.boot_clock)()
    }
}

/// Time since the host was booted, including time while it was suspended.
#[must_use]
pub fn boot_time() -> Duration {
    // Every kernel that these daemons run on has this clock.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
