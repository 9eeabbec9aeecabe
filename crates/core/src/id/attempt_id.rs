//! The identifier of one attempt.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{AttemptNumber, RequestId, StageIndex};

/// One attempt at one stage of one request.
///
/// An entry never sends the same attempt twice; a retry has the next number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Stage within the request's pipeline.
    pub stage: StageIndex,
    /// Number of the attempt at this stage.
    pub number: AttemptNumber,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.request, self.stage, self.number)
    }
}
