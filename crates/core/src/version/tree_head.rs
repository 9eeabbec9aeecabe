//! The rows of the table that keep the tree.

use serde::{Deserialize, Serialize};

use super::TreeError;
use crate::id::{TreeVersion, WriteId};

/// Row that names the version in force.
pub const TREE_HEAD_KEY: &str = "tree/head";
/// Row that keeps a whole tree, for processes that start.
pub const TREE_SNAPSHOT_KEY: &str = "tree/snapshot";
/// Edits between two snapshots: a start reads at most this many rows beside the snapshot.
pub const SNAPSHOT_EVERY_EDITS: u64 = 64;

/// Body of the row that names the version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeHead {
    /// Version in force.
    pub version: TreeVersion,
    /// Write that put it in force.
    pub write_id: WriteId,
}

impl TreeHead {
    /// Reads the body of the row.
    pub fn from_json(text: impl AsRef<str>) -> Result<Self, TreeError> {
        serde_json::from_str(text.as_ref()).map_err(|e| TreeError::Malformed("head", e.to_string()))
    }

    /// Writes the body of the row.
    ///
    /// # Panics
    ///
    /// Only if the head holds something that JSON cannot carry, which is a bug.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a head holds only what JSON can carry")
    }
}
