//! How long calls take at the backend server, by path.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthscale_core::unit::SidecarClock;

use super::smoothed::Smoothed;

/// Paths with a figure of their own; a backend server has a handful.
const MAX_PATHS: usize = 64;
/// The queue refuses what cannot end in time. Calls of one path differ in length, so only a
/// fraction of the usual time is held against an attempt.
const EXPECTED_DIVISOR: u32 = 2;

/// How long calls take at the backend server, by path.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    all: Smoothed,
    by_path: BTreeMap<String, Smoothed>,
}

impl ServiceTimes {
    pub(super) fn sample(&mut self, path: &str, took: Duration, now: SidecarClock) {
        self.all.sample(took, now);
        if let Some(smoothed) = self.by_path.get_mut(path) {
            smoothed.sample(took, now);
        } else if self.by_path.len() < MAX_PATHS {
            let mut first = Smoothed::default();
            first.sample(took, now);
            self.by_path.insert(path.to_owned(), first);
        }
    }

    /// The least that a call should be given.
    pub(super) fn expected(&self, path: &str, now: SidecarClock) -> Duration {
        let smoothed = self.by_path.get(path).unwrap_or(&self.all);
        smoothed.at(now) / EXPECTED_DIVISOR
    }

    pub(super) fn latest_ms(&self) -> u32 {
        self.all.latest_ms()
    }
}
