//! Record of one execution.

use amaranthscale_core::id::OrganisationId;
use serde::{Deserialize, Serialize};

use crate::backend::CallId;

/// Record of one execution, made when it started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceExecution {
    /// Id of the call.
    pub call_id: CallId,
    /// Path of the call, without its leading slash.
    pub path: String,
    /// Organisation of the call, if stated.
    pub organisation: Option<OrganisationId>,
    /// SHA-256 of the call's body, in hexadecimal.
    pub body_digest: String,
    /// Position among all executions of this service, from 1.
    pub order: u64,
}
