//! The answer to an edit that came second.

use std::fmt;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::TreeVersion;
use amaranthscale_core::version::EditRecord;
use serde::{Deserialize, Serialize};

/// Says that another edit came first, and which.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EditConflict {
    /// Numbered result.
    pub code: ResultCode,
    /// The result for a person.
    pub text: String,
    /// Version that the operator saw.
    pub your_version: TreeVersion,
    /// Version in force.
    pub version_in_force: TreeVersion,
    /// Edits between the two, as far as they are known.
    pub other_edits: Vec<EditRecord>,
}

impl EditConflict {
    /// A conflict between the version seen and the one in force.
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
