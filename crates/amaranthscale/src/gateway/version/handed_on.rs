//! The store's tables, handed on from gateway to gateway.
//!
//! A hundred gateways that ask the store alike cost it a hundred calls for each change and each
//! second. One of each availability zone asks, and the others ask that one. What is handed on is
//! what the store said, row for row, with its versions and its clock, so that each gateway dates its
//! knowledge as if it had asked itself, however many hands it went through. Long rows go packed.
//! Nothing is agreed on: two that ask the store at once cost calls only, and who hears nothing new
//! asks by itself.

use std::time::Duration;

use amaranthscale_core::id::RowVersion;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::super::{StoreRows, StoreTable, StoredValue};
use super::copied_table::CopiedTable;
use super::{FeedEvent, HeldRow, PackedRow, UnpackError};

/// Longest wait of a question, beyond every pace: the one who asked has given up by then.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Asks a neighbour for what is new in a table.
#[serde_with::serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
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
    /// Long rows that the one who asks holds, by which others may be told.
    pub held: Vec<HeldRow>,
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

impl HandedRows {
    /// The rows that are told, if any are.
    pub(super) const fn rows_mut(&mut self) -> Option<&mut StoreRows> {
        match self {
            Self::All(rows) | Self::Changed(rows) | Self::Part(rows) => Some(rows),
            Self::TooLarge | Self::Lost => None,
        }
    }
}

/// An answer on its way: what is told, and the content of long rows beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedAnswer {
    /// What is told; rows that are packed stand there without their content.
    pub told: HandedRows,
    /// Content of long rows.
    pub packed: Vec<PackedRow>,
}

impl HandedAnswer {
    /// Puts the long rows' content back, by what is held here.
    pub fn unpack(
        mut self,
        held: impl Fn(&str, RowVersion) -> Option<Bytes>,
    ) -> Result<HandedRows, UnpackError> {
        for packed in &self.packed {
            let base = packed.base().and_then(|base| held(packed.key(), base));
            let content = packed.unpack(base.as_deref())?;
            let rows = self.told.rows_mut().into_iter();
            let mut rows = rows.flat_map(|rows| &mut rows.rows);
            if let Some(row) = rows.find(|row| row.key == packed.key()) {
                row.value = StoredValue::Content(content);
            }
        }
        Ok(self.told)
    }
}

/// Copies of the store's tables, for neighbours.
#[derive(Debug)]
pub struct HandedOn {
    routing: CopiedTable,
    servers: CopiedTable,
    instances: CopiedTable,
}

impl Default for HandedOn {
    fn default() -> Self {
        Self {
            routing: CopiedTable::new(),
            servers: CopiedTable::new(),
            instances: CopiedTable::new(),
        }
    }
}

impl HandedOn {
    /// Takes what a feed told.
    pub fn note(&self, table: StoreTable, event: &FeedEvent) {
        self.copied(table).note(event);
    }

    /// Whether neighbours have asked lately.
    #[must_use]
    pub fn is_asked(&self, table: StoreTable) -> bool {
        self.copied(table).is_asked()
    }

    /// Long rows of a table that are held here.
    #[must_use]
    pub fn held(&self, table: StoreTable) -> Vec<HeldRow> {
        self.copied(table).held()
    }

    /// Content of a row, if it is held here in that version.
    #[must_use]
    pub fn content(&self, table: StoreTable, key: &str, version: RowVersion) -> Option<Bytes> {
        self.copied(table).content(key, version)
    }

    /// Answers a neighbour once there is something newer than it knows.
    pub async fn answer(&self, question: RowsQuestion) -> HandedAnswer {
        let copied = self.copied(question.table);
        let answered = tokio::time::timeout(LONGEST_WAIT, copied.news(&question)).await;
        let told = answered.unwrap_or(HandedRows::Lost);
        copied.pack(told, &question.held).await
    }

    const fn copied(&self, table: StoreTable) -> &CopiedTable {
        match table {
            StoreTable::Routing => &self.routing,
            StoreTable::Servers => &self.servers,
            StoreTable::Instances => &self.instances,
        }
    }
}
