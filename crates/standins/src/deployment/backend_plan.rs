//! Backend servers of one service.

use amaranthscale_core::id::ServiceId;

use crate::engine::EngineSettings;
use crate::service::ServiceSettings;

/// What stands in for a backend server.
#[derive(Debug, Clone)]
pub enum BackendKind {
    /// A model engine, or a pool of encoders, retrievers or rerankers.
    Engine(EngineSettings),
    /// A plain service.
    Service(ServiceSettings),
}

/// Backend servers of one service, all alike.
#[derive(Debug, Clone)]
pub struct BackendPlan {
    /// Service that they serve.
    pub service: ServiceId,
    /// What stands in for them.
    pub kind: BackendKind,
    /// How many there are.
    pub count: u32,
    /// Attempts that each takes at once.
    pub slots: u32,
}
