//! Measures for how long results occupy storage.

use std::time::Duration;

/// Window over which the average is formed: some residence times.
const WINDOW: Duration = Duration::from_secs(3);
/// Bytes per second from which a measurement counts.
const MIN_BYTES_PER_S: f64 = 1.0;

/// Average residence time of a service's results: bytes that are stored over bytes per second, by
/// Little's law.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::process::batcher) struct Residence {
    average_bytes: f64,
    bytes_per_s: f64,
    at: Duration,
}

impl Residence {
    /// Adds results that begin to occupy storage.
    pub(in crate::process::batcher) fn add(&mut self, bytes: f64) {
        self.bytes_per_s += bytes / WINDOW.as_secs_f64();
    }

    /// Records the bytes that are stored now.
    pub(in crate::process::batcher) fn observe(&mut self, stored_bytes: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-elapsed / WINDOW.as_secs_f64()).exp();
        self.average_bytes = self.average_bytes * kept + stored_bytes * (1.0 - kept);
        self.bytes_per_s *= kept;
        self.at = now;
    }

    /// The average, if enough was stored in the last seconds.
    pub(in crate::process::batcher) fn average(&self) -> Option<Duration> {
        if self.bytes_per_s < MIN_BYTES_PER_S {
            return None;
        }
        Duration::try_from_secs_f64(self.average_bytes / self.bytes_per_s).ok()
    }
}
