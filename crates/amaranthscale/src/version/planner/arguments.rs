//! Arguments of a planner.

use std::sync::Arc;

use amaranthscale_core::id::HostId;
use amaranthscale_core::version::CompiledTree;
use amaranthscale_core::wire::HostList;
use tokio::sync::watch;

use super::{PlannerSettings, WriteGate};
use crate::connection::PeerClient;
use crate::process::{Counters, PlatformClient};

/// Arguments of a planner.
#[derive(Debug, Clone)]
pub struct PlannerArguments {
    /// Host of this process.
    pub host: HostId,
    /// Intervals, timeouts and bounds.
    pub settings: PlannerSettings,
    /// The platform.
    pub platform: PlatformClient,
    /// Connections to sidecars.
    pub peers: Arc<PeerClient>,
    /// Settings tree in force.
    pub tree: watch::Receiver<Arc<CompiledTree>>,
    /// Whether the process may make decisions from that tree.
    pub is_tree_ready: watch::Receiver<bool>,
    /// The host list; none until it was read.
    pub hosts: watch::Receiver<Option<Arc<HostList>>>,
    /// Counters of this process.
    pub counters: Arc<Counters>,
    /// Passed before each write of a placement.
    pub before_write: WriteGate,
    /// Seed of random choices.
    pub seed: u64,
}
