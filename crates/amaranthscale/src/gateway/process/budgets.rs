//! This gateway's part of each service's repeats.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::ServiceId;
use amaranthscale_core::process::{RetryBudgetSettings, SharedRetryBudget};

/// Repeats by service.
#[derive(Debug)]
pub struct Budgets {
    terms: RetryBudgetSettings,
    by_service: Mutex<BTreeMap<ServiceId, SharedRetryBudget>>,
}

impl Budgets {
    /// Budgets under the deployment's terms.
    #[must_use]
    pub const fn new(terms: RetryBudgetSettings) -> Self {
        Self {
            terms,
            by_service: Mutex::new(BTreeMap::new()),
        }
    }

    /// Counts a request for a service.
    pub fn request(&self, service: &ServiceId, now: Duration) {
        self.with(service, |budget| budget.record_request(now));
    }

    /// Takes one repeat if it is left to one of `live` gateways.
    pub fn try_repeat(&self, service: &ServiceId, live: usize, now: Duration) -> bool {
        self.with(service, |budget| budget.try_retry(live, now))
    }

    fn with<T>(&self, service: &ServiceId, use_it: impl FnOnce(&mut SharedRetryBudget) -> T) -> T {
        let mut budgets = self
            .by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| SharedRetryBudget::new(self.terms));
        use_it(budget)
    }
}
