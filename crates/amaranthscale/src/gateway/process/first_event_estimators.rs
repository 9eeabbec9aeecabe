//! Estimates of the time that engines take to the first event, by service.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::ServiceId;
use amaranthscale_core::process::FirstEventEstimator;

/// Estimates from this gateway's own streams.
#[derive(Debug, Default)]
pub struct FirstEventEstimators {
    by_service: Mutex<BTreeMap<ServiceId, FirstEventEstimator>>,
}

impl FirstEventEstimators {
    /// Records the time from a send to the first event.
    pub fn record(&self, service: &ServiceId, prompt_tokens: u64, time: Duration) {
        let mut by_service = self.by_service();
        let times = by_service.entry(service.clone()).or_default();
        times.record(prompt_tokens, time);
    }

    /// Expected time for a prompt; `None` before enough samples were recorded.
    pub fn expected(&self, service: &ServiceId, prompt_tokens: u64) -> Option<Duration> {
        self.by_service().get(service)?.expected(prompt_tokens)
    }

    fn by_service(&self) -> MutexGuard<'_, BTreeMap<ServiceId, FirstEventEstimator>> {
        self.by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
