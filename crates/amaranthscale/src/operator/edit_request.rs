//! An edit on its way to an entry.

use amaranthscale_core::id::TreeVersion;
use amaranthscale_core::version::TreeEdit;
use serde::{Deserialize, Serialize};

/// Asks for one edit on top of the version that its operator saw.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Version that the operator saw.
    pub expected_version: TreeVersion,
    /// Operator who makes the edit.
    pub by: String,
    /// What to change.
    pub edit: TreeEdit,
}
