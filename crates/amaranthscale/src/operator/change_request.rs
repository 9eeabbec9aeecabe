//! The body of a change by an operator at a gateway.

use serde::{Deserialize, Serialize};

/// The body of a change by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Name of the operator.
    pub by: String,
}
