//! Requests to a platform's store and parsers of its answers, without decisions.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::{EvidenceId, RowVersion, ServerId, ServerIncarnation, StoreEra};
use amaranthscale_core::process::{
    Announcement, CrashEvidence, DrainChange, OriginRow, OriginSave, ServerDrain, ServerLimit,
    ServerRecord, ServiceVersion, ZoneChange,
};
use amaranthscale_core::version::Routing;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode};
use serde::{Deserialize, Serialize};

use super::version::AnnouncementUpdate;

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
    /// Name in log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Routing => "routing",
            Self::Servers => "servers",
            Self::Instances => "gateways",
        }
    }
}

/// Value of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredValue {
    /// The content.
    Content(Bytes),
    /// Content in a format that none of this system's writers produces, and the reason.
    Unreadable(String),
    /// The row was dropped.
    Dropped,
}

impl StoredValue {
    /// Decodes the content; `None` where the row was dropped.
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
    /// Value.
    pub value: StoredValue,
    /// Version of the row.
    pub version: RowVersion,
}

/// Rows as of one point in time.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRows {
    /// The rows.
    pub rows: Vec<StoreRow>,
    /// Version from which to continue.
    pub version: RowVersion,
    /// The store's monotonic clock.
    #[serde_as(as = "serde_with::DurationMicroSeconds<u64>")]
    #[serde(rename = "clock_us")]
    pub clock: Duration,
    /// Whether more rows follow.
    pub is_truncated: bool,
}

/// An answer of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// Rows, or a successful write.
    Rows(StoreRows),
    /// The requested history is no longer retained, or is not that of the store's era.
    HistoryGone(StoreEra),
    /// A precondition of a write did not hold.
    Conflict,
    /// The request was rejected.
    Refused(StatusCode),
}

/// Evidence of crashed servers by its id; `None` where it was removed.
pub type EvidenceUpdate = (EvidenceId, Option<CrashEvidence>);

/// The rate limit that a server reported; `None` where it was removed.
pub type LimitUpdate = (ServerIncarnation, Option<ServerLimit>);

/// A software version of a service, and whether it is published.
pub type VersionUpdate = (ServiceVersion, bool);

/// Requests to one platform's store and parsers of its answers.
#[derive(Debug, Clone)]
pub struct StoreApi {
    /// Address of the store.
    pub address: SocketAddr,
    /// Reads a table from the start or from after a key.
    pub read: fn(StoreTable, Option<&str>) -> Request<Full<Bytes>>,
    /// Long-polls for changes of a table after a version.
    pub watch: fn(StoreTable, RowVersion, Duration) -> Request<Full<Bytes>>,
    /// Most rows that one transaction writes or removes.
    pub max_transaction_rows: usize,
    /// Writes and removes gateways' announcements in one transaction.
    pub update_announcements: fn(&AnnouncementUpdate) -> Request<Full<Bytes>>,
    /// Publishes evidence of crashed servers.
    pub publish_evidence: fn(&EvidenceId, &CrashEvidence) -> Request<Full<Bytes>>,
    /// Publishes evidence unless its id is already in use.
    pub publish_evidence_if_absent: fn(&EvidenceId, &CrashEvidence) -> Request<Full<Bytes>>,
    /// Removes evidence.
    pub remove_evidence: fn(&EvidenceId) -> Request<Full<Bytes>>,
    /// Publishes a server's rate limit.
    pub publish_limit: fn(&ServerIncarnation, ServerLimit) -> Request<Full<Bytes>>,
    /// Removes a server's rate limit.
    pub remove_limit: fn(&ServerIncarnation) -> Request<Full<Bytes>>,
    /// Reads the rows of the published software versions of services, and perhaps others, from the
    /// start or from after a key.
    pub read_versions: fn(Option<&str>) -> Request<Full<Bytes>>,
    /// Publishes software versions of services, or withdraws them, in one transaction.
    pub update_versions: fn(&[ServiceVersion], bool) -> Request<Full<Bytes>>,
    /// Reads the saved origins of streams from the start or from after a key.
    pub read_origins: fn(Option<&str>) -> Request<Full<Bytes>>,
    /// Saves origins of streams and removes others, in one transaction.
    pub save_origins: fn(&OriginSave) -> Request<Full<Bytes>>,
    /// Removes rows of saved origins by their keys, in one transaction.
    pub remove_origins: fn(&[String]) -> Request<Full<Bytes>>,
    /// Drains a server.
    pub publish_drain: fn(&ServerId, &ServerDrain) -> Request<Full<Bytes>>,
    /// Ends the drain of a server.
    pub remove_drain: fn(&ServerId) -> Request<Full<Bytes>>,
    /// Parses the store's era from the head of an answer; the first one if it states none.
    pub parse_era: fn(&HeaderMap) -> StoreEra,
    /// Parses an answer of an era.
    pub parse_answer: fn(StatusCode, StoreEra, &[u8]) -> Result<StoreAnswer, String>,
    /// Parses the routing from its row; `None` if it is another row.
    pub parse_routing: fn(&StoreRow) -> Result<Option<Routing>, String>,
    /// Parses the state of an availability zone from a row of the routing table; `None` if it is
    /// another row.
    pub parse_zone_change: fn(&StoreRow) -> Result<Option<ZoneChange>, String>,
    /// Parses a backend server's row.
    pub parse_server: fn(&ServerId, &[u8]) -> Result<ServerRecord, String>,
    /// Parses evidence of crashed servers from a row of the gateways' table, without content where
    /// the row was dropped; `None` if it is another row.
    pub parse_evidence: fn(&StoreRow) -> Result<Option<EvidenceUpdate>, String>,
    /// Parses a server's rate limit from a row of the gateways' table; `None` if it is another row.
    pub parse_limit: fn(&StoreRow) -> Result<Option<LimitUpdate>, String>,
    /// Parses a published software version from a row of the gateways' table, and whether it is
    /// published; `None` if it is another row.
    pub parse_version: fn(&StoreRow) -> Result<Option<VersionUpdate>, String>,
    /// Parses a row of saved origins.
    pub parse_origins: fn(&[u8]) -> Result<OriginRow, String>,
    /// Parses the drain of a server from a row of the gateways' table; `None` if it is another row.
    pub parse_drain: fn(&StoreRow) -> Result<Option<DrainChange>, String>,
    /// Parses a gateway's announcement.
    pub parse_announcement: fn(&[u8]) -> Result<Announcement, String>,
}
