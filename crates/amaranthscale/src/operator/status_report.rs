//! How one entry fares.

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{HostId, OrganisationId, ServiceId, TreeVersion, ZoneId};
use amaranthscale_core::unit::Class;
use amaranthscale_core::wire::{HostState, LoadReport};
use serde::{Deserialize, Serialize};

/// State of one entry, and of the backend servers as it sees them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Host of the entry.
    pub host: HostId,
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Whether it takes requests.
    pub is_ready: bool,
    /// Version of the settings tree that it goes by.
    pub tree_version: TreeVersion,
    /// Requests that it holds.
    pub in_flight: u64,
    /// Organisations that it has served since it started.
    pub organisations: Vec<OrganisationStatus>,
    /// Backend servers that it knows.
    pub servers: Vec<ServerStatus>,
    /// Results since it started.
    pub results: Vec<ResultCount>,
}

/// Requests of one organisation at one entry since it started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationStatus {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Whether it pays.
    pub class: Class,
    /// Requests that are held.
    pub in_flight: u64,
    /// Requests that came.
    pub requests: u64,
    /// Requests answered wholly within their deadline.
    pub complete_in_time: u64,
}

/// One backend server as one entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Host of the backend server.
    pub host: HostId,
    /// Service of the backend server.
    pub service: ServiceId,
    /// Availability zone of the backend server.
    pub zone: ZoneId,
    /// Whether the host takes work.
    pub state: HostState,
    /// Whether the entry avoids it for a while.
    pub is_ejected: bool,
    /// Age of the load report; none if it never came.
    pub report_age_ms: Option<u64>,
    /// Last load report.
    pub load: LoadReport,
}

/// How often one result was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultCount {
    /// Numbered result.
    pub code: ResultCode,
    /// Requests that ended so.
    pub count: u64,
}

impl OrganisationStatus {
    /// Share of requests answered within their deadline, in percent; none without requests.
    #[must_use]
    pub fn attainment_percent(&self) -> Option<u64> {
        let hundredfold = self.complete_in_time.saturating_mul(100);
        hundredfold.checked_div(self.requests)
    }
}
