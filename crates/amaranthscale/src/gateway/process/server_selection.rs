//! Selects a server for a request, and checks again just before the send.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{CallId, ServiceId};
use amaranthscale_core::process::{
    AllowedZones, ColdLimits, LoadSnapshot, SendRateLimit, ServerAvailability, ServerList,
    ServerRecord, ServerSelector, UsableServers, VersionBinding,
};
use log::info;

use super::send_shares::ShareInputs;
use super::{GatewayContext, SendPermit};

/// Bytes of request bodies that all gateways together have at one server. Servers do not state
/// their memory and crash beyond it; a small one has three times as much.
const MAX_BODY_BYTES_PER_SERVER: usize = 64 * 1024 * 1024;

/// Retry delay for callers while servers take few requests after a backoff: some requests have
/// ended by then.
const RECOVERING_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Why no server of a service can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoServerAvailable {
    /// The result code.
    pub code: ResultCode,
    /// Time until this gateway may send to a server of the service again, if that is known.
    pub retry_after: Option<Duration>,
}

impl GatewayContext {
    /// Chooses a server of a service in allowed zones and of allowed software versions by `select` for
    /// a request with a body of a size; also returns the load on which the choice was based.
    pub fn choose_server(
        &self,
        service: &ServiceId,
        zones: &AllowedZones,
        versions: &VersionBinding,
        body_bytes: usize,
        select: impl for<'a> FnOnce(
            &ServerSelector,
            UsableServers<'a>,
            Duration,
        ) -> Option<&'a ServerRecord>,
    ) -> Option<(ServerRecord, LoadSnapshot)> {
        let servers = self.cluster_view.servers();
        let now = self.cluster_view.clock().now();
        let mut usable = self.usable_servers(&servers, service, zones, now);
        let max_body_bytes = MAX_BODY_BYTES_PER_SERVER / self.cluster_view.announced_count().max(1);
        let server_selector = self.server_selector();
        usable.retain(|server| {
            versions.allows(server.software_version.as_ref())
                && server_selector.may_take_body(&server.incarnation, body_bytes, max_body_bytes)
        });
        let chosen = select(&server_selector, usable, now)?.clone();
        let load = server_selector.load_snapshot(&chosen.incarnation, now);
        drop(server_selector);
        self.record_choice(&servers, &chosen, now);
        Some((chosen, load))
    }

    /// Servers of a service in allowed zones that may be chosen now.
    pub(super) fn usable_servers<'a>(
        &self,
        servers: &'a ServerList,
        service: &'a ServiceId,
        zones: &AllowedZones,
        now: Duration,
    ) -> UsableServers<'a> {
        let cold_limits = self.cold_limits(service);
        // Computed once for all servers of the service, as it takes a pass over the list.
        let mut inputs = None;
        let mut usable = UsableServers::default();
        let not_leaving = servers.not_leaving(service);
        for server in not_leaving.filter(|server| zones.contains(&server.zone)) {
            let availability = servers.availability_of(server, cold_limits, now);
            if availability == ServerAvailability::Free {
                usable.free.push(server);
            }
            let Some(rate_limit) = availability.rate_limit() else {
                continue;
            };
            let inputs =
                inputs.get_or_insert_with(|| self.share_inputs(servers, service, rate_limit));
            inputs.rate_limit = rate_limit;
            if !self
                .send_shares
                .can_choose(&server.incarnation, inputs, now)
            {
                continue;
            }
            match rate_limit {
                SendRateLimit::Cold { .. } => usable.cold.push(server),
                SendRateLimit::Limited { .. } => usable.free.push(server),
            }
        }
        usable
    }

    /// Counts a choice of a server if the rate of sends to it is limited.
    fn record_choice(&self, servers: &ServerList, server: &ServerRecord, now: Duration) {
        let cold_limits = self.cold_limits(&server.service);
        if let Some(rate_limit) = servers
            .availability_of(server, cold_limits, now)
            .rate_limit()
        {
            let inputs = self.share_inputs(servers, &server.service, rate_limit);
            self.send_shares
                .record_choice(&server.incarnation, &inputs, now);
        }
    }

    /// Whether the software version that a server is listed with now may run a request.
    pub fn allows_version(&self, versions: &VersionBinding, server: &ServerRecord) -> bool {
        let servers = self.cluster_view.servers();
        let listed = servers.record(server.incarnation.id());
        let listed = listed.filter(|listed| listed.incarnation == server.incarnation);
        versions.allows(listed.unwrap_or(server).software_version.as_ref())
    }

    /// Checks just before a send that the server may still be used; the error is the reason why
    /// not. A send to a cold or rate-limited server is taken from this gateway's share.
    pub fn try_reserve_send(
        &self,
        server: &ServerRecord,
    ) -> Result<SendPermit, ServerAvailability> {
        let servers = self.cluster_view.servers();
        let now = self.cluster_view.clock().now();
        let cold_limits = self.cold_limits(&server.service);
        let availability = servers.availability(&server.incarnation, cold_limits, now);
        let permit = SendPermit::check(availability).and_then(|permit| {
            let Some(rate_limit) = availability.rate_limit() else {
                return Ok(permit);
            };
            let inputs = self.share_inputs(&servers, &server.service, rate_limit);
            let is_in_share = self.send_shares.try_send(&server.incarnation, &inputs, now);
            is_in_share.then_some(permit).ok_or(availability)
        });
        if availability == ServerAvailability::Free && cold_limits.is_some() {
            self.send_shares.record_send(&server.incarnation, now);
        }
        if permit.is_err() {
            self.counters
                .count_reason("servers.withheld", availability.name());
        }
        permit
    }

    /// Why no server of a service in allowed zones can be chosen for a call now, which is also
    /// logged.
    pub fn no_server_available(
        &self,
        service: &ServiceId,
        zones: &AllowedZones,
        call: &CallId,
    ) -> NoServerAvailable {
        let servers = self.cluster_view.servers();
        let now = self.cluster_view.clock().now();
        let cold_limits = self.cold_limits(service);
        let of_service = servers
            .all()
            .filter(|server| server.service == *service && zones.contains(&server.zone));
        let mut availabilities: Vec<_> = of_service
            .map(|server| (server, servers.availability_of(server, cold_limits, now)))
            .collect();
        let counts = availability_counts(availabilities.iter().map(|(_, one)| *one));
        info!(
            call = call.as_str(), service = service.as_str(), servers = counts.as_str();
            "request: no server available"
        );
        availabilities.retain(|(_, availability)| *availability != ServerAvailability::Leaving);
        // Unlimited servers, if there are any, were tried already; the shares of the others are
        // used up.
        let is_any = |holds: fn(&ServerAvailability) -> bool| {
            availabilities.iter().any(|(_, one)| holds(one))
        };
        let server_selector = self.server_selector();
        let is_full_after_backoff = availabilities.iter().any(|(server, availability)| {
            *availability == ServerAvailability::Free
                && server_selector.is_full_after_backoff(&server.incarnation, now)
        });
        drop(server_selector);
        let has_free = is_any(|one| *one == ServerAvailability::Free);
        let has_backing_off = is_any(|one| one.backoff_until().is_some());
        let code = if is_any(|one| matches!(one, ServerAvailability::Limited { .. })) {
            ResultCode::ServersLimited
        } else if is_any(|one| matches!(one, ServerAvailability::Cold { .. })) {
            ResultCode::ServersCold
        } else if is_full_after_backoff || (has_backing_off && !has_free) {
            ResultCode::ServersBackingOff
        } else if !availabilities.is_empty() && !is_any(|one| *one != ServerAvailability::Evacuated)
        {
            ResultCode::ZonesEvacuated
        } else {
            ResultCode::NoBackendServer
        };
        let soon = is_full_after_backoff.then_some(now + RECOVERING_RETRY_DELAY);
        let choice_times = availabilities.iter().filter_map(|(server, availability)| {
            availability.backoff_until().or_else(|| {
                let rate_limit = availability.rate_limit()?;
                let inputs = self.share_inputs(&servers, service, rate_limit);
                self.send_shares
                    .next_choice_at(&server.incarnation, &inputs, now)
            })
        });
        let has_known_time = matches!(
            code,
            ResultCode::ServersLimited | ResultCode::ServersBackingOff
        );
        NoServerAvailable {
            code,
            retry_after: choice_times
                .chain(soon)
                .min()
                .filter(|_| has_known_time)
                .map(|at| at.saturating_sub(now)),
        }
    }

    /// Limits of a service's cold servers.
    pub(crate) fn cold_limits(&self, service: &ServiceId) -> Option<ColdLimits> {
        let routing = self.cluster_view.routing()?;
        routing.cold_limits(service, self.send_shares.cold_allowance())
    }

    fn share_inputs(
        &self,
        servers: &ServerList,
        service: &ServiceId,
        rate_limit: SendRateLimit,
    ) -> ShareInputs {
        let (own, gateways) = self.cluster_view.announced_addresses();
        ShareInputs {
            rate_limit,
            servers: servers.not_leaving(service).count(),
            own,
            gateways,
        }
    }
}

/// Numbers of servers by the name of their availability, such as `leaving=2,limited=1`.
fn availability_counts(availabilities: impl Iterator<Item = ServerAvailability>) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for availability in availabilities {
        *counts.entry(availability.name()).or_default() += 1;
    }
    let counts: Vec<_> = counts
        .iter()
        .map(|(name, count)| format!("{name}={count}"))
        .collect();
    counts.join(",")
}
