//! A copy of one of the store's tables, and what neighbours are told from it.

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
use super::{FeedEvent, HandedAnswer, HandedRows, HeldRow, PackedRow, RowsQuestion};

/// Bytes of rows that are handed on at once, beside those that go packed: more goes in parts, so that
/// other answers come between.
const MOST_BYTES: usize = 64 * 1024;
/// Time after a question for which others count as asking here.
const ASKED_FOR: Duration = Duration::from_secs(12);
/// Replaced versions of long rows that are kept to tell the next ones by: neighbours are one or two
/// versions behind when changes follow each other quickly.
const MOST_REPLACED: usize = 2;
/// Packed rows that are kept: neighbours ask for the same one in the same moment.
const MOST_PACKED: usize = 4;
/// Long rows that a gateway names as held; the routing is one row.
const MOST_HELD: usize = 4;

/// A copy of one of the store's tables.
#[derive(Debug)]
pub(super) struct CopiedTable {
    state: Mutex<CopyState>,
    news: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct CopyState {
    copy: TableCopy<StoredValue>,
    /// Whether there is a copy, and the store was heard from since it was last lost.
    is_heard: bool,
    asked_at: Option<Instant>,
    /// Long rows that were replaced while neighbours asked, the oldest first.
    replaced: VecDeque<(String, RowVersion, Bytes)>,
    packed: VecDeque<(PackedName, Arc<OnceCell<Option<PackedRow>>>)>,
}

/// Names a packed row by what it is packed from.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PackedName {
    key: String,
    version: RowVersion,
    base: Option<RowVersion>,
}

impl CopiedTable {
    pub(super) fn new() -> Self {
        Self {
            state: Mutex::default(),
            news: watch::Sender::new(0),
        }
    }

    /// Takes what a feed told.
    pub(super) fn note(&self, event: &FeedEvent) {
        self.state().note(event);
        self.news.send_modify(|count| *count += 1);
    }

    /// Whether neighbours have asked lately.
    pub(super) fn is_asked(&self) -> bool {
        self.state().is_asked()
    }

    /// Long rows that are held here.
    pub(super) fn held(&self) -> Vec<HeldRow> {
        let state = self.state();
        let long = state.copy.rows().filter_map(|(key, value, version)| {
            let is_long =
                matches!(value, StoredValue::Content(content) if content.len() > LONG_ROW_BYTES);
            let key = key.to_owned();
            is_long.then_some(HeldRow { key, version })
        });
        long.take(MOST_HELD).collect()
    }

    /// Content of a row, if it is held here in that version.
    pub(super) fn content(&self, key: &str, version: RowVersion) -> Option<Bytes> {
        self.state().content(key, version)
    }

    /// What is newer than a neighbour knows, once there is something.
    pub(super) async fn news(&self, question: &RowsQuestion) -> HandedRows {
        let mut news = self.news.subscribe();
        loop {
            if let Some(answer) = self.state().answer(question) {
                return answer;
            }
            if news.changed().await.is_err() {
                return HandedRows::Lost;
            }
        }
    }

    /// Packs the long rows of an answer, by what the one who asked holds.
    pub(super) async fn pack(&self, mut told: HandedRows, held: &[HeldRow]) -> HandedAnswer {
        let mut packed = Vec::new();
        let rows = told.rows_mut().into_iter();
        for row in rows.flat_map(|rows| &mut rows.rows) {
            let StoredValue::Content(content) = &mut row.value else {
                continue;
            };
            if content.len() <= LONG_ROW_BYTES {
                continue;
            }
            let content = std::mem::take(content);
            let Some(row) = self.pack_row(&row.key, row.version, content, held).await else {
                return HandedAnswer {
                    told: HandedRows::TooLarge,
                    packed: Vec::new(),
                };
            };
            packed.push(row);
        }
        HandedAnswer { told, packed }
    }

    /// Packs one row beside the requests, once for all who hold the same version; none if it cannot be packed.
    async fn pack_row(
        &self,
        key: &str,
        version: RowVersion,
        content: Bytes,
        held: &[HeldRow],
    ) -> Option<PackedRow> {
        let (cell, base) = {
            let mut state = self.state();
            let base = held.iter().find(|held| held.key == key);
            let base =
                base.and_then(|held| Some((held.version, state.content(key, held.version)?)));
            let name = PackedName {
                key: key.to_owned(),
                version,
                base: base.as_ref().map(|(version, _)| *version),
            };
            (state.packed_cell(name), base)
        };
        let key = key.to_owned();
        let packing = || async move {
            let started = Instant::now();
            let packing = tokio::task::spawn_blocking(move || {
                let base = base.as_ref();
                let base = base.map(|(version, content)| (*version, content.as_ref()));
                PackedRow::pack(key, &content, base)
            });
            let packed = packing.await.map_err(io::Error::other).flatten();
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
        cell.get_or_init(packing).await.clone()
    }

    fn state(&self) -> MutexGuard<'_, CopyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CopyState {
    fn note(&mut self, event: &FeedEvent) {
        self.remember_replaced(event);
        match event {
            FeedEvent::All(rows) => {
                let kept = rows.rows.iter().filter_map(|row| {
                    let (key, value, version) = parts_of(row);
                    Some((key, value?, version))
                });
                self.copy.replace(kept, rows.version, rows.clock);
                self.is_heard = true;
            }
            FeedEvent::Changed(rows) => {
                let changed = rows.rows.iter().map(parts_of);
                self.copy.change(changed, rows.version, rows.clock);
                self.is_heard = true;
            }
            FeedEvent::Lost(_) => self.is_heard = false,
        }
    }

    /// Where a packed row stands, or will once someone has packed it.
    fn packed_cell(&mut self, name: PackedName) -> Arc<OnceCell<Option<PackedRow>>> {
        if let Some((_, cell)) = self.packed.iter().find(|(known, _)| *known == name) {
            return Arc::clone(cell);
        }
        let cell = Arc::default();
        self.packed.push_back((name, Arc::clone(&cell)));
        if self.packed.len() > MOST_PACKED {
            self.packed.pop_front();
        }
        cell
    }

    /// Keeps the content of long rows that neighbours hold and that an event replaces.
    fn remember_replaced(&mut self, event: &FeedEvent) {
        let (FeedEvent::All(rows) | FeedEvent::Changed(rows)) = event else {
            return;
        };
        if !self.is_asked() {
            self.replaced.clear();
            return;
        }
        for row in &rows.rows {
            let held = self.copy.row(&row.key);
            let Some((StoredValue::Content(content), version)) = held else {
                continue;
            };
            if version < row.version && content.len() > LONG_ROW_BYTES {
                let replaced = (row.key.clone(), version, content.clone());
                self.replaced.push_back(replaced);
            }
        }
        while self.replaced.len() > MOST_REPLACED {
            self.replaced.pop_front();
        }
    }

    fn is_asked(&self) -> bool {
        let asked_at = self.asked_at;
        asked_at.is_some_and(|asked_at| asked_at.elapsed() < ASKED_FOR)
    }

    fn content(&self, key: &str, version: RowVersion) -> Option<Bytes> {
        if let Some((StoredValue::Content(content), held)) = self.copy.row(key)
            && held == version
        {
            return Some(content.clone());
        }
        let mut replaced = self.replaced.iter();
        let found = replaced.find(|(known, held, _)| known == key && *held == version);
        found.map(|(_, _, content)| content.clone())
    }

    /// The answer to a question; none as long as there is nothing new to tell.
    fn answer(&mut self, question: &RowsQuestion) -> Option<HandedRows> {
        self.asked_at = Some(Instant::now());
        if !self.is_heard {
            return (!question.is_lost).then_some(HandedRows::Lost);
        }
        if self.copy.clock() <= question.clock {
            return None;
        }
        let (version, clock) = (self.copy.version(), self.copy.clock());
        Some(match self.copy.changes_since(question.after) {
            TableChanges::Full(rows) => {
                let rows = rows.into_iter();
                let rows = rows.map(|(key, value, version)| row(key, Some(value), version));
                let rows: Vec<_> = rows.collect();
                if bytes_of_all(&rows) > MOST_BYTES {
                    HandedRows::TooLarge
                } else {
                    HandedRows::All(as_of(rows, version, clock))
                }
            }
            TableChanges::Incremental(rows) => {
                let rows = rows.into_iter();
                let rows = rows.map(|(key, value, version)| row(key, value, version));
                let rows: Vec<_> = rows.collect();
                if bytes_of_all(&rows) > MOST_BYTES {
                    // What is known does not get newer by a part of the news.
                    first_part(rows, question.clock)
                } else {
                    HandedRows::Changed(as_of(rows, version, clock))
                }
            }
        })
    }
}

/// As many of the oldest rows as are handed on at once; rows of one version stay together.
fn first_part(mut rows: Vec<StoreRow>, clock: Duration) -> HandedRows {
    rows.sort_by_key(|row| row.version);
    let mut bytes = 0;
    let fitting = rows.iter().take_while(|row| {
        bytes += bytes_of(row);
        bytes <= MOST_BYTES
    });
    let mut fitting = fitting.count();
    let next = rows.get(fitting).map(|row| row.version);
    while fitting > 0 && next == Some(rows[fitting - 1].version) {
        fitting -= 1;
    }
    rows.truncate(fitting);
    match rows.last().map(|row| row.version) {
        Some(version) => HandedRows::Part(as_of(rows, version, clock)),
        None => HandedRows::TooLarge,
    }
}

const fn as_of(rows: Vec<StoreRow>, version: RowVersion, clock: Duration) -> StoreRows {
    StoreRows {
        rows,
        version,
        clock,
        is_truncated: false,
    }
}

fn bytes_of_all(rows: &[StoreRow]) -> usize {
    rows.iter().map(bytes_of).sum()
}

fn parts_of(row: &StoreRow) -> (String, Option<StoredValue>, RowVersion) {
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

/// Bytes of a row beside those that go packed.
fn bytes_of(row: &StoreRow) -> usize {
    let value = match &row.value {
        StoredValue::Content(content) if content.len() > LONG_ROW_BYTES => 0,
        StoredValue::Content(content) => content.len(),
        StoredValue::Unreadable(reason) => reason.len(),
        StoredValue::Dropped => 0,
    };
    row.key.len() + value
}
