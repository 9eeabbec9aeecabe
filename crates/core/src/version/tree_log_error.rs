//! Errors of replies about the tree that cannot be applied.

use quick_error::quick_error;

use super::TreeError;
use crate::id::{TreeVersion, WriteId};
use crate::result_code::ResultCode;

quick_error! {
    /// Error for a reply that cannot be applied; the tree is unchanged.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TreeLogError {
        /// Edits before the reply's first one are missing here.
        Gap(have: TreeVersion, got: TreeVersion) {
            display("edit {got} does not follow version {have}: ask for what came after {have}")
        }
        /// The reply and this process have different edits for the same version.
        Diverged(version: TreeVersion, ours: WriteId, theirs: WriteId) {
            display("edit {version} was written by {ours} here and by {theirs} there: read the edit's row in the table")
        }
        /// The tree has another version than the reply says.
        VersionMismatch(reply: TreeVersion, tree: TreeVersion) {
            display("a reply of version {reply} holds a tree of version {tree}: ask another process or the table")
        }
        /// An edit or tree is unreadable or invalid.
        Invalid(version: TreeVersion, cause: TreeError) {
            display("version {version} cannot be taken: {cause}")
            source(cause)
        }
    }
}

impl TreeLogError {
    /// The result code under which it is counted.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Gap(..) => ResultCode::EditConflict,
            Self::Diverged(..) | Self::VersionMismatch(..) => ResultCode::EditInvalid,
            Self::Invalid(_, cause) => cause.code(),
        }
    }
}
