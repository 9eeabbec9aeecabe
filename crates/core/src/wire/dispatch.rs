//! Message that sends an attempt from an entry to a sidecar.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

use super::ClaimTicket;
use crate::id::{AttemptId, Incarnation, OrganisationId, ServiceId, TreeVersion};
use crate::unit::{Class, SidecarClock, TimeBudget, Weight};

/// Requests a sidecar to run one attempt.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Attempt to run.
    pub attempt: AttemptId,
    /// Incarnation of the sidecar that the attempt is addressed to.
    pub incarnation: Incarnation,
    /// Time by the sidecar's clock after which the attempt may not start.
    pub expiry: SidecarClock,
    /// Time left for this attempt.
    pub budget: TimeBudget,
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Class of that organisation.
    pub class: Class,
    /// Weight of that organisation within its class.
    pub weight: Weight,
    /// Service that the entry expects the sidecar to serve.
    pub service: ServiceId,
    /// Path at the backend server, with its leading slash.
    pub path: String,
    /// Claim to make before the call, if the call is not repeatable.
    pub claim: Option<ClaimTicket>,
    /// Number of tokens that the caller has already received, for a resumed stream.
    pub resume_token: u64,
    /// Version of the settings tree that the entry uses.
    pub tree_version: TreeVersion,
    /// Body for the backend server.
    #[serde_as(as = "Bytes")]
    pub input: Vec<u8>,
}
