//! The parts that all requests of a gateway share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use amaranthscale_core::id::{InstanceId, ServiceId, ZoneId};
use amaranthscale_core::process::{
    BackendChoice, ColdTerms, ConnectionShare, ServerList, ServerRecord, ServerUse, UsableServers,
};

use amaranthscale_core::ResultCode;

use super::super::Dialect;
use super::super::connection::ServerPool;
use super::super::version::{HandedOn, Knowledge};
use super::cold_servers::ShareBasis;
use super::{BatchOwners, Budgets, ColdServers, ServicePromptTimes, StopGate};
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
    pub knowledge: Arc<Knowledge>,
    /// Kept connections to servers.
    pub pool: Arc<ServerPool>,
    /// How callers and servers speak.
    pub dialect: Arc<Dialect>,
    /// Repeats that are left.
    pub budgets: Budgets,
    /// How long engines take to the first event.
    pub prompt_times: ServicePromptTimes,
    /// Sends to cold servers.
    pub cold: ColdServers,
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
    /// What sends told of the servers.
    pub choice: Mutex<BackendChoice>,
}

impl GatewayParts {
    /// Takes one repeat at a service from the budget that all gateways share, and counts it.
    pub fn try_repeat(&self, service: &ServiceId) -> bool {
        let now = self.knowledge.clock().now();
        let is_left = self.budgets.try_repeat(service, self.knowledge.live(), now);
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
        let routing = self.knowledge.routing();
        let pool = routing.as_ref().and_then(|routing| routing.pool(service));
        pool.map_or(ConnectionShare::WHOLE, |pool| {
            let servers = self.knowledge.servers();
            let servers = servers.usable(service).count();
            ConnectionShare::of(pool.max_connections, servers, self.knowledge.live())
        })
    }

    /// Servers of a service that a request may be given now.
    pub fn usable<'a>(&self, servers: &'a ServerList, service: &'a ServiceId) -> UsableServers<'a> {
        let now = self.knowledge.clock().now();
        let terms = self.cold_terms(service);
        let mut usable = UsableServers::default();
        for server in servers.usable(service) {
            match servers.use_of(&server.life, terms, now) {
                ServerUse::Cold { most_per_s, .. } => {
                    let basis = self.share_basis(servers, service, most_per_s);
                    if self.cold.has_place(&server.life, &basis, now) {
                        usable.cold.push(server);
                    }
                }
                _ => usable.free.push(server),
            }
        }
        usable
    }

    /// Counts a choice of a server for a request, if the server is cold.
    pub fn note_chosen(&self, servers: &ServerList, server: &ServerRecord) {
        let now = self.knowledge.clock().now();
        let terms = self.cold_terms(&server.service);
        if let ServerUse::Cold { most_per_s, .. } = servers.use_of(&server.life, terms, now) {
            let basis = self.share_basis(servers, &server.service, most_per_s);
            self.cold.chosen(&server.life, &basis, now);
        }
    }

    /// Asks once more whether a request may go to a server, as its bytes are about to leave; says
    /// why not. A send to a cold one is taken from this gateway's share.
    ///
    /// Guards against what happens between a choice and its send: pieces take most of a second, a
    /// connection some hundred milliseconds, and a frozen process wakes with all its choices made.
    pub fn try_send_to(&self, server: &ServerRecord) -> Result<(), ServerUse> {
        let servers = self.knowledge.servers();
        let now = self.knowledge.clock().now();
        let terms = self.cold_terms(&server.service);
        let server_use = servers.use_of(&server.life, terms, now);
        let may_send = match server_use {
            ServerUse::Cold { most_per_s, .. } => {
                let basis = self.share_basis(&servers, &server.service, most_per_s);
                self.cold.try_send(&server.life, &basis, now)
            }
            other => other.is_usable(),
        };
        if may_send {
            return Ok(());
        }
        self.counters
            .count_reason("servers.withheld", server_use.name());
        Err(server_use)
    }

    /// Why no server of a service can be chosen now.
    pub fn none_usable(&self, service: &ServiceId) -> ResultCode {
        let servers = self.knowledge.servers();
        if servers.usable(service).next().is_some() {
            // Untried ones would have been chosen, had they been more than cold.
            let now = self.knowledge.clock().now();
            let terms = self.cold_terms(service);
            let mut usable = servers.usable(service);
            let is_cold = |server: &ServerRecord| {
                let server_use = servers.use_of(&server.life, terms, now);
                matches!(server_use, ServerUse::Cold { .. })
            };
            return if usable.any(is_cold) {
                ResultCode::ServersCold
            } else {
                ResultCode::NoBackendServer
            };
        }
        if servers.staying(service).next().is_some() {
            ResultCode::ZonesEvacuated
        } else {
            ResultCode::NoBackendServer
        }
    }

    /// What holds of a service's cold servers.
    fn cold_terms(&self, service: &ServiceId) -> Option<ColdTerms> {
        let routing = self.knowledge.routing()?;
        let spec = routing.pool(service)?.cold?;
        Some(spec.under(self.cold.bounds()))
    }

    fn share_basis(
        &self,
        servers: &ServerList,
        service: &ServiceId,
        most_per_s: f64,
    ) -> ShareBasis {
        let (own, gateways) = self.knowledge.announced();
        ShareBasis {
            most_per_s,
            servers: servers.staying(service).count(),
            own,
            gateways,
        }
    }

    /// What sends told of the servers; held for single decisions only.
    pub fn choice(&self) -> MutexGuard<'_, BackendChoice> {
        self.choice.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
