//! An organisation of a deployment.

use amaranthscale_core::unit::{Class, RatePerSecond, Weight};

/// Class, share and demand of one organisation.
#[derive(Debug, Clone)]
pub struct OrganisationSpec {
    /// Name of the organisation.
    pub name: &'static str,
    /// Class of the organisation.
    pub class: Class,
    /// Share within its class.
    pub weight: Weight,
    /// Rate of requests to the first pipeline.
    pub rate: RatePerSecond,
    /// Rate of calls that must not be repeated.
    pub settle_rate: RatePerSecond,
    /// Limit over all entries.
    pub limit: RatePerSecond,
}
