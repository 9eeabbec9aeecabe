//! A limit of calls a second.

use std::time::Duration;

use tokio::time::Instant;

/// Length of a window; the limits are given per second.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts calls in windows of a second.
#[derive(Debug)]
pub(crate) struct RateWindow {
    limit: u32,
    opened: Instant,
    taken: u32,
}

impl RateWindow {
    /// Lets so many calls through each second.
    pub(crate) fn new(now: Instant, limit: u32) -> Self {
        Self {
            limit,
            opened: now,
            taken: 0,
        }
    }

    /// Changes the limit from the present window on.
    pub(crate) fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Whether one more call may pass now.
    pub(crate) fn admit(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.opened) >= WINDOW {
            self.opened = now;
            self.taken = 0;
        }
        let admitted = self.taken < self.limit;
        self.taken += u32::from(admitted);
        admitted
    }
}
