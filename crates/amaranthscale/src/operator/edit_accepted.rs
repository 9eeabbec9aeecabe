//! The answer to an edit that is in force.

use amaranthscale_core::id::TreeVersion;
use serde::{Deserialize, Serialize};

/// Says that an edit is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditAccepted {
    /// Version that the edit made.
    pub version: TreeVersion,
}
