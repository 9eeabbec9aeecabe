//! Services: pools of interchangeable backend servers.

use std::time::Duration;

use crate::id::ServiceId;
use crate::process::ColdSpec;

/// A service as operators describe it.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Name of the service.
    pub service: ServiceId,
    /// Connections that one server accepts from all callers together.
    pub max_connections: usize,
    /// What an engine of the service can do, if it is a service of engines.
    pub engine: Option<EngineSpec>,
    /// What a server of the service can do, if it makes pieces of stages.
    pub batch: Option<BatchSpec>,
    /// What a server of the service takes while it is cold, if it can be.
    pub cold: Option<ColdSpec>,
}

/// What one engine can do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests at once.
    pub slots: usize,
    /// Memory for running requests and cached prompts.
    pub memory_tokens: u64,
}

/// What one server of a stage service can do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchSpec {
    /// Calls in work at once.
    pub slots: usize,
    /// Most pieces in one call.
    pub max_pieces: usize,
    /// Time of a call without pieces.
    pub call_time: Duration,
    /// Time that each piece adds.
    pub piece_time: Duration,
    /// Room for results that are kept.
    pub result_capacity_bytes: u64,
    /// How long a result is kept unless it is freed.
    pub result_retention: Duration,
}

impl BatchSpec {
    /// Time of a call with so many pieces.
    #[must_use]
    pub fn call_time_for(&self, pieces: usize) -> Duration {
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        self.call_time + self.piece_time.saturating_mul(pieces)
    }
}
