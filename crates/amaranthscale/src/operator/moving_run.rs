//! A run that a gateway moves between engines, for operators.

use amaranthscale_core::id::{CallId, ServerIncarnation};
use serde::{Deserialize, Serialize};

/// A run that is being moved.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MovingRun {
    /// The caller's id of the request.
    pub call: CallId,
    /// The engine that runs it.
    pub from: ServerIncarnation,
    /// The engine that it is moved to.
    pub to: ServerIncarnation,
    /// Milliseconds since the move began.
    pub elapsed_ms: u64,
}
