//! The answer of a gateway to a change by an operator.

use serde::{Deserialize, Serialize};

/// The answer to a change, and what to try if it was not made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// What became of the change.
    pub outcome: ChangeOutcome,
    /// The outcome in words, with what to try.
    pub text: String,
}

/// What became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// The state is as requested.
    Done,
    /// The request is not valid; nothing has changed.
    Invalid,
    /// What the request names is not known; nothing has changed.
    NotFound,
    /// The store did not take the change; nothing has changed.
    NotDone,
    /// The store did not answer; the change may have happened.
    Unknown,
}
