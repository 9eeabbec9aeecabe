//! Handshake of an entry with a sidecar.

use serde::{Deserialize, Serialize};

use crate::id::{HostId, TreeVersion};

/// Requests a sidecar's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Host that sends the request.
    pub from: HostId,
    /// Version of its settings tree.
    pub tree_version: TreeVersion,
}
