//! An operator's edit and its result.

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

/// The result of an edit.
#[derive(Debug)]
pub enum EditResult {
    /// It is accepted, as this version.
    Accepted(TreeVersion),
    /// Other edits came first: the version in force and these edits.
    Conflict(TreeVersion, Vec<EditRecord>),
    /// The edited tree is not valid.
    Invalid(TreeError),
    /// Nothing was tried or changed, for this reason.
    Refused(ResultCode),
    /// Whether it took effect is not known; the history shows it later.
    Unknown,
}
