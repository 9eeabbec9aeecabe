//! The decisions actor's part of `/status`.

use amaranthscale_core::id::{OrganisationId, ZoneId};
use amaranthscale_core::process::{AttainmentCounts, CostTotals};
use amaranthscale_core::unit::Class;
use serde::{Deserialize, Serialize};

/// The actor's part of `/status`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DecisionsStatus {
    /// Requests that have started and not yet ended.
    pub in_flight: u64,
    /// Version of the host list in use.
    pub host_list_version: u64,
    /// Hosts in the host list.
    pub hosts: usize,
    /// Availability zones and their backend servers.
    pub zones: Vec<ZoneLine>,
    /// Final answers by class and organisation.
    pub attainment: Vec<AttainmentLine>,
    /// Cost by organisation and stage.
    pub costs: Vec<CostLine>,
}

/// Status of an availability zone.
#[derive(Debug, Clone, Serialize)]
pub struct ZoneLine {
    /// The zone.
    pub zone: ZoneId,
    /// Backend servers in the host list.
    pub servers: usize,
    /// Time since this entry applied the evacuation; absent while the zone is in use.
    pub evacuated_ms: Option<u64>,
}

/// Final answers of one organisation.
#[derive(Debug, Clone, Serialize)]
pub struct AttainmentLine {
    /// Class of the organisation.
    pub class: Class,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Counts of its answers.
    #[serde(flatten)]
    pub counts: AttainmentCounts,
}

/// Cost of one organisation at one stage.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CostLine {
    /// Organisation that the work was for.
    pub organisation: OrganisationId,
    /// Stage that did the work.
    pub stage: String,
    /// Cost since the entry started.
    #[serde(flatten)]
    pub totals: CostTotals,
}
