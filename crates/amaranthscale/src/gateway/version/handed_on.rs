//! The store's tables, handed on from gateway to gateway.
//!
//! A hundred gateways that ask the store alike cost it a hundred calls for each change and each
//! second. One of each availability zone asks, and the others ask that one. What is handed on is
//! what the store said, row for row, with its versions and its clock, so that each gateway dates its
//! knowledge as if it had asked itself, however many hands it went through. Nothing is agreed on:
//! two that ask the store at once cost calls only, and who hears nothing new asks by itself.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::RowVersion;
use amaranthscale_core::version::{TableCopy, TableNews};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use super::super::{StoreRow, StoreRows, StoreTable, StoredValue};
use super::FeedEvent;

/// Bytes of rows that are handed on at once. A zone of twenty gateways gets so much over a link of
/// 20 Mbit/s in half a second; more goes in parts, so that other answers come between, and a single
/// row beyond it is read from the store by each gateway.
const MOST_BYTES: usize = 64 * 1024;
/// Longest wait of a question, beyond every pace: the one who asked has given up by then.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// Time after a question for which others count as asking here.
const ASKED_FOR: Duration = Duration::from_secs(12);

/// Asks a neighbour for what is new in a table.
#[serde_with::serde_as]
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct RowsQuestion {
    /// The table.
    pub table: StoreTable,
    /// Version up to which it is known.
    pub after: RowVersion,
    /// The store's clock as of which it is known.
    #[serde_as(as = "serde_with::DurationMicroSeconds<u64>")]
    #[serde(rename = "clock_us")]
    pub clock: Duration,
    /// Whether the one who asks did not reach the store itself, and so waits until another does.
    pub is_lost: bool,
}

/// What a neighbour answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandedRows {
    /// The whole table.
    All(StoreRows),
    /// Rows that changed since.
    Changed(StoreRows),
    /// The oldest of the rows that changed since, where all are too much at once; more is there.
    Part(StoreRows),
    /// Too much to hand on.
    TooLarge,
    /// It does not hear from the store itself.
    Lost,
}

/// Copies of the store's tables, for neighbours.
#[derive(Debug)]
pub struct HandedOn {
    routing: Copied,
    servers: Copied,
    instances: Copied,
}

#[derive(Debug)]
struct Copied {
    state: Mutex<CopyState>,
    news: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct CopyState {
    copy: TableCopy<StoredValue>,
    /// Whether there is a copy, and the store was heard from since it was last lost.
    is_heard: bool,
    asked_at: Option<Instant>,
}

impl Default for HandedOn {
    fn default() -> Self {
        Self {
            routing: Copied::new(),
            servers: Copied::new(),
            instances: Copied::new(),
        }
    }
}

impl HandedOn {
    /// Takes what a feed told.
    pub fn note(&self, table: StoreTable, event: &FeedEvent) {
        let copied = self.copied(table);
        copied.state().note(event);
        copied.news.send_modify(|count| *count += 1);
    }

    /// Whether neighbours have asked lately.
    #[must_use]
    pub fn is_asked(&self, table: StoreTable) -> bool {
        let asked_at = self.copied(table).state().asked_at;
        asked_at.is_some_and(|asked_at| asked_at.elapsed() < ASKED_FOR)
    }

    /// Answers a neighbour once there is something newer than it knows.
    pub async fn answer(&self, question: RowsQuestion) -> HandedRows {
        let copied = self.copied(question.table);
        let mut news = copied.news.subscribe();
        let answering = async {
            loop {
                if let Some(answer) = copied.state().answer(question) {
                    return answer;
                }
                if news.changed().await.is_err() {
                    return HandedRows::Lost;
                }
            }
        };
        let answered = tokio::time::timeout(LONGEST_WAIT, answering).await;
        answered.unwrap_or(HandedRows::Lost)
    }

    const fn copied(&self, table: StoreTable) -> &Copied {
        match table {
            StoreTable::Routing => &self.routing,
            StoreTable::Servers => &self.servers,
            StoreTable::Instances => &self.instances,
        }
    }
}

impl Copied {
    fn new() -> Self {
        Self {
            state: Mutex::default(),
            news: watch::Sender::new(0),
        }
    }

    fn state(&self) -> MutexGuard<'_, CopyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CopyState {
    fn note(&mut self, event: &FeedEvent) {
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

    /// The answer to a question; none as long as there is nothing new to tell.
    fn answer(&mut self, question: RowsQuestion) -> Option<HandedRows> {
        self.asked_at = Some(Instant::now());
        if !self.is_heard {
            return (!question.is_lost).then_some(HandedRows::Lost);
        }
        if self.copy.clock() <= question.clock {
            return None;
        }
        let (version, clock) = (self.copy.version(), self.copy.clock());
        Some(match self.copy.since(question.after) {
            TableNews::All(rows) => {
                let rows = rows.into_iter();
                let rows = rows.map(|(key, value, version)| row(key, Some(value), version));
                let rows: Vec<_> = rows.collect();
                if bytes_of_all(&rows) > MOST_BYTES {
                    HandedRows::TooLarge
                } else {
                    HandedRows::All(as_of(rows, version, clock))
                }
            }
            TableNews::Changed(rows) => {
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

const fn bytes_of(row: &StoreRow) -> usize {
    let value = match &row.value {
        StoredValue::Content(content) => content.len(),
        StoredValue::Unreadable(reason) => reason.len(),
        StoredValue::Dropped => 0,
    };
    row.key.len() + value
}
