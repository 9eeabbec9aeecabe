//! Times of the stages before an engine, by route.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::RouteId;
use amaranthscale_core::process::StageTime;

/// Times from this gateway's own requests.
#[derive(Debug, Default)]
pub struct StageTimes {
    by_route: Mutex<BTreeMap<RouteId, StageTime>>,
}

impl StageTimes {
    /// Records the time from a request's arrival to its stage results.
    pub fn record(&self, route: &RouteId, time: Duration) {
        let mut by_route = self.by_route();
        by_route.entry(route.clone()).or_default().record(time);
    }

    /// Time within which most stage results are there; `None` without samples.
    pub fn upper(&self, route: &RouteId) -> Option<Duration> {
        self.by_route().get(route)?.upper()
    }

    fn by_route(&self) -> MutexGuard<'_, BTreeMap<RouteId, StageTime>> {
        self.by_route.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
