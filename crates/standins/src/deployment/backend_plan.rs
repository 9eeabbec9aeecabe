//! Backend servers of one service.

use amaranthscale_core::id::ServiceId;

use crate::engine::EngineSettings;
use crate::service::ServiceSettings;

/// Kind of stand-in for a backend server.
#[derive(Debug, Clone)]
pub enum BackendKind {
    /// A model engine, or a pool of encoders, retrievers or rerankers.
    Engine(EngineSettings),
    /// A plain service.
    Service(ServiceSettings),
}

/// Backend servers of one service, all with the same settings.
#[derive(Debug, Clone)]
pub struct BackendPlan {
    /// Service of the servers.
    pub service: ServiceId,
    /// Kind of stand-in.
    pub kind: BackendKind,
    /// Number of servers.
    pub count: u32,
    /// Attempts that each server runs at once.
    pub slots: u32,
}
