//! Which servers a request may be given, and whether it may still go there as its bytes leave.

use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::ServiceId;
use amaranthscale_core::process::{
    ColdLimits, LoadSnapshot, SendRateLimit, ServerAvailability, ServerList, ServerRecord,
    ServerSelector, UsableServers,
};

use super::GatewayParts;
use super::bounded_servers::ShareBasis;

/// Why no server of a service can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoneUsable {
    /// The numbered result.
    pub code: ResultCode,
    /// When this gateway may send to a limited server of the service again, if that is why.
    pub place_in: Option<Duration>,
}

impl GatewayParts {
    /// Chooses a server of a service by a function, and says by what load.
    pub fn choose(
        &self,
        service: &ServiceId,
        pick: impl for<'a> FnOnce(
            &ServerSelector,
            UsableServers<'a>,
            Duration,
        ) -> Option<&'a ServerRecord>,
    ) -> Option<(ServerRecord, LoadSnapshot)> {
        let servers = self.cluster_view.servers();
        let now = self.cluster_view.clock().now();
        let usable = self.usable(&servers, service, now);
        let choice = self.choice();
        let chosen = pick(&choice, usable, now)?.clone();
        let seen = choice.load_snapshot(&chosen.incarnation, now);
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
        // One for all bounded servers of the service, as it costs a pass over the list.
        let mut basis = None;
        let mut usable = UsableServers::default();
        for server in servers.not_leaving(service) {
            let server_use = servers.availability_of(server, terms, now);
            if server_use == ServerAvailability::Free {
                usable.free.push(server);
            }
            let Some(bound) = server_use.rate_limit() else {
                continue;
            };
            let basis = basis.get_or_insert_with(|| self.share_basis(servers, service, bound));
            basis.bound = bound;
            if !self.bounded.has_place(&server.incarnation, basis, now) {
                continue;
            }
            match bound {
                SendRateLimit::Cold { .. } => usable.cold.push(server),
                SendRateLimit::Limited { .. } => usable.free.push(server),
            }
        }
        usable
    }

    /// Counts a choice of a server for a request, if what the server is sent is bounded.
    fn note_chosen(&self, servers: &ServerList, server: &ServerRecord, now: Duration) {
        let terms = self.cold_terms(&server.service);
        if let Some(bound) = servers.availability_of(server, terms, now).rate_limit() {
            let basis = self.share_basis(servers, &server.service, bound);
            self.bounded.chosen(&server.incarnation, &basis, now);
        }
    }

    /// Asks once more whether a request may go to a server, as its bytes are about to leave; says
    /// why not. A send to a cold or a limited one is taken from this gateway's share.
    ///
    /// Guards against what happens between a choice and its send: pieces take most of a second, a
    /// connection some hundred milliseconds, and a frozen process wakes with all its choices made.
    pub fn try_send_to(&self, server: &ServerRecord) -> Result<(), ServerAvailability> {
        let servers = self.cluster_view.servers();
        let now = self.cluster_view.clock().now();
        let terms = self.cold_terms(&server.service);
        let server_use = servers.availability(&server.incarnation, terms, now);
        let may_send = if let Some(bound) = server_use.rate_limit() {
            let basis = self.share_basis(&servers, &server.service, bound);
            self.bounded.try_send(&server.incarnation, &basis, now)
        } else {
            server_use == ServerAvailability::Free
        };
        if server_use == ServerAvailability::Free && terms.is_some() {
            self.bounded.sent(&server.incarnation, now);
        }
        if may_send {
            return Ok(());
        }
        self.counters
            .count_reason("servers.withheld", server_use.name());
        Err(server_use)
    }

    /// Why no server of a service can be chosen now.
    pub fn none_usable(&self, service: &ServiceId) -> NoneUsable {
        let servers = self.cluster_view.servers();
        let now = self.cluster_view.clock().now();
        let terms = self.cold_terms(service);
        let staying = servers.not_leaving(service);
        let uses: Vec<_> = staying
            .map(|server| (server, servers.availability_of(server, terms, now)))
            .collect();
        // The others, if there are any, were tried; of these the share is used up.
        let is_any =
            |holds: fn(&ServerAvailability) -> bool| uses.iter().any(|(_, one)| holds(one));
        let code = if is_any(|one| matches!(one, ServerAvailability::Limited { .. })) {
            ResultCode::ServersLimited
        } else if is_any(|one| matches!(one, ServerAvailability::Cold { .. })) {
            ResultCode::ServersCold
        } else if !uses.is_empty() && !is_any(|one| *one != ServerAvailability::Evacuated) {
            ResultCode::ZonesEvacuated
        } else {
            ResultCode::NoBackendServer
        };
        let limited = uses.iter().filter(|_| code == ResultCode::ServersLimited);
        let places = limited.filter_map(|(server, server_use)| {
            let basis = self.share_basis(&servers, service, server_use.rate_limit()?);
            self.bounded.next_place(&server.incarnation, &basis, now)
        });
        NoneUsable {
            code,
            place_in: places.min().map(|at| at.saturating_sub(now)),
        }
    }

    /// What holds of a service's cold servers.
    fn cold_terms(&self, service: &ServiceId) -> Option<ColdLimits> {
        let routing = self.cluster_view.routing()?;
        routing.cold_limits(service, self.bounded.bounds())
    }

    fn share_basis(
        &self,
        servers: &ServerList,
        service: &ServiceId,
        bound: SendRateLimit,
    ) -> ShareBasis {
        let (own, gateways) = self.cluster_view.announced();
        ShareBasis {
            bound,
            servers: servers.not_leaving(service).count(),
            own,
            gateways,
        }
    }
}
