//! Messages by which a process catches up with a newer settings tree.

use serde::{Deserialize, Serialize};

use crate::id::{HostId, TreeVersion};

/// Requests the changes after a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeRequest {
    /// Host that sends the request.
    pub from: HostId,
    /// Its current version.
    pub version: TreeVersion,
}

/// The changes after a version.
///
/// Edits and trees are sent as JSON, as they are stored in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TreeReply {
    /// The requesting process has the newest version known here.
    UpToDate(TreeVersion),
    /// Consecutive edits, the first of which follows the requester's version.
    Edits {
        /// Version before the first edit.
        after: TreeVersion,
        /// The edits as JSON.
        edits: Vec<String>,
    },
    /// The whole tree, for a requester too far behind.
    Whole {
        /// Version of the tree.
        version: TreeVersion,
        /// The tree as JSON.
        tree: String,
    },
}
