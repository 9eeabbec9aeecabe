//! An accepted edit as the table keeps it.

use serde::{Deserialize, Serialize};

use super::{
    SNAPSHOT_EVERY_EDITS, SettingsTree, TREE_HEAD_KEY, TREE_SNAPSHOT_KEY, TreeEdit, TreeError,
    TreeHead,
};
use crate::id::{RowVersion, TreeVersion, WriteId};
use crate::wire::{RowCheck, RowWrite, Transaction};

/// An edit, the version that it made, and who made it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRecord {
    /// Version of the tree with this edit.
    pub version: TreeVersion,
    /// What was changed.
    pub edit: TreeEdit,
    /// Operator who made the edit.
    pub by: String,
    /// Marks the write, so that its lost answer can be settled by reading the row.
    pub write_id: WriteId,
}

impl EditRecord {
    /// Reads a record from JSON.
    pub fn from_json(text: impl AsRef<str>) -> Result<Self, TreeError> {
        serde_json::from_str(text.as_ref())
            .map_err(|e| TreeError::Malformed("edit record", e.to_string()))
    }

    /// Writes the record as JSON.
    ///
    /// # Panics
    ///
    /// Only if the record holds something that JSON cannot carry, which is a bug.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a record holds only what JSON can carry")
    }

    /// Key of the row that keeps the edit of a version.
    #[must_use]
    pub fn row_key(version: TreeVersion) -> String {
        format!("tree/edit/{:020}", version.get())
    }

    /// The transaction that puts this edit in force on top of the head that was read.
    ///
    /// `tree` is the tree with the edit applied; it is kept whole at every snapshot.
    #[must_use]
    pub fn transaction(&self, head: RowVersion, tree: &SettingsTree) -> Transaction {
        let edit_key = Self::row_key(self.version);
        let next_head = TreeHead {
            version: self.version,
            write_id: self.write_id.clone(),
        };
        let mut writes = vec![
            row_write(edit_key.clone(), self.to_json()),
            row_write(TREE_HEAD_KEY, next_head.to_json()),
        ];
        if self.version.get().is_multiple_of(SNAPSHOT_EVERY_EDITS) {
            writes.push(row_write(TREE_SNAPSHOT_KEY, tree.to_json()));
        }
        // Failure: two operators edit the same version at the same moment, and the second edit
        // silently undoes the first. Guard: the head must still be at the row version that was
        // read, so one of the two transactions does not commit and its operator is told.
        let checks = vec![
            row_check(TREE_HEAD_KEY, head),
            row_check(edit_key, RowVersion::default()),
        ];
        Transaction { checks, writes }
    }
}

fn row_write(key: impl Into<String>, value: String) -> RowWrite {
    let key = key.into();
    RowWrite { key, value }
}

fn row_check(key: impl Into<String>, version: RowVersion) -> RowCheck {
    let key = key.into();
    RowCheck { key, version }
}
