//! Hedging: when a second attempt is sent in parallel with a slow one, by service.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthscale_core::id::ServiceId;
use amaranthscale_core::process::{HedgePolicy, RetryBudget};

/// Percentile of a service's attempt times after which a hedge is sent; 95 would hedge normal work.
const HEDGE_PERCENTILE: u8 = 99;

/// Hedge budget of the entry and attempt times of each service.
#[derive(Debug)]
pub(super) struct Hedges {
    budget: RetryBudget,
    policies: BTreeMap<ServiceId, HedgePolicy>,
}

impl Hedges {
    /// Creates a budget of hedges per hundred first attempts.
    pub(super) const fn new(percent: u32) -> Self {
        Self {
            budget: RetryBudget::new(percent),
            policies: BTreeMap::new(),
        }
    }

    /// Counts a first attempt, which adds to the budget.
    pub(super) fn first_try(&mut self) {
        self.budget.first_try();
    }

    /// Charges one hedge to the budget; false if the budget is empty.
    pub(super) const fn try_hedge(&mut self) -> bool {
        self.budget.try_retry()
    }

    /// Records the duration of a complete attempt.
    pub(super) fn record(&mut self, service: &ServiceId, elapsed: Duration) {
        if !self.policies.contains_key(service) {
            let policy = HedgePolicy::new(HEDGE_PERCENTILE);
            self.policies.insert(service.clone(), policy);
        }
        if let Some(policy) = self.policies.get_mut(service) {
            policy.record(elapsed);
        }
    }

    /// Delay after which an attempt is hedged; `None` until enough attempts were measured.
    pub(super) fn delay(&self, service: &ServiceId) -> Option<Duration> {
        self.policies.get(service)?.delay()
    }
}
