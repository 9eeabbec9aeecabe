//! A copy of one of the store's tables, from which other gateways' requests for rows are answered.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::RowVersion;
use amaranthscale_core::version::{TableChanges, TableCopy};
use bytes::Bytes;
use log::{info, warn};
use tokio::sync::{OnceCell, watch};
use tokio::time::Instant;

use super::super::clock::ms;
use super::super::{StoreRow, StoreRows, StoredValue};
use super::packed_row::LONG_ROW_BYTES;
use super::table_relay::WHOLE_TABLE_KEY;
use super::{ArrivalNotice, FeedEvent, KnownRow, PackedRow, RelayAnswer, RelayedRows, RowsRequest};

/// Maximum bytes of rows in one answer, without packed rows; more is sent in parts, so that other
/// answers are not delayed.
const MAX_RELAY_BYTES: usize = 64 * 1024;
/// Time after a request for which other gateways count as requesting rows here.
const RECENT_REQUEST_WINDOW: Duration = Duration::from_secs(12);
/// Number of replaced versions of long rows that are retained to pack later versions against: the
/// other gateways are one or two versions behind when changes follow each other quickly.
const MAX_REPLACED: usize = 2;
/// Number of packed rows that are retained, as other gateways request the same one at the same
/// time.
const MAX_PACKED: usize = 4;
/// Maximum number of known long rows in a request; the routing is one row.
const MAX_KNOWN_ROWS: usize = 4;

/// A copy of one of the store's tables.
#[derive(Debug)]
pub(super) struct RelayedTable {
    state: Mutex<RelayState>,
    changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct RelayState {
    copy: TableCopy<StoredValue>,
    availability: Availability,
    /// Whether a long answer of the store has begun to arrive since the last event.
    is_arriving: bool,
    requested_at: Option<Instant>,
    /// Long rows that were replaced while other gateways requested rows, the oldest first.
    replaced: VecDeque<(String, RowVersion, Bytes)>,
    packed: VecDeque<(PackKey, Arc<OnceCell<Option<PackedRow>>>)>,
}

/// Whether there is a copy to relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Availability {
    /// The table has not been read yet.
    #[default]
    Starting,
    /// The store has answered since it was last unavailable.
    Available,
    /// The store did not answer the last call.
    Unavailable,
}

/// Identifies a packed row by its content and its base.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PackKey {
    key: String,
    version: RowVersion,
    base: Option<RowVersion>,
}

impl RelayedTable {
    pub(super) fn new() -> Self {
        Self {
            state: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// Applies a feed's event.
    pub(super) fn record(&self, event: &FeedEvent) {
        self.state().record(event);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Records that a long answer of the store has begun to arrive, until the next event.
    pub(super) fn mark_arriving(&self) {
        self.state().is_arriving = true;
        self.changes.send_modify(|count| *count += 1);
    }

    /// Whether other gateways have requested rows recently.
    pub(super) fn has_recent_requests(&self) -> bool {
        self.state().has_recent_requests()
    }

    /// Long rows in this copy.
    pub(super) fn known_rows(&self) -> Vec<KnownRow> {
        let state = self.state();
        let long = state.copy.rows().filter_map(|(key, value, version)| {
            let is_long =
                matches!(value, StoredValue::Content(content) if content.len() > LONG_ROW_BYTES);
            let key = key.to_owned();
            is_long.then_some(KnownRow { key, version })
        });
        long.take(MAX_KNOWN_ROWS).collect()
    }

    /// Content of a row, if this copy has that version.
    pub(super) fn content(&self, key: &str, version: RowVersion) -> Option<Bytes> {
        self.state().content(key, version)
    }

    /// Waits for rows newer than those that the requesting gateway has.
    pub(super) async fn wait_for_changes(&self, request: &RowsRequest) -> RelayedRows {
        let mut changes = self.changes.subscribe();
        loop {
            if let Some(answer) = self.state().answer(request) {
                return answer;
            }
            if changes.changed().await.is_err() {
                return RelayedRows::StoreUnavailable;
            }
        }
    }

    /// Packs the long rows of an answer against the versions that the requesting gateway has.
    pub(super) async fn pack(
        &self,
        mut relayed: RelayedRows,
        known_rows: &[KnownRow],
    ) -> RelayAnswer {
        if let RelayedRows::All(rows) = relayed {
            if total_bytes(&rows.rows) > MAX_RELAY_BYTES {
                return self.pack_table(rows).await;
            }
            relayed = RelayedRows::All(rows);
        }
        let mut packed = Vec::new();
        let rows = relayed.rows_mut().into_iter();
        for row in rows.flat_map(|rows| &mut rows.rows) {
            let StoredValue::Content(content) = &mut row.value else {
                continue;
            };
            if content.len() <= LONG_ROW_BYTES {
                continue;
            }
            let content = std::mem::take(content);
            let Some(row) = self
                .pack_row(&row.key, row.version, content, known_rows)
                .await
            else {
                return RelayAnswer {
                    relayed: RelayedRows::TooLarge,
                    packed: Vec::new(),
                };
            };
            packed.push(row);
        }
        RelayAnswer { relayed, packed }
    }

    /// Packs all rows as one on a blocking thread, once for all gateways that request the same
    /// version.
    async fn pack_table(&self, mut table: StoreRows) -> RelayAnswer {
        let rows = std::mem::take(&mut table.rows);
        let pack_key = PackKey {
            key: WHOLE_TABLE_KEY.to_owned(),
            version: table.version,
            base: None,
        };
        let slot = self.state().pack_slot(pack_key);
        let pack_once = || async move {
            let (started, row_count) = (Instant::now(), rows.len());
            let pack_task = tokio::task::spawn_blocking(move || {
                let content = rmp_serde::to_vec_named(&rows).map_err(io::Error::other)?;
                PackedRow::pack(WHOLE_TABLE_KEY, &content, None)
            });
            let packed = pack_task.await.map_err(io::Error::other).flatten();
            let packed = packed
                .inspect_err(|error| warn!(reason:% = error; "store: table not packed"))
                .ok()?;
            info!(
                rows = row_count, bytes = packed.content_bytes(),
                packed_bytes = packed.packed_bytes(), pack_ms = ms(started.elapsed());
                "store: table packed"
            );
            Some(packed)
        };
        match slot.get_or_init(pack_once).await.clone() {
            Some(packed) => RelayAnswer {
                relayed: RelayedRows::Packed(table),
                packed: vec![packed],
            },
            None => RelayAnswer {
                relayed: RelayedRows::TooLarge,
                packed: Vec::new(),
            },
        }
    }

    /// Packs a row on a blocking thread, once for all gateways with the same base; `None` if
    /// packing fails.
    async fn pack_row(
        &self,
        key: &str,
        version: RowVersion,
        content: Bytes,
        known_rows: &[KnownRow],
    ) -> Option<PackedRow> {
        let (slot, base) = {
            let mut state = self.state();
            let base = known_rows.iter().find(|known| known.key == key);
            let base =
                base.and_then(|known| Some((known.version, state.content(key, known.version)?)));
            let pack_key = PackKey {
                key: key.to_owned(),
                version,
                base: base.as_ref().map(|(version, _)| *version),
            };
            (state.pack_slot(pack_key), base)
        };
        let key = key.to_owned();
        let pack_once = || async move {
            let started = Instant::now();
            let pack_task = tokio::task::spawn_blocking(move || {
                let base = base.as_ref();
                let base = base.map(|(version, content)| (*version, content.as_ref()));
                PackedRow::pack(key, &content, base)
            });
            let packed = pack_task.await.map_err(io::Error::other).flatten();
            let packed = packed
                .inspect_err(|error| warn!(reason:% = error; "store: long row not packed"))
                .ok()?;
            let against = packed.base().map_or(0, RowVersion::get);
            info!(
                row = packed.key(), bytes = packed.content_bytes(),
                packed_bytes = packed.packed_bytes(), against, pack_ms = ms(started.elapsed());
                "store: long row packed"
            );
            Some(packed)
        };
        slot.get_or_init(pack_once).await.clone()
    }

    fn state(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RelayState {
    fn record(&mut self, event: &FeedEvent) {
        self.retain_replaced(event);
        self.is_arriving = false;
        match event {
            FeedEvent::Snapshot(rows) => {
                let present = rows.rows.iter().filter_map(|row| {
                    let (key, value, version) = to_table_row(row);
                    Some((key, value?, version))
                });
                self.copy.replace(present, rows.version, rows.clock);
                self.availability = Availability::Available;
            }
            FeedEvent::Changes(rows) => {
                let changed = rows.rows.iter().map(to_table_row);
                self.copy.change(changed, rows.version, rows.clock);
                self.availability = Availability::Available;
            }
            FeedEvent::Unavailable(_) => self.availability = Availability::Unavailable,
        }
    }

    /// The slot of a packed row, which the first request for it fills.
    fn pack_slot(&mut self, pack_key: PackKey) -> Arc<OnceCell<Option<PackedRow>>> {
        if let Some((_, slot)) = self.packed.iter().find(|(known, _)| *known == pack_key) {
            return Arc::clone(slot);
        }
        let slot = Arc::default();
        self.packed.push_back((pack_key, Arc::clone(&slot)));
        if self.packed.len() > MAX_PACKED {
            self.packed.pop_front();
        }
        slot
    }

    /// Retains the content of long rows that an event replaces and that other gateways have.
    fn retain_replaced(&mut self, event: &FeedEvent) {
        let (FeedEvent::Snapshot(rows) | FeedEvent::Changes(rows)) = event else {
            return;
        };
        if !self.has_recent_requests() {
            self.replaced.clear();
            return;
        }
        for row in &rows.rows {
            let replaced = self.copy.row(&row.key);
            let Some((StoredValue::Content(content), version)) = replaced else {
                continue;
            };
            if version < row.version && content.len() > LONG_ROW_BYTES {
                let replaced = (row.key.clone(), version, content.clone());
                self.replaced.push_back(replaced);
            }
        }
        while self.replaced.len() > MAX_REPLACED {
            self.replaced.pop_front();
        }
    }

    fn has_recent_requests(&self) -> bool {
        let requested_at = self.requested_at;
        requested_at.is_some_and(|requested_at| requested_at.elapsed() < RECENT_REQUEST_WINDOW)
    }

    fn content(&self, key: &str, version: RowVersion) -> Option<Bytes> {
        if let Some((StoredValue::Content(content), current)) = self.copy.row(key)
            && current == version
        {
            return Some(content.clone());
        }
        let mut replaced = self.replaced.iter();
        let found =
            replaced.find(|(row_key, row_version, _)| row_key == key && *row_version == version);
        found.map(|(_, _, content)| content.clone())
    }

    /// The answer to a request; `None` as long as there is nothing newer.
    fn answer(&mut self, request: &RowsRequest) -> Option<RelayedRows> {
        self.requested_at = Some(Instant::now());
        match self.availability {
            Availability::Available => {}
            // Both are starting; this one is about to read the table.
            Availability::Starting if request.waits_for_start => return None,
            Availability::Starting | Availability::Unavailable => {
                return (!request.is_store_unavailable).then_some(RelayedRows::StoreUnavailable);
            }
        }
        if self.copy.version().era() < request.after.era() {
            return None;
        }
        if self.copy.clock() <= request.clock {
            let is_told = self.is_arriving && request.arrival_notice == ArrivalNotice::Wanted;
            return is_told.then_some(RelayedRows::Arriving);
        }
        let (version, clock) = (self.copy.version(), self.copy.clock());
        Some(match self.copy.changes_since(request.after) {
            TableChanges::Full(rows) => {
                let rows = rows.into_iter();
                let rows = rows.map(|(key, value, version)| row(key, Some(value), version));
                let rows: Vec<_> = rows.collect();
                if total_bytes(&rows) > MAX_RELAY_BYTES && !request.takes_packed_table {
                    RelayedRows::TooLarge
                } else {
                    RelayedRows::All(rows_at(rows, version, clock))
                }
            }
            TableChanges::Incremental(rows) => {
                let rows = rows.into_iter();
                let rows = rows.map(|(key, value, version)| row(key, value, version));
                let rows: Vec<_> = rows.collect();
                if total_bytes(&rows) > MAX_RELAY_BYTES {
                    // A part does not make the requesting gateway's data newer, so it has the
                    // request's clock.
                    first_part(rows, request.clock)
                } else {
                    RelayedRows::Changed(rows_at(rows, version, clock))
                }
            }
        })
    }
}

/// As many of the oldest rows as fit into one answer; rows of one version stay together.
fn first_part(mut rows: Vec<StoreRow>, clock: Duration) -> RelayedRows {
    rows.sort_by_key(|row| row.version);
    let mut bytes = 0;
    let fitting = rows.iter().take_while(|row| {
        bytes += unpacked_bytes(row);
        bytes <= MAX_RELAY_BYTES
    });
    let mut fitting = fitting.count();
    let next = rows.get(fitting).map(|row| row.version);
    while fitting > 0 && next == Some(rows[fitting - 1].version) {
        fitting -= 1;
    }
    rows.truncate(fitting);
    match rows.last().map(|row| row.version) {
        Some(version) => RelayedRows::Part(rows_at(rows, version, clock)),
        None => RelayedRows::TooLarge,
    }
}

const fn rows_at(rows: Vec<StoreRow>, version: RowVersion, clock: Duration) -> StoreRows {
    StoreRows {
        rows,
        version,
        clock,
        is_truncated: false,
    }
}

fn total_bytes(rows: &[StoreRow]) -> usize {
    rows.iter().map(unpacked_bytes).sum()
}

fn to_table_row(row: &StoreRow) -> (String, Option<StoredValue>, RowVersion) {
    let value = (row.value != StoredValue::Dropped).then(|| row.value.clone());
    (row.key.clone(), value, row.version)
}

fn row(key: String, value: Option<StoredValue>, version: RowVersion) -> StoreRow {
    StoreRow {
        key,
        value: value.unwrap_or(StoredValue::Dropped),
        version,
    }
}

/// Bytes of a row, without content that is packed.
fn unpacked_bytes(row: &StoreRow) -> usize {
    let value = match &row.value {
        StoredValue::Content(content) if content.len() > LONG_ROW_BYTES => 0,
        StoredValue::Content(content) => content.len(),
        StoredValue::Unreadable(reason) => reason.len(),
        StoredValue::Dropped => 0,
    };
    row.key.len() + value
}
