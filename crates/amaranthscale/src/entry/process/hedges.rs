//! When to send a second attempt beside a slow first one, by service.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthscale_core::id::ServiceId;
use amaranthscale_core::process::{HedgePolicy, RetryBudget};

/// Percentile of a service's times after which an attempt is hedged; 95 hedges usual work.
const HEDGE_PERCENTILE: u8 = 99;

/// The budget of hedges, and the usual times of each service.
#[derive(Debug)]
pub(super) struct Hedges {
    budget: RetryBudget,
    policies: BTreeMap<ServiceId, HedgePolicy>,
}

impl Hedges {
    /// Allows so many hedges for each hundred first tries.
    pub(super) const fn new(percent: u32) -> Self {
        Self {
            budget: RetryBudget::new(percent),
            policies: BTreeMap::new(),
        }
    }

    /// Counts a first try, which earns its share of a hedge.
    pub(super) fn first_try(&mut self) {
        self.budget.first_try();
    }

    /// Takes one hedge; false if none is left.
    pub(super) const fn try_hedge(&mut self) -> bool {
        self.budget.try_retry()
    }

    /// Takes in how long a complete attempt took.
    pub(super) fn record(&mut self, service: &ServiceId, elapsed: Duration) {
        if !self.policies.contains_key(service) {
            let policy = HedgePolicy::new(HEDGE_PERCENTILE);
            self.policies.insert(service.clone(), policy);
        }
        if let Some(policy) = self.policies.get_mut(service) {
            policy.record(elapsed);
        }
    }

    /// Time after which an attempt at a service is hedged; none while too little was measured.
    pub(super) fn delay(&self, service: &ServiceId) -> Option<Duration> {
        self.policies.get(service)?.delay()
    }
}
