//! A limit on calls per second.

use std::time::Duration;

use tokio::time::Instant;

/// Length of a window; the limits are given per second.
const WINDOW: Duration = Duration::from_secs(1);

/// Fixed-window rate limiter with windows of one second.
#[derive(Debug)]
pub(crate) struct RateWindow {
    limit: u32,
    window_start: Instant,
    admitted_count: u32,
}

impl RateWindow {
    /// Admits up to `limit` calls per second.
    pub(crate) fn new(now: Instant, limit: u32) -> Self {
        Self {
            limit,
            window_start: now,
            admitted_count: 0,
        }
    }

    /// Changes the limit from the current window on.
    pub(crate) fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Counts one more call if the limit allows it now; whether it does.
    pub(crate) fn admit(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.admitted_count = 0;
        }
        let admitted = self.admitted_count < self.limit;
        self.admitted_count += u32::from(admitted);
        admitted
    }
}
