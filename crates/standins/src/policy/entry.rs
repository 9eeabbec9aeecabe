//! Decision state of one entry.

use std::time::Duration;

use amaranthscale_core::id::{ServiceId, ZoneId};
use amaranthscale_core::process::{
    Admission, HedgePolicy, OrganisationLimits, RetryBudget, Router, RouterSettings,
};

use super::{Mechanism, Mechanisms};

/// Retries per hundred first tries.
const RETRY_PERCENT: u32 = 10;
/// Hedges per hundred first tries; 5 cost two points of waste for a gain of a tenth of a point.
const HEDGE_PERCENT: u32 = 1;
/// Percentile of a service's times after which an attempt is hedged; 95 would hedge normal work.
const HEDGE_PERCENTILE: u8 = 99;

/// Decision state of one entry.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) router: Router,
    pub(super) admission: Admission,
    pub(super) limits: OrganisationLimits,
    pub(super) retries: RetryBudget,
    pub(super) hedges: RetryBudget,
    hedge_policies: Vec<(ServiceId, HedgePolicy)>,
}

impl Entry {
    pub(super) fn new(
        zone: ZoneId,
        services: impl IntoIterator<Item = ServiceId>,
        mechanisms: &Mechanisms,
        seed: u64,
    ) -> Self {
        let policy = |service| (service, HedgePolicy::new(HEDGE_PERCENTILE));
        Self {
            router: Router::new(router_settings(zone, mechanisms), seed),
            admission: Admission::new(seed),
            limits: OrganisationLimits::new(),
            retries: RetryBudget::new(RETRY_PERCENT),
            hedges: RetryBudget::new(HEDGE_PERCENT),
            hedge_policies: services.into_iter().map(policy).collect(),
        }
    }

    /// Time after which an attempt at a service is hedged.
    pub(super) fn hedge_delay(&self, service: usize) -> Option<Duration> {
        self.hedge_policies[service].1.delay()
    }

    /// Records the duration of a stage at a service.
    pub(super) fn record(&mut self, service: usize, elapsed: Duration) {
        self.hedge_policies[service].1.record(elapsed);
    }
}

fn router_settings(zone: ZoneId, mechanisms: &Mechanisms) -> RouterSettings {
    let has_two_choices = mechanisms.has(Mechanism::TwoChoices);
    let settings = RouterSettings::new(zone)
        .with_two_choices(has_two_choices)
        .with_ejection(mechanisms.has(Mechanism::Ejection));
    // Random routing ignores load, so it cannot decide when to spill either.
    if has_two_choices {
        settings
    } else {
        settings.with_spill_load(0.0)
    }
}
