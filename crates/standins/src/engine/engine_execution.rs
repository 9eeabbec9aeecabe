//! Record of one execution.

use amaranthscale_core::id::OrganisationId;
use amaranthscale_core::unit::Class;
use serde::{Deserialize, Serialize};

use crate::backend::CallId;
use crate::engine::Operation;

/// Record of one execution, made when it got its slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineExecution {
    /// Id of the call.
    pub call_id: CallId,
    /// Operation that was run.
    pub operation: Operation,
    /// Organisation of the call, if stated.
    pub organisation: Option<OrganisationId>,
    /// Class of the organisation, if stated.
    pub class: Option<Class>,
    /// Position among all executions of this engine, from 1.
    pub started_order: u64,
    /// Tokens generated.
    pub tokens: u32,
    /// Time in a slot until the last progress, in milliseconds.
    pub server_ms: u64,
    /// Whether it completed; false while it runs, and after a failure or cancellation.
    pub finished: bool,
}
