//! An attempt on its way from an entry to a sidecar.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

use super::ClaimTicket;
use crate::id::{AttemptId, Incarnation, OrganisationId, ServiceId, TreeVersion};
use crate::unit::{Class, SidecarClock, TimeBudget, Weight};

/// Asks a sidecar to run one attempt.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Attempt to run.
    pub attempt: AttemptId,
    /// Life of the sidecar that the attempt is meant for.
    pub incarnation: Incarnation,
    /// Point on the sidecar's clock after which the attempt may not start.
    pub expiry: SidecarClock,
    /// Time left for this attempt.
    pub budget: TimeBudget,
    /// Organisation that the work is for.
    pub organisation: OrganisationId,
    /// Class of that organisation.
    pub class: Class,
    /// Share of that organisation within its class.
    pub weight: Weight,
    /// Service that the entry believes it calls.
    pub service: ServiceId,
    /// Path at the backend server, with its leading slash.
    pub path: String,
    /// Claim to take before the call, when it may not be repeated.
    pub claim: Option<ClaimTicket>,
    /// Tokens that the caller has already, for a resumed stream.
    pub resume_token: u64,
    /// Version of the settings tree that the entry decides by.
    pub tree_version: TreeVersion,
    /// Body for the backend server.
    #[serde_as(as = "Bytes")]
    pub input: Vec<u8>,
}
