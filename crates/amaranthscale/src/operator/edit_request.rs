//! A request to edit the settings tree.

use amaranthscale_core::id::TreeVersion;
use amaranthscale_core::version::TreeEdit;
use serde::{Deserialize, Serialize};

/// A request for one edit, valid only while its base version is in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Version that the edit is based on.
    pub expected_version: TreeVersion,
    /// Operator who makes the edit.
    pub by: String,
    /// The change.
    pub edit: TreeEdit,
}
