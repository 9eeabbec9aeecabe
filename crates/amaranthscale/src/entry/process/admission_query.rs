//! Input of the admission decision for a request.

use amaranthscale_core::id::{OrganisationId, ServiceId};
use amaranthscale_core::unit::{Class, RatePerSecond, TimeBudget};

/// Input of the admission decision for a request.
#[derive(Debug, Clone)]
pub struct AdmissionQuery {
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Class of that organisation.
    pub class: Class,
    /// Rate limit of that organisation over all entries.
    pub limit_per_second: RatePerSecond,
    /// Maximum number of open requests of that organisation.
    pub max_in_flight: u32,
    /// Services of all stages.
    pub services: Vec<ServiceId>,
    /// Time until the deadline.
    pub budget: TimeBudget,
}
