//! What the admission of a request depends on.

use amaranthscale_core::id::{OrganisationId, ServiceId};
use amaranthscale_core::unit::{Class, RatePerSecond, TimeBudget};

/// What the admission of a request depends on.
#[derive(Debug, Clone)]
pub struct AdmissionQuestion {
    /// Organisation that asks.
    pub organisation: OrganisationId,
    /// Class of that organisation.
    pub class: Class,
    /// Limit of that organisation over all entries.
    pub limit_per_second: RatePerSecond,
    /// Most requests of that organisation at once.
    pub max_in_flight: u32,
    /// Services of the stages to come.
    pub services: Vec<ServiceId>,
    /// Time until the answer is due.
    pub budget: TimeBudget,
}
