//! How an attempt ended.

use std::time::Duration;

use amaranthscale_core::id::{HostId, OrganisationId};
use amaranthscale_core::process::AttemptEnd;
use amaranthscale_core::wire::{StageCost, Stamp};

/// How an attempt ended, for routing and the books.
#[derive(Debug, Clone)]
pub struct AttemptReport {
    /// Host of the sidecar.
    pub host: HostId,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Time from dispatch to end.
    pub elapsed: Duration,
    /// State of the sidecar at the end, if it answered.
    pub stamp: Option<Stamp>,
    /// Organisation that the work was for.
    pub organisation: OrganisationId,
    /// Stage that the attempt worked on.
    pub stage: String,
    /// What the attempt cost.
    pub cost: StageCost,
}
