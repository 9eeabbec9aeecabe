//! First contact of an entry with a sidecar.

use serde::{Deserialize, Serialize};

use crate::id::{HostId, TreeVersion};

/// Asks a sidecar for its stamp.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Host that asks.
    pub from: HostId,
    /// Version of the settings tree that it has.
    pub tree_version: TreeVersion,
}
