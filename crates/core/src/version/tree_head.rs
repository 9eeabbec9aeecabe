//! The table rows that store the tree.

use serde::{Deserialize, Serialize};

use super::TreeError;
use crate::id::{TreeVersion, WriteId};

/// Row with the version in force.
pub const TREE_HEAD_KEY: &str = "tree/head";
/// Row with a whole tree, which processes read when they start.
pub const TREE_SNAPSHOT_KEY: &str = "tree/snapshot";
/// Edits between two snapshots: a starting process reads at most this many rows after the snapshot.
pub const SNAPSHOT_EVERY_EDITS: u64 = 64;

/// Body of the row with the version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeHead {
    /// Version in force.
    pub version: TreeVersion,
    /// Id of the write that put it in force.
    pub write_id: WriteId,
}

impl TreeHead {
    /// Parses the body of the row.
    pub fn from_json(text: impl AsRef<str>) -> Result<Self, TreeError> {
        serde_json::from_str(text.as_ref()).map_err(|e| TreeError::Malformed("head", e.to_string()))
    }

    /// Serialises the body of the row.
    ///
    /// # Panics
    ///
    /// Never: all types of a head can be written as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a head can be written as JSON")
    }
}
