//! Which servers a request may be given, and whether it may still go there as its bytes leave.

use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::ServiceId;
use amaranthscale_core::process::{
    BackendChoice, ColdTerms, SeenLoad, ServerList, ServerRecord, ServerUse, UsableServers,
};

use super::GatewayParts;
use super::bounded_servers::ShareBasis;

impl GatewayParts {
    /// Chooses a server of a service by a function, and says by what load.
    pub fn choose(
        &self,
        service: &ServiceId,
        pick: impl for<'a> FnOnce(
            &BackendChoice,
            UsableServers<'a>,
            Duration,
        ) -> Option<&'a ServerRecord>,
    ) -> Option<(ServerRecord, SeenLoad)> {
        let servers = self.knowledge.servers();
        let now = self.knowledge.clock().now();
        let usable = self.usable(&servers, service, now);
        let choice = self.choice();
        let chosen = pick(&choice, usable, now)?.clone();
        let seen = choice.seen(&chosen.life, now);
        drop(choice);
        self.note_chosen(&servers, &chosen, now);
        Some((chosen, seen))
    }

    /// Servers of a service that a request may be given now.
    fn usable<'a>(
        &self,
        servers: &'a ServerList,
        service: &'a ServiceId,
        now: Duration,
    ) -> UsableServers<'a> {
        let terms = self.cold_terms(service);
        // One for all cold servers of the service, as it costs a pass over the list.
        let mut basis = None;
        let mut usable = UsableServers::default();
        for server in servers.staying(service) {
            match servers.use_of_listed(server, terms, now) {
                ServerUse::Free => usable.free.push(server),
                ServerUse::Cold { most_per_s, .. } => {
                    let basis =
                        basis.get_or_insert_with(|| self.share_basis(servers, service, most_per_s));
                    if self.cold.has_place(&server.life, basis, now) {
                        usable.cold.push(server);
                    }
                }
                ServerUse::Leaving | ServerUse::Evacuated | ServerUse::Unlisted => {}
            }
        }
        usable
    }

    /// Counts a choice of a server for a request, if the server is cold.
    fn note_chosen(&self, servers: &ServerList, server: &ServerRecord, now: Duration) {
        let terms = self.cold_terms(&server.service);
        if let ServerUse::Cold { most_per_s, .. } = servers.use_of_listed(server, terms, now) {
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
            ServerUse::Free => {
                if terms.is_some() {
                    self.cold.sent(&server.life, now);
                }
                true
            }
            _ => false,
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
        let now = self.knowledge.clock().now();
        let terms = self.cold_terms(service);
        let uses: Vec<_> = servers
            .staying(service)
            .map(|server| servers.use_of_listed(server, terms, now))
            .collect();
        let is_cold = |server_use: &ServerUse| matches!(server_use, ServerUse::Cold { .. });
        if uses.iter().any(is_cold) {
            // The others, if there are any, were tried; of these the share is used up.
            ResultCode::ServersCold
        } else if !uses.is_empty() && uses.iter().all(|one| *one == ServerUse::Evacuated) {
            ResultCode::ZonesEvacuated
        } else {
            ResultCode::NoBackendServer
        }
    }

    /// What holds of a service's cold servers.
    fn cold_terms(&self, service: &ServiceId) -> Option<ColdTerms> {
        let routing = self.knowledge.routing()?;
        routing.cold_terms(service, self.cold.bounds())
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
}
