//! Handles and clients that all requests of an entry share.

use std::sync::Arc;

use amaranthscale_core::version::CompiledTree;
use tokio::sync::watch;

use super::DecisionsHandle;
use crate::connection::PeerClient;
use crate::process::{Counters, PlatformClient};
use crate::version::PlannerHandle;

/// Handles and clients that all requests of an entry share; cheap to clone.
#[derive(Debug, Clone)]
pub struct EntryContext {
    /// Handle of the decisions actor.
    pub decisions: DecisionsHandle,
    /// Client of the sidecars.
    pub peers: Arc<PeerClient>,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Counters of the entry.
    pub counters: Arc<Counters>,
    /// Settings tree in force.
    pub tree: watch::Receiver<Arc<CompiledTree>>,
    /// Handle of the placement planner.
    pub planner: PlannerHandle,
}
