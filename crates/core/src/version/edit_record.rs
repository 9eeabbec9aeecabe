//! An accepted edit as stored in the table.

use serde::{Deserialize, Serialize};

use super::{
    SNAPSHOT_EVERY_EDITS, SettingsTree, TREE_HEAD_KEY, TREE_SNAPSHOT_KEY, TreeEdit, TreeError,
    TreeHead,
};
use crate::id::{RowVersion, TreeVersion, WriteId};
use crate::wire::{RowCheck, RowWrite, Transaction};

/// An edit with the version that it created and its author.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRecord {
    /// Version of the tree after this edit.
    pub version: TreeVersion,
    /// The change.
    pub edit: TreeEdit,
    /// Operator who made the edit.
    pub by: String,
    /// Id of the write, by which the row shows whether a write with a lost reply took effect.
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
    /// Never: all types of a record can be written as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a record can be written as JSON")
    }

    /// Key of the row that stores the edit of a version.
    #[must_use]
    pub fn row_key(version: TreeVersion) -> String {
        format!("tree/edit/{:020}", version.get())
    }

    /// Builds the transaction that puts this edit in force on top of the head that was read.
    ///
    /// `tree` is the tree with the edit applied; it is stored whole every [`SNAPSHOT_EVERY_EDITS`]
    /// edits.
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
        // Without the check of the head, two operators could edit the same version at the same time
        // and the second edit would silently undo the first. With it, only one of the two
        // transactions commits, and the other operator gets a conflict.
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
