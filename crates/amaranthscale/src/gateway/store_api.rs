//! How a platform's store is called: names and formats, no decisions.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::{EvidenceId, InstanceId, RowVersion, ServerId, ServerIncarnation};
use amaranthscale_core::process::{
    Announcement, CrashEvidence, ServerLimit, ServerRecord, ZoneChange,
};
use amaranthscale_core::version::Routing;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};

/// Tables that a gateway follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreTable {
    /// The routing that operators publish.
    Routing,
    /// Backend servers.
    Servers,
    /// Gateways.
    Instances,
}

impl StoreTable {
    /// Name in lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Routing => "routing",
            Self::Servers => "servers",
            Self::Instances => "gateways",
        }
    }
}

/// What a row holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredValue {
    /// Its content.
    Content(Bytes),
    /// Content that the store cannot have taken from one of its own writers, and why.
    Unreadable(String),
    /// Nothing: the row was dropped.
    Dropped,
}

impl StoredValue {
    /// Reads the content by a function; none where the row was dropped.
    pub fn read<T>(
        &self,
        decode: impl FnOnce(&[u8]) -> Result<T, String>,
    ) -> Result<Option<T>, String> {
        match self {
            Self::Content(content) => decode(content).map(Some),
            Self::Unreadable(reason) => Err(reason.clone()),
            Self::Dropped => Ok(None),
        }
    }
}

/// One row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRow {
    /// Key within its table.
    pub key: String,
    /// What it holds.
    pub value: StoredValue,
    /// Version of the row.
    pub version: RowVersion,
}

/// Rows as of one moment.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRows {
    /// The rows.
    pub rows: Vec<StoreRow>,
    /// Version to go on from.
    pub version: RowVersion,
    /// The store's steady clock.
    #[serde_as(as = "serde_with::DurationMicroSeconds<u64>")]
    #[serde(rename = "clock_us")]
    pub clock: Duration,
    /// Whether more rows follow.
    pub is_truncated: bool,
}

/// An answer of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// Rows, or the end of a write.
    Rows(StoreRows),
    /// The history that was asked for is no longer kept.
    HistoryGone,
    /// A condition of a write did not hold.
    Conflict,
    /// Nothing was done.
    Refused(StatusCode),
}

/// Evidence of crashed servers by its name; none where it was removed.
pub type EvidenceUpdate = (EvidenceId, Option<CrashEvidence>);

/// The limit that a server has named; none where the word was removed.
pub type LimitUpdate = (ServerIncarnation, Option<ServerLimit>);

/// How one platform's store is called.
#[derive(Debug, Clone)]
pub struct StoreApi {
    /// Where the store listens.
    pub address: SocketAddr,
    /// Reads a table, from after a key on.
    pub read: fn(StoreTable, Option<&str>) -> Request<Full<Bytes>>,
    /// Waits for changes of a table after a version.
    pub watch: fn(StoreTable, RowVersion, Duration) -> Request<Full<Bytes>>,
    /// Announces a gateway.
    pub announce: fn(&InstanceId, &Announcement) -> Request<Full<Bytes>>,
    /// Withdraws an announcement.
    pub withdraw: fn(&InstanceId) -> Request<Full<Bytes>>,
    /// Tells of crashed servers.
    pub publish_evidence: fn(&EvidenceId, &CrashEvidence) -> Request<Full<Bytes>>,
    /// Tells the same, if nothing is told under that name.
    pub publish_evidence_if_absent: fn(&EvidenceId, &CrashEvidence) -> Request<Full<Bytes>>,
    /// Removes what was told.
    pub remove_evidence: fn(&EvidenceId) -> Request<Full<Bytes>>,
    /// Tells of a server's limit.
    pub publish_limit: fn(&ServerIncarnation, ServerLimit) -> Request<Full<Bytes>>,
    /// Removes what was told of it.
    pub remove_limit: fn(&ServerIncarnation) -> Request<Full<Bytes>>,
    /// Reads an answer.
    pub parse_answer: fn(StatusCode, &[u8]) -> Result<StoreAnswer, String>,
    /// Reads the routing from its row; none if the row is another one.
    pub parse_routing: fn(&StoreRow) -> Result<Option<Routing>, String>,
    /// Reads what operators say of an availability zone from a row of the routing's table; none if
    /// the row is another one.
    pub parse_zone_change: fn(&StoreRow) -> Result<Option<ZoneChange>, String>,
    /// Reads a backend server from its row.
    pub parse_server: fn(&ServerId, &[u8]) -> Result<ServerRecord, String>,
    /// Reads what a gateway tells of crashed servers from a row of the gateways' table, and nothing of
    /// it where the row was dropped; none if the row is another one.
    pub parse_evidence: fn(&StoreRow) -> Result<Option<EvidenceUpdate>, String>,
    /// Reads what a gateway tells of a server's limit from a row of the gateways' table; none if the row
    /// is another one.
    pub parse_limit: fn(&StoreRow) -> Result<Option<LimitUpdate>, String>,
    /// Reads what a gateway announces from its row.
    pub parse_announcement: fn(&[u8]) -> Result<Announcement, String>,
}
