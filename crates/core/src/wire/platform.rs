//! The platform's table and host list, as its HTTP interface carries them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{HostId, RegionId, RowVersion, ServiceId, ZoneId};

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version, which every write raises by one; 0 means absent.
    pub version: RowVersion,
    /// Value; empty while absent.
    pub value: String,
}

/// A row that must be at a version for a transaction to commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCheck {
    /// Key of the row.
    pub key: String,
    /// Version that it must have.
    pub version: RowVersion,
}

/// A row that a transaction writes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New value.
    pub value: String,
}

/// Writes rows together, if all checks hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Rows that must be at their versions.
    pub checks: Vec<RowCheck>,
    /// Rows to write.
    pub writes: Vec<RowWrite>,
}

/// Answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactionReply {
    /// All writes took effect; the rows as they now are.
    Committed(Vec<Row>),
    /// No write took effect; the checked rows as they are.
    Conflict(Vec<Row>),
}

/// What the host list says of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Takes work.
    Live,
    /// Is about to go; takes no new work.
    Leaving,
}

/// One process of the system as the host list knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Host of the process.
    pub host: HostId,
    /// Address at which the process listens for other processes.
    pub address: SocketAddr,
    /// Region of the host.
    pub region: RegionId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Service of the backend server beside it; none on an entry host.
    pub service: Option<ServiceId>,
    /// Whether the host takes work.
    pub state: HostState,
}

/// The host list, which lags.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Grows with every change.
    pub version: u64,
    /// Hosts in order of their names.
    pub hosts: Vec<HostRecord>,
}
