//! State of the decisions actor and the decisions made from it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{HostId, Incarnation, OrganisationId, ServiceId, ZoneId};
use amaranthscale_core::process::{
    Admission, AttainmentCounts, AttainmentTracker, AttemptEnd, CostKey, CostTotals, CostTracker,
    OrganisationLimits, Refusal, RetryBudget, Router, RouterSettings, StageEstimate,
};
use amaranthscale_core::unit::{Class, TimeBudget};
use amaranthscale_core::wire::{HostList, Stamp};
use log::info;
use ractor::ActorRef;
use tokio::time::Instant;

use super::decisions_status::{AttainmentLine, CostLine, ZoneLine};
use super::hedges::Hedges;
use super::{
    AdmissionQuery, AttemptKind, AttemptReport, DecisionsArguments, DecisionsMessage,
    DecisionsStatus, ObservedSidecar, Reservation, Route, RouteQuery,
};
use crate::process::ms;

/// Retry delay when the retry budget is empty; long enough for it to refill.
const RETRY_BUDGET_REFILL_MS: u64 = 500;
/// Retry delay when the later stages need all of the remaining time; their queues shorten within
/// it.
const LATE_STAGE_RETRY_MS: u64 = 500;
/// State of the actor.
#[derive(Debug)]
pub struct DecisionsState {
    started: Instant,
    router: Router,
    admission: Admission,
    retries: RetryBudget,
    hedges: Hedges,
    limits: OrganisationLimits,
    costs: CostTracker,
    attainment: AttainmentTracker,
    in_flight: u64,
    live_entries: u32,
    hosts: HostList,
    /// Evacuated availability zones and when each evacuation was first seen.
    evacuated: BTreeMap<ZoneId, Instant>,
}

impl DecisionsState {
    pub(super) fn new(arguments: DecisionsArguments) -> Self {
        Self {
            started: Instant::now(),
            router: Router::new(RouterSettings::new(arguments.zone), arguments.seed),
            admission: Admission::new(arguments.seed),
            retries: RetryBudget::new(arguments.retry_percent),
            hedges: Hedges::new(arguments.hedge_percent),
            limits: OrganisationLimits::new(),
            costs: CostTracker::new(arguments.host, Incarnation::new(arguments.seed)),
            attainment: AttainmentTracker::default(),
            in_flight: 0,
            live_entries: 1,
            hosts: HostList::default(),
            evacuated: BTreeMap::new(),
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(super) fn admit(
        &mut self,
        query: &AdmissionQuery,
        myself: &ActorRef<DecisionsMessage>,
    ) -> Result<Reservation, Refusal> {
        let now = self.now();
        let estimates = self.estimates(&query.services, query.class);
        self.admission
            .decide(query.budget, &estimates, query.class, now)?;
        self.limits.admit(
            &query.organisation,
            Some(query.limit_per_second),
            Some(query.max_in_flight),
            self.live_entries,
            now,
        )?;
        self.in_flight += 1;
        let release = DecisionsMessage::ReleaseAdmission(query.organisation.clone());
        Ok(Reservation::new(myself.clone(), release))
    }

    pub(super) fn release_admission(&mut self, organisation: &OrganisationId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.limits.ended(organisation);
    }

    pub(super) fn release_route(&mut self, host: &HostId) {
        let now = self.now();
        self.router
            .ended(host, AttemptEnd::Cancelled, Duration::ZERO, now);
    }

    pub(super) fn route(
        &mut self,
        query: &RouteQuery,
        myself: &ActorRef<DecisionsMessage>,
    ) -> Result<Route, Refusal> {
        let now = self.now();
        let stage_deadline = self.stage_deadline(query);
        // Each sidecar in turn would refuse an attempt without any time left as expired, which
        // would use up the retry budget of other requests.
        if query.is_repeatable && stage_deadline <= Instant::now() {
            return Err(Refusal::new(
                ResultCode::DeadlineUnreachable,
                LATE_STAGE_RETRY_MS,
            ));
        }
        self.charge(query.kind)?;
        let host = self.router.choose_for(
            &query.service,
            &query.exclude,
            query.affinity,
            query.is_repeatable,
            now,
        )?;
        let address = self.router.host(&host).map(|record| record.address);
        let no_server = Refusal::new(ResultCode::NoBackendServer, RETRY_BUDGET_REFILL_MS);
        let address = address.ok_or(no_server)?;
        self.router.started(&host, now);
        let observed = self
            .router
            .incarnation(&host)
            .map(|(incarnation, clock, seen_at)| {
                let clock = clock.plus(now.saturating_sub(seen_at));
                ObservedSidecar { incarnation, clock }
            });
        let release = DecisionsMessage::ReleaseRoute(host.clone());
        Ok(Route {
            host,
            address,
            observed,
            stage_deadline,
            hedge_after: self.hedge_after(query),
            reservation: Reservation::new(myself.clone(), release),
        })
    }

    /// Charges an attempt to its budget.
    fn charge(&mut self, kind: AttemptKind) -> Result<(), Refusal> {
        let is_charged = match kind {
            AttemptKind::First => {
                self.retries.first_try();
                self.hedges.first_try();
                true
            }
            AttemptKind::Resend => true,
            AttemptKind::Retry => self.retries.try_retry(),
            AttemptKind::Hedge => self.hedges.try_hedge(),
        };
        if is_charged {
            Ok(())
        } else {
            Err(Refusal::new(
                ResultCode::NoBackendServer,
                RETRY_BUDGET_REFILL_MS,
            ))
        }
    }

    /// Delay after which an attempt may be hedged.
    ///
    /// Two parallel attempts are two calls, so only repeatable calls are hedged; a hedged
    /// settlement could be paid twice.
    fn hedge_after(&self, query: &RouteQuery) -> Option<Duration> {
        if query.kind != AttemptKind::First || !query.is_repeatable {
            return None;
        }
        self.hedges.delay(&query.service)
    }

    /// Time by which the stage must end so that the later stages meet the deadline.
    ///
    /// A call that may not be repeated gets all of the remaining time: refused because of an
    /// estimate for later stages, its caller could not tell whether to retry.
    fn stage_deadline(&self, query: &RouteQuery) -> Instant {
        if !query.is_repeatable {
            return query.deadline;
        }
        let now = Instant::now();
        let left = TimeBudget::new(query.deadline.saturating_duration_since(now));
        let later_estimates = self.estimates(&query.later_services, query.class);
        now + Admission::stage_budget(left, &later_estimates).duration()
    }

    fn estimates(&self, services: &[ServiceId], class: Class) -> Vec<StageEstimate> {
        let now = self.now();
        let estimate = |service| self.router.estimate(service, class, now);
        services.iter().map(estimate).collect()
    }

    pub(super) fn observe(&mut self, stamp: &Stamp) {
        let now = self.now();
        self.router.observe(&stamp.host, stamp, now);
    }

    pub(super) fn attempt_ended(&mut self, report: &AttemptReport) {
        let now = self.now();
        if let Some(stamp) = &report.stamp {
            self.router.observe(&report.host, stamp, now);
        }
        self.router
            .ended(&report.host, report.end, report.elapsed, now);
        let is_useful = report.end == AttemptEnd::Complete;
        let record = self.router.host(&report.host);
        if is_useful && let Some(service) = record.and_then(|record| record.service.as_ref()) {
            self.hedges.record(service, report.elapsed);
        }
        self.costs
            .record(&report.organisation, &report.stage, &report.cost, is_useful);
    }

    pub(super) fn request_ended(
        &mut self,
        organisation: &OrganisationId,
        class: Class,
        code: ResultCode,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.limits.ended(organisation);
        self.attainment.record(class, organisation, code, true);
    }

    pub(super) fn apply_hosts(&mut self, hosts: HostList) {
        let now = self.now();
        let entries = hosts
            .hosts
            .iter()
            .filter(|host| host.service.is_none())
            .count();
        self.live_entries = u32::try_from(entries).unwrap_or(u32::MAX).max(1);
        self.router.set_hosts(&hosts, now);
        info!(
            "entry: applied host list {} with {} hosts",
            hosts.version,
            hosts.hosts.len()
        );
        self.hosts = hosts;
    }

    pub(super) fn apply_evacuated_zones(&mut self, zones: BTreeSet<ZoneId>) {
        self.router.set_evacuated(&zones);
        for zone in zones
            .iter()
            .filter(|zone| !self.evacuated.contains_key(*zone))
        {
            info!("entry: availability zone {zone} is evacuated");
        }
        let is_taken_back = |zone: &&ZoneId| !zones.contains(*zone);
        for zone in self.evacuated.keys().filter(is_taken_back) {
            info!("entry: availability zone {zone} is taken back");
        }
        let mut previous = std::mem::take(&mut self.evacuated);
        let since = |zone: ZoneId| {
            let since = previous.remove(&zone).unwrap_or_else(Instant::now);
            (zone, since)
        };
        self.evacuated = zones.into_iter().map(since).collect();
    }

    /// Status of each availability zone that is in the host list or evacuated.
    fn zone_lines(&self) -> Vec<ZoneLine> {
        let mut servers: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        for host in self
            .hosts
            .hosts
            .iter()
            .filter(|host| host.service.is_some())
        {
            *servers.entry(&host.zone).or_default() += 1;
        }
        for zone in self.evacuated.keys() {
            servers.entry(zone).or_default();
        }
        let line = |(zone, servers): (&ZoneId, usize)| ZoneLine {
            zone: zone.clone(),
            servers,
            evacuated_ms: self.evacuated.get(zone).map(|since| ms(since.elapsed())),
        };
        servers.into_iter().map(line).collect()
    }

    fn attainment_lines(&self) -> Vec<AttainmentLine> {
        let line = |(class, organisation, counts): (Class, &OrganisationId, &AttainmentCounts)| {
            AttainmentLine {
                class,
                organisation: organisation.clone(),
                counts: counts.clone(),
            }
        };
        self.attainment.by_organisation().map(line).collect()
    }

    fn cost_lines(&self) -> Vec<CostLine> {
        let line = |(key, totals): (&CostKey, &CostTotals)| CostLine {
            organisation: key.organisation.clone(),
            stage: key.stage.clone(),
            totals: *totals,
        };
        self.costs.totals().map(line).collect()
    }

    /// The address of a host, if the host list contains it.
    pub(super) fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.router.host(host).map(|record| record.address)
    }

    pub(super) fn status(&self) -> DecisionsStatus {
        DecisionsStatus {
            in_flight: self.in_flight,
            host_list_version: self.hosts.version,
            hosts: self.hosts.hosts.len(),
            zones: self.zone_lines(),
            attainment: self.attainment_lines(),
            costs: self.cost_lines(),
        }
    }
}
