//! Why a reply about the tree was not taken.

use quick_error::quick_error;

use super::TreeError;
use crate::id::{TreeVersion, WriteId};
use crate::result_code::ResultCode;

quick_error! {
    /// A reply that cannot be taken; the tree stays as it was.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TreeLogError {
        /// The reply starts after edits that are missing here.
        Gap(have: TreeVersion, got: TreeVersion) {
            display("edit {got} does not follow version {have}: ask for what came after {have}")
        }
        /// The reply and this process disagree on an edit.
        Diverged(version: TreeVersion, ours: WriteId, theirs: WriteId) {
            display("edit {version} was written by {ours} here and by {theirs} there: read the edit's row in the table")
        }
        /// The tree names another version than its reply.
        VersionMismatch(said: TreeVersion, tree: TreeVersion) {
            display("a reply of version {said} holds a tree of version {tree}: ask another process or the table")
        }
        /// An edit or tree that cannot be read or does not hold.
        Invalid(version: TreeVersion, cause: TreeError) {
            display("version {version} cannot be taken: {cause}")
            source(cause)
        }
    }
}

impl TreeLogError {
    /// The numbered code under which it is counted.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Gap(..) => ResultCode::EditConflict,
            Self::Diverged(..) | Self::VersionMismatch(..) => ResultCode::EditInvalid,
            Self::Invalid(_, cause) => cause.code(),
        }
    }
}
