//! Report of an ended attempt.

use std::time::Duration;

use amaranthscale_core::id::{HostId, OrganisationId};
use amaranthscale_core::process::AttemptEnd;
use amaranthscale_core::wire::{StageCost, Stamp};

/// Report of an ended attempt, for routing and cost accounting.
#[derive(Debug, Clone)]
pub struct AttemptReport {
    /// Host of the sidecar.
    pub host: HostId,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Time from dispatch to end.
    pub elapsed: Duration,
    /// State of the sidecar when it answered, if it did.
    pub stamp: Option<Stamp>,
    /// Organisation that the work was for.
    pub organisation: OrganisationId,
    /// Stage that the attempt was made for.
    pub stage: String,
    /// Cost of the attempt.
    pub cost: StageCost,
}
