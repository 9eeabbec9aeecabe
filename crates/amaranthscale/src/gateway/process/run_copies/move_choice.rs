//! Decides whether a run is moved, and to which engine.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::ServiceId;
use amaranthscale_core::process::{
    ElectiveRun, EngineOverview, MoveReason, RunBackup, RunMove, ServerAvailability, ServerList,
    ServerRecord,
};
use amaranthscale_core::version::TransferSpec;

use super::super::GatewayContext;
use super::MovableRun;

/// Time for which an overview is used: each stream asks for it at each check.
const OVERVIEW_LIFETIME: Duration = Duration::from_millis(250);

/// Overviews of engines by service, with the time at which they were made.
#[derive(Debug, Default)]
pub struct EngineOverviews {
    overviews: Mutex<BTreeMap<ServiceId, (Duration, Arc<EngineOverview>)>>,
}

/// A move that is to begin.
#[derive(Debug)]
pub(super) struct PlannedMove {
    pub(super) source: ServerRecord,
    pub(super) target: ServerRecord,
    pub(super) reason: MoveReason,
}

impl GatewayContext {
    /// The move of a run, if there is a reason for it and it gains enough.
    pub(super) fn plan_move(
        &self,
        run: &MovableRun<'_>,
        transfer: &TransferSpec,
        now: Duration,
    ) -> Option<PlannedMove> {
        if !ElectiveRun::may_move_again(run.left.len()) {
            return None;
        }
        let servers = self.cluster_view.servers();
        match servers.availability(run.engine, None, now) {
            ServerAvailability::Leaving => {
                self.plan_evacuation(&servers, run, MoveReason::Leaving, transfer, now)
            }
            ServerAvailability::Evacuated => {
                self.plan_evacuation(&servers, run, MoveReason::Evacuated, transfer, now)
            }
            _ => self.plan_elective_move(&servers, run, transfer, now),
        }
    }

    /// The move of a run whose engine takes no new requests, if the rest of the run takes much longer
    /// than its copy.
    fn plan_evacuation(
        &self,
        servers: &ServerList,
        run: &MovableRun<'_>,
        reason: MoveReason,
        transfer: &TransferSpec,
        now: Duration,
    ) -> Option<PlannedMove> {
        let source = servers
            .all()
            .find(|server| server.incarnation == *run.engine)?;
        let targets = self.move_targets(servers, run, now);
        if !self.moving_runs.registry().may_leave(&source.incarnation) {
            return None;
        }
        let server_selector = self.server_selector();
        let call = &run.attributes.call;
        let target = RunBackup::target(targets, source, call, &server_selector, now)?;
        let events_left = u32::try_from(run.tokens_left()).unwrap_or(u32::MAX);
        let run_move = RunMove {
            tokens: run.tokens(),
            remaining_time: run.event_time?.saturating_mul(events_left),
            is_other_zone: source.zone != target.zone,
        };
        run_move.is_worthwhile(transfer).then(|| PlannedMove {
            source: source.clone(),
            target: target.clone(),
            reason,
        })
    }

    /// The move of a run from a slow or full engine, if it is the next one of its engine.
    fn plan_elective_move(
        &self,
        servers: &ServerList,
        run: &MovableRun<'_>,
        transfer: &TransferSpec,
        now: Duration,
    ) -> Option<PlannedMove> {
        let source = servers.record(run.engine.id())?;
        let elective = ElectiveRun {
            call: &run.attributes.call,
            engine: source,
            rank: run.rank,
            tokens: run.tokens(),
            tokens_left: run.tokens_left(),
            max_event_gap: run.max_event_gap,
            time_left: run.time_left,
            age: run.age,
            left: run.left,
        };
        if source.incarnation != *run.engine
            || !elective.may_move()
            || self.moving_runs.registry().has_received(run.engine, now)
        {
            return None;
        }
        let overview = self.engine_overview(servers, run.service, now);
        let reason = overview.reason(&elective, &self.server_selector(), now)?;
        let targets = self.move_targets(servers, run, now);
        let target = {
            let server_selector = self.server_selector();
            overview.target(&elective, reason, &targets, transfer, &server_selector, now)?
        };
        let order = elective.order(reason);
        let mut moves = self.moving_runs.registry();
        let is_next = moves.offer(run.engine, elective.call, order, now);
        is_next.then(|| PlannedMove {
            source: source.clone(),
            target: target.clone(),
            reason,
        })
    }

    /// The engines that may run a request, take requests without a limit and may receive another run.
    fn move_targets<'a>(
        &self,
        servers: &'a ServerList,
        run: &MovableRun<'_>,
        now: Duration,
    ) -> Vec<&'a ServerRecord> {
        let mut free = self.free_engines(servers, run.service, now);
        let moves = self.moving_runs.registry();
        free.retain(|server| {
            run.zones.contains(&server.zone)
                && run.versions.allows(server.software_version.as_ref())
                && moves.may_enter(&server.incarnation)
        });
        free
    }

    /// The engines of a service that take requests without a limit.
    fn free_engines<'a>(
        &self,
        servers: &'a ServerList,
        service: &ServiceId,
        now: Duration,
    ) -> Vec<&'a ServerRecord> {
        let cold_limits = self.cold_limits(service);
        let is_free = |server: &&ServerRecord| {
            servers.availability_of(server, cold_limits, now) == ServerAvailability::Free
        };
        let of_service = servers
            .all()
            .filter(|server| server.service == *service && !server.is_leaving);
        of_service.filter(is_free).collect()
    }

    /// The overview of a service's engines, which is made anew some times a second.
    fn engine_overview(
        &self,
        servers: &ServerList,
        service: &ServiceId,
        now: Duration,
    ) -> Arc<EngineOverview> {
        let overviews = &self.engine_overviews.overviews;
        let mut overviews = overviews.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((made_at, overview)) = overviews.get(service)
            && now.saturating_sub(*made_at) < OVERVIEW_LIFETIME
        {
            return Arc::clone(overview);
        }
        let free = self.free_engines(servers, service, now);
        let engines: Vec<_> = servers.not_leaving(service).collect();
        let none = EngineOverview::default();
        let previous = overviews.get(service).map_or(&none, |(_, earlier)| earlier);
        let server_selector = self.server_selector();
        let overview = EngineOverview::new(previous, &engines, &free, &server_selector, now);
        drop(server_selector);
        let overview = Arc::new(overview);
        overviews.insert(service.clone(), (now, Arc::clone(&overview)));
        overview
    }
}
