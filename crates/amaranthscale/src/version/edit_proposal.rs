//! An operator's edit, and what became of it.

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::TreeVersion;
use amaranthscale_core::version::{EditRecord, TreeEdit, TreeError};

/// An operator's edit, made against a version.
#[derive(Debug, Clone)]
pub struct EditProposal {
    /// Version that the operator had read.
    pub expected: TreeVersion,
    /// The edit.
    pub edit: TreeEdit,
    /// Who makes it.
    pub by: String,
}

/// What became of an edit.
#[derive(Debug)]
pub enum EditResult {
    /// It is accepted, as this version.
    Accepted(TreeVersion),
    /// Others came first: the version in force and their edits.
    Conflict(TreeVersion, Vec<EditRecord>),
    /// It does not hold.
    Invalid(TreeError),
    /// Nothing was tried or changed, for this reason.
    Refused(ResultCode),
    /// Whether it took effect is not known; looking at the history later tells.
    Unknown,
}
