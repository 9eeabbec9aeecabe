//! The parts that all requests of a gateway share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use amaranthscale_core::id::{InstanceId, ServiceId, ZoneId};
use amaranthscale_core::process::{ConnectionShare, ServerSelector};

use super::super::Dialect;
use super::super::connection::ConnectionPool;
use super::super::version::{ClusterView, HandedOn};
use super::{
    BatchOwners, BoundedServers, Budgets, CrashWatch, LimitTracker, ServicePromptTimes, StopGate,
};
use crate::connection::PeerClient;
use crate::process::{Counters, Latencies};

/// Shared by all requests.
#[derive(Debug)]
pub struct GatewayParts {
    /// This life of the gateway.
    pub instance: InstanceId,
    /// Availability zone of the gateway.
    pub zone: ZoneId,
    /// Routing, servers and gateways.
    pub cluster_view: Arc<ClusterView>,
    /// Kept connections to servers.
    pub pool: Arc<ConnectionPool>,
    /// How callers and servers speak.
    pub dialect: Arc<Dialect>,
    /// Repeats that are left.
    pub budgets: Budgets,
    /// How long engines take to the first event.
    pub prompt_times: ServicePromptTimes,
    /// Sends to servers that all gateways together may send so much.
    pub bounded: BoundedServers,
    /// What servers say of their limits.
    pub limits: Arc<LimitTracker>,
    /// The owners of batches in this process.
    pub batches: Arc<BatchOwners>,
    /// Connections to other gateways.
    pub peers: Arc<PeerClient>,
    /// The store's tables, for neighbours.
    pub handed_on: Arc<HandedOn>,
    /// Counts of answers, refusals and repeats.
    pub counters: Arc<Counters>,
    /// Times by part of a request and by stage service.
    pub latencies: Arc<Latencies>,
    /// Open requests.
    pub stop: Arc<StopGate>,
    /// Longest age of the routing at which a key is believed.
    pub key_age: std::time::Duration,
    /// Longest age of the routing at which the gateway is ready.
    pub ready_age: std::time::Duration,
    /// Time after which nothing is decided by a routing that is known to be replaced.
    pub behind_after: std::time::Duration,
    /// Servers that crash, and the requests that crash them.
    pub crashes: Arc<CrashWatch>,
    /// What sends told of the servers.
    pub choice: Mutex<ServerSelector>,
}

impl GatewayParts {
    /// Takes one repeat at a service from the budget that all gateways share, and counts it.
    pub fn try_repeat(&self, service: &ServiceId) -> bool {
        let now = self.cluster_view.clock().now();
        let is_left = self
            .budgets
            .try_repeat(service, self.cluster_view.live(), now);
        let name = if is_left {
            "repeat.sent"
        } else {
            "repeat.over-budget"
        };
        self.counters.count(name);
        is_left
    }

    /// This gateway's share of the connections that a service's servers take.
    pub fn connection_share(&self, service: &ServiceId) -> ConnectionShare {
        let routing = self.cluster_view.routing();
        let pool = routing.as_ref().and_then(|routing| routing.pool(service));
        pool.map_or(ConnectionShare::UNLIMITED, |pool| {
            let servers = self.cluster_view.servers();
            let servers = servers.usable(service).count();
            ConnectionShare::of(pool.max_connections, servers, self.cluster_view.live())
        })
    }

    /// What sends told of the servers; held for single decisions only.
    pub fn choice(&self) -> MutexGuard<'_, ServerSelector> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
