//! Versioned rows, changed by transactions.

use std::collections::BTreeMap;
use std::ops::Bound;

use amaranthscale_core::id::RowVersion;
use amaranthscale_core::wire::{Row, RowCheck, RowWrite, Transaction, TransactionReply};

/// Rows, ordered by key.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: BTreeMap<String, Row>,
}

impl Table {
    /// The row of a key; version 0 while absent.
    pub(crate) fn row(&self, key: &str) -> Row {
        self.rows.get(key).cloned().unwrap_or_else(|| Row {
            key: key.to_owned(),
            version: RowVersion::default(),
            value: String::new(),
        })
    }

    /// Rows whose keys begin with `prefix` and come after `after`, in order.
    pub(crate) fn rows(&self, prefix: &str, after: Option<&str>, limit: usize) -> Vec<Row> {
        let start = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        let rows = self.rows.range::<str, _>((start, Bound::Unbounded));
        rows.take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Writes all rows if all checks succeed, else none.
    pub(crate) fn apply(&mut self, transaction: &Transaction) -> TransactionReply {
        if transaction.checks.iter().all(|check| self.holds(check)) {
            let writes = transaction.writes.iter();
            TransactionReply::Committed(writes.map(|write| self.write(write)).collect())
        } else {
            let checks = transaction.checks.iter();
            TransactionReply::Conflict(checks.map(|check| self.row(&check.key)).collect())
        }
    }

    fn holds(&self, check: &RowCheck) -> bool {
        self.row(&check.key).version == check.version
    }

    fn write(&mut self, write: &RowWrite) -> Row {
        let row = Row {
            key: write.key.clone(),
            version: self.row(&write.key).version.next(),
            value: write.value.clone(),
        };
        self.rows.insert(row.key.clone(), row.clone());
        row
    }
}
