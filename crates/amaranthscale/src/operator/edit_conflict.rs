//! The answer to an edit that conflicts with another one.

use std::fmt;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::TreeVersion;
use amaranthscale_core::version::EditRecord;
use serde::{Deserialize, Serialize};

/// The answer to an edit of a version that is no longer in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EditConflict {
    /// Result code.
    pub code: ResultCode,
    /// Description of the code.
    pub text: String,
    /// Version that the edit is based on.
    pub your_version: TreeVersion,
    /// Version in force.
    pub version_in_force: TreeVersion,
    /// Edits between the two versions, as far as they are known.
    pub other_edits: Vec<EditRecord>,
}

impl EditConflict {
    /// Creates a conflict between an edit's base version and the version in force.
    #[must_use]
    pub fn between(
        your_version: TreeVersion,
        version_in_force: TreeVersion,
        other_edits: Vec<EditRecord>,
    ) -> Self {
        let code = ResultCode::EditConflict;
        Self {
            code,
            text: code.text().to_owned(),
            your_version,
            version_in_force,
            other_edits,
        }
    }
}

impl fmt::Display for EditConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (yours, in_force) = (self.your_version, self.version_in_force);
        write!(f, "{}: you saw version {yours}, ", self.code)?;
        write!(f, "version {in_force} is in force")?;
        for other in &self.other_edits {
            write!(f, "\n  {} by {}: {}", other.version, other.by, other.edit)?;
        }
        Ok(())
    }
}
