//! The answer to an accepted edit.

use amaranthscale_core::id::TreeVersion;
use serde::{Deserialize, Serialize};

/// The answer to an accepted edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditAccepted {
    /// Version that the edit created.
    pub version: TreeVersion,
}
