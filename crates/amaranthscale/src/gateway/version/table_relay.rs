//! Relays the store's tables from gateway to gateway.
//!
//! A hundred gateways that all read the store cost it a hundred calls for each change and each
//! second. So one gateway of each availability zone reads the store, and the others read from that
//! one. The store's rows are relayed unchanged, with their versions and the store's clock, so that
//! each gateway computes the same age of its data as if it had read the store, however many
//! gateways relayed it. Long rows are sent packed. Gateways do not coordinate: two that read the
//! store only cost extra calls, and a gateway that receives nothing new reads the store itself.

use std::io;
use std::time::Duration;

use amaranthscale_core::id::RowVersion;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::super::{StoreRows, StoreTable, StoredValue};
use super::relayed_table::RelayedTable;
use super::{ArrivalNotice, FeedEvent, KnownRow, PackedRow, UnpackError};

/// Maximum wait for changes, longer than any poll: the requesting gateway has given up by then.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Key of a packed row that contains a whole table.
pub(super) const WHOLE_TABLE_KEY: &str = "";

/// Requests a table's newer rows from another gateway.
#[serde_with::serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RowsRequest {
    /// The table.
    pub table: StoreTable,
    /// Version that the requesting gateway has.
    pub after: RowVersion,
    /// The store's clock as of that version.
    #[serde_as(as = "serde_with::DurationMicroSeconds<u64>")]
    #[serde(rename = "clock_us")]
    pub clock: Duration,
    /// Whether the requesting gateway cannot reach the store, and so waits until another gateway
    /// can.
    #[serde(rename = "is_lost")]
    pub is_store_unavailable: bool,
    /// Long rows that the requesting gateway has, against which later versions may be packed.
    #[serde(rename = "held")]
    pub known_rows: Vec<KnownRow>,
    /// Whether a whole table of many rows may be sent packed; earlier releases cannot read it.
    #[serde(default)]
    pub takes_packed_table: bool,
    /// Whether to wait while the answering gateway has not read the table yet, as when many start
    /// together.
    #[serde(default)]
    pub waits_for_start: bool,
    /// Whether to be told that newer rows have begun to arrive.
    #[serde(default)]
    pub arrival_notice: ArrivalNotice,
}

/// Rows in the answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayedRows {
    /// The whole table.
    All(StoreRows),
    /// Rows that changed since the requested version.
    Changed(StoreRows),
    /// The oldest of the rows that changed, where all are too large for one answer; more follow.
    Part(StoreRows),
    /// The whole table, with its rows packed as one; the rows here are empty.
    Packed(StoreRows),
    /// A long answer of the store has begun to arrive here, and may take long to be complete.
    Arriving,
    /// The rows are too large to relay.
    TooLarge,
    /// The answering gateway cannot reach the store.
    #[serde(rename = "Lost")]
    StoreUnavailable,
}

impl RelayedRows {
    /// The rows, if there are any.
    pub(super) const fn rows_mut(&mut self) -> Option<&mut StoreRows> {
        match self {
            Self::All(rows) | Self::Changed(rows) | Self::Part(rows) | Self::Packed(rows) => {
                Some(rows)
            }
            Self::Arriving | Self::TooLarge | Self::StoreUnavailable => None,
        }
    }
}

/// An answer as it is sent: the rows, and separately the packed content of long rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayAnswer {
    /// The rows; long rows are without content here.
    #[serde(rename = "told")]
    pub relayed: RelayedRows,
    /// Content of long rows.
    pub packed: Vec<PackedRow>,
}

impl RelayAnswer {
    /// Restores the content of long rows; `content_of` returns the content of known versions.
    pub fn unpack(
        mut self,
        content_of: impl Fn(&str, RowVersion) -> Option<Bytes>,
    ) -> Result<RelayedRows, UnpackError> {
        if let RelayedRows::Packed(rows) = self.relayed {
            return unpack_table(rows, &self.packed);
        }
        for packed in &self.packed {
            let base = packed
                .base()
                .and_then(|base| content_of(packed.key(), base));
            let content = packed.unpack(base.as_deref())?;
            let rows = self.relayed.rows_mut().into_iter();
            let mut rows = rows.flat_map(|rows| &mut rows.rows);
            if let Some(row) = rows.find(|row| row.key == packed.key()) {
                row.value = StoredValue::Content(content);
            }
        }
        Ok(self.relayed)
    }
}

fn unpack_table(mut rows: StoreRows, packed: &[PackedRow]) -> Result<RelayedRows, UnpackError> {
    let invalid = |cause: io::Error| UnpackError::Malformed(WHOLE_TABLE_KEY.to_owned(), cause);
    let packed = packed
        .first()
        .ok_or_else(|| invalid(io::ErrorKind::UnexpectedEof.into()))?;
    let content = packed.unpack(None)?;
    rows.rows =
        rmp_serde::from_slice(&content).map_err(|error| invalid(io::Error::other(error)))?;
    Ok(RelayedRows::All(rows))
}

/// Copies of the store's tables, relayed to other gateways.
#[derive(Debug)]
pub struct TableRelay {
    routing: RelayedTable,
    servers: RelayedTable,
    instances: RelayedTable,
}

impl Default for TableRelay {
    fn default() -> Self {
        Self {
            routing: RelayedTable::new(),
            servers: RelayedTable::new(),
            instances: RelayedTable::new(),
        }
    }
}

impl TableRelay {
    /// Applies a feed's event.
    pub fn record(&self, table: StoreTable, event: &FeedEvent) {
        self.table(table).record(event);
    }

    /// Records that a long answer of the store has begun to arrive, until the next event.
    pub fn mark_arriving(&self, table: StoreTable) {
        self.table(table).mark_arriving();
    }

    /// Whether other gateways have requested rows recently.
    #[must_use]
    pub fn has_recent_requests(&self, table: StoreTable) -> bool {
        self.table(table).has_recent_requests()
    }

    /// Long rows in the copy of a table.
    #[must_use]
    pub fn known_rows(&self, table: StoreTable) -> Vec<KnownRow> {
        self.table(table).known_rows()
    }

    /// Content of a row, if the copy has that version.
    #[must_use]
    pub fn content(&self, table: StoreTable, key: &str, version: RowVersion) -> Option<Bytes> {
        self.table(table).content(key, version)
    }

    /// Answers a request once there are newer rows.
    pub async fn answer(&self, request: RowsRequest) -> RelayAnswer {
        let table = self.table(request.table);
        let result = tokio::time::timeout(MAX_WAIT, table.wait_for_changes(&request)).await;
        let relayed = result.unwrap_or(RelayedRows::StoreUnavailable);
        table.pack(relayed, &request.known_rows).await
    }

    const fn table(&self, table: StoreTable) -> &RelayedTable {
        match table {
            StoreTable::Routing => &self.routing,
            StoreTable::Servers => &self.servers,
            StoreTable::Instances => &self.instances,
        }
    }
}
