//! Lists the servers as this gateway uses them.

use std::time::Duration;

use amaranthscale_core::id::{ServerIncarnation, ServiceId};
use amaranthscale_core::process::{ColdLimits, ServerList, ServerUse};
use hyper::{Response, StatusCode};

use super::super::process::GatewayContext;
use crate::connection::{ResponseBody, serialised_response};
use crate::operator::{GatewayServers, ServerReport};

/// What a gateway knows of servers beside their list.
#[derive(Debug, Clone, Copy)]
pub struct ListingInputs<C, E, F> {
    /// Limits of a service's cold servers.
    pub cold_limits: C,
    /// Time since a server's ejection, if it is ejected.
    pub ejected_for: E,
    /// Requests and calls of this gateway at a server.
    pub in_flight: F,
}

/// Reports of all listed servers in order of their ids, then of drained ones that are not listed.
pub fn server_reports<C, E, F>(
    servers: &ServerList,
    inputs: &ListingInputs<C, E, F>,
    now: Duration,
) -> Vec<ServerReport>
where
    C: Fn(&ServiceId) -> Option<ColdLimits>,
    E: Fn(&ServerIncarnation) -> Option<Duration>,
    F: Fn(&ServerIncarnation) -> usize,
{
    let reports = servers.all().map(|record| {
        let server = &record.incarnation;
        let cold_limits = (inputs.cold_limits)(&record.service);
        let availability = servers.availability_of(record, cold_limits, now);
        let drain = servers.drain(server.id());
        let ejected_for = (inputs.ejected_for)(server);
        let server_use = ServerUse::of(availability, drain.is_some(), ejected_for, now);
        ServerReport::of(record, server_use, (inputs.in_flight)(server)).with_drain(drain)
    });
    let unlisted = servers
        .drains()
        .filter(|(server, _)| servers.record(server).is_none())
        .map(|(server, drain)| ServerReport::of_unlisted(server, drain));
    reports.chain(unlisted).collect()
}

/// Answers `GET /servers`.
pub(super) fn answer(context: &GatewayContext) -> Response<ResponseBody> {
    let servers = context.cluster_view.servers();
    let now = context.cluster_view.clock().now();
    let inputs = ListingInputs {
        cold_limits: |service: &ServiceId| context.cold_limits(service),
        ejected_for: |server: &ServerIncarnation| {
            context.server_selector().ejected_for(server, now)
        },
        in_flight: |server: &ServerIncarnation| {
            let requests = context.server_selector().in_flight(server);
            requests + context.pool.calls_in_flight().count(server)
        },
    };
    let listing = GatewayServers {
        gateway: context.instance.clone(),
        servers: server_reports(&servers, &inputs, now),
        moving: context.moving_runs.list(now),
    };
    serialised_response(StatusCode::OK, &listing)
}
