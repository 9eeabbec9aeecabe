//! How a process that is behind learns the settings tree from one that is ahead.

use serde::{Deserialize, Serialize};

use crate::id::{HostId, TreeVersion};

/// Asks for what came after a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeRequest {
    /// Host that asks.
    pub from: HostId,
    /// Version that it has.
    pub version: TreeVersion,
}

/// What came after a version.
///
/// Edits and trees travel as JSON, the form in which the table keeps them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TreeReply {
    /// The asker has the newest version that this process knows.
    UpToDate(TreeVersion),
    /// Numbered edits without gaps, the first one following the asker's version.
    Edits {
        /// Version before the first edit.
        after: TreeVersion,
        /// One JSON text per edit.
        edits: Vec<String>,
    },
    /// A whole tree, for an asker too far behind.
    Whole {
        /// Version of the tree.
        version: TreeVersion,
        /// The tree as JSON.
        tree: String,
    },
}
