//! Record of one execution.

use amaranthscale_core::id::OrganisationId;
use amaranthscale_core::unit::Class;
use serde::{Deserialize, Serialize};

use crate::backend::CallId;
use crate::engine::Operation;

/// Record of one execution, made as it got its slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineExecution {
    /// Identity of the call.
    pub call_id: CallId,
    /// What was run.
    pub operation: Operation,
    /// Organisation that the call works for, if told.
    pub organisation: Option<OrganisationId>,
    /// Class of the organisation, if told.
    pub class: Option<Class>,
    /// Position among all executions of this engine, from 1.
    pub started_order: u64,
    /// Tokens generated.
    pub tokens: u32,
    /// Time in a slot, in milliseconds, as of the last progress.
    pub server_ms: u64,
    /// Whether it came to its end; false while it runs, and after a failure or cancellation.
    pub finished: bool,
}
