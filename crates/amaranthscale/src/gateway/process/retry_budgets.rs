//! This gateway's part of each service's retry budget.
//!
//! The budget's slack is divided by the number of gateways that were announced within the window:
//! one that is unresponsive or has just been withdrawn may have retried in it.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::ServiceId;
use amaranthscale_core::process::{
    RecentMaximum, RetryBudgetSettings, RetryUse, SharedRetryBudget,
};
use log::info;

use super::super::version::LogLimiter;

/// Retry budgets by service.
#[derive(Debug)]
pub struct RetryBudgets {
    settings: RetryBudgetSettings,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    by_service: BTreeMap<ServiceId, SharedRetryBudget>,
    gateways: RecentMaximum,
    refusal_lines: LogLimiter,
}

impl RetryBudgets {
    /// Creates budgets with the deployment's settings.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            state: Mutex::new(State {
                by_service: BTreeMap::new(),
                gateways: RecentMaximum::new(settings.window),
                refusal_lines: LogLimiter::new(),
            }),
        }
    }

    /// Records how many gateways are announced.
    pub fn record_gateways(&self, announced: usize, now: Duration) {
        self.state().gateways.record(announced, now);
    }

    /// Counts a request for a service.
    pub fn record_request(&self, service: &ServiceId, now: Duration) {
        let mut state = self.state();
        state.budget(service, self.settings).record_request(now);
    }

    /// Takes one retry if this gateway's part allows it, as one of the `announced` gateways.
    pub fn try_retry(&self, service: &ServiceId, announced: usize, now: Duration) -> bool {
        let mut state = self.state();
        let gateways = state.gateways.record(announced, now);
        let budget = state.budget(service, self.settings);
        let is_granted = budget.try_retry(gateways, now);
        if !is_granted {
            let usage = budget.usage();
            log_refusal(&mut state.refusal_lines, service, gateways, usage);
        }
        is_granted
    }

    /// Counts a retry that cannot be refused.
    pub fn record_retry(&self, service: &ServiceId, now: Duration) {
        let mut state = self.state();
        state.budget(service, self.settings).record_retry(now);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn budget(
        &mut self,
        service: &ServiceId,
        settings: RetryBudgetSettings,
    ) -> &mut SharedRetryBudget {
        self.by_service
            .entry(service.clone())
            .or_insert_with(|| SharedRetryBudget::new(settings))
    }
}

fn log_refusal(lines: &mut LogLimiter, service: &ServiceId, gateways: usize, usage: RetryUse) {
    if let Some(suppressed) = lines.allow() {
        info!(
            service:% = service, requests = usage.requests, retries = usage.retries,
            gateways, suppressed;
            "retries: budget used up"
        );
    }
}
