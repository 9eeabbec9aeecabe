//! The platform's table and host list, as transferred by its HTTP interface.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{HostId, RegionId, RowVersion, ServiceId, ZoneId};

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version, increased by one with every write; 0 means absent.
    pub version: RowVersion,
    /// Value; empty while absent.
    pub value: String,
}

/// The version that a row must have for a transaction to commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCheck {
    /// Key of the row.
    pub key: String,
    /// Required version.
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

/// Writes rows atomically, if all checks hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Required versions of rows.
    pub checks: Vec<RowCheck>,
    /// Rows to write.
    pub writes: Vec<RowWrite>,
}

/// Reply to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactionReply {
    /// All writes took effect; contains the rows as written.
    Committed(Vec<Row>),
    /// No write took effect; contains the checked rows as they are.
    Conflict(Vec<Row>),
}

/// State of a host in the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Accepts work.
    Live,
    /// Is shutting down and accepts no new work.
    Leaving,
}

/// One process of the system in the host list.
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
    /// Service of its backend server; `None` on an entry host.
    pub service: Option<ServiceId>,
    /// Whether the host accepts work.
    pub state: HostState,
}

/// The host list, which may lag behind the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Increased with every change.
    pub version: u64,
    /// Hosts, ordered by name.
    pub hosts: Vec<HostRecord>,
}
