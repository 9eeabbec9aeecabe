//! The parts of an entry that its requests share.

use std::sync::Arc;

use amaranthscale_core::version::CompiledTree;
use tokio::sync::watch;

use super::DecisionsHandle;
use crate::connection::PeerClient;
use crate::process::{Counters, PlatformClient};
use crate::version::PlannerHandle;

/// Shared by all requests of an entry; cheap to clone.
#[derive(Debug, Clone)]
pub struct EntryParts {
    /// Decisions of the entry.
    pub decisions: DecisionsHandle,
    /// Connections to sidecars.
    pub peers: Arc<PeerClient>,
    /// Connection to the platform.
    pub platform: PlatformClient,
    /// Counters of the entry.
    pub counters: Arc<Counters>,
    /// Settings tree in force.
    pub tree: watch::Receiver<Arc<CompiledTree>>,
    /// Planner of the placement.
    pub planner: PlannerHandle,
}
