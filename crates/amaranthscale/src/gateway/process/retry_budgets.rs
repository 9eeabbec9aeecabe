//! This gateway's part of each service's retry budget.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::ServiceId;
use amaranthscale_core::process::{RetryBudgetSettings, RetryUse, SharedRetryBudget};
use log::info;

use super::super::version::LogLimiter;

/// Retry budgets by service.
#[derive(Debug)]
pub struct RetryBudgets {
    settings: RetryBudgetSettings,
    by_service: Mutex<BTreeMap<ServiceId, SharedRetryBudget>>,
    refusal_lines: Mutex<LogLimiter>,
}

impl RetryBudgets {
    /// Creates budgets with the deployment's settings.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            by_service: Mutex::default(),
            refusal_lines: Mutex::new(LogLimiter::new()),
        }
    }

    /// Counts a request for a service.
    pub fn record_request(&self, service: &ServiceId, now: Duration) {
        self.with(service, |budget| budget.record_request(now));
    }

    /// Takes one retry if this gateway's part allows it; `live` gateways share the budget.
    pub fn try_retry(&self, service: &ServiceId, live: usize, now: Duration) -> bool {
        let (is_granted, usage) = self.with(service, |budget| {
            (budget.try_retry(live, now), budget.usage())
        });
        if !is_granted {
            self.log_refusal(service, live, usage);
        }
        is_granted
    }

    fn log_refusal(&self, service: &ServiceId, live: usize, usage: RetryUse) {
        let mut lines = self
            .refusal_lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(suppressed) = lines.allow() {
            info!(
                service:% = service, requests = usage.requests, retries = usage.retries,
                gateways = live, suppressed;
                "retries: budget used up"
            );
        }
    }

    fn with<T>(&self, service: &ServiceId, update: impl FnOnce(&mut SharedRetryBudget) -> T) -> T {
        let mut retry_budgets = self
            .by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let budget = retry_budgets
            .entry(service.clone())
            .or_insert_with(|| SharedRetryBudget::new(self.settings));
        update(budget)
    }
}
