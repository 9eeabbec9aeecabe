//! What an entry decides by, and the decisions themselves.

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
    AdmissionQuestion, AttemptKind, AttemptReport, Decision, DecisionsArguments, DecisionsStatus,
    KnownSidecar, Reservation, Route, RouteQuestion,
};
use crate::process::ms;

/// When to come back after the retry budget was found empty; long enough for it to fill.
const OUT_OF_RETRIES_MS: u64 = 500;
/// When to come back after the later stages were found to need all that is left; their queues move
/// within it.
const TOO_LATE_MS: u64 = 500;
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
    /// Evacuated availability zones, each since when.
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
        question: &AdmissionQuestion,
        myself: &ActorRef<Decision>,
    ) -> Result<Reservation, Refusal> {
        let now = self.now();
        let estimates = self.estimates(&question.services, question.class);
        self.admission
            .decide(question.budget, &estimates, question.class, now)?;
        self.limits.admit(
            &question.organisation,
            Some(question.limit_per_second),
            Some(question.max_in_flight),
            self.live_entries,
            now,
        )?;
        self.in_flight += 1;
        let undo = Decision::NotStarted(question.organisation.clone());
        Ok(Reservation::new(myself.clone(), undo))
    }

    pub(super) fn not_started(&mut self, organisation: &OrganisationId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.limits.ended(organisation);
    }

    pub(super) fn not_sent(&mut self, host: &HostId) {
        let now = self.now();
        self.router
            .ended(host, AttemptEnd::Cancelled, Duration::ZERO, now);
    }

    pub(super) fn route(
        &mut self,
        question: &RouteQuestion,
        myself: &ActorRef<Decision>,
    ) -> Result<Route, Refusal> {
        let now = self.now();
        let stage_due = self.stage_due(question);
        // An attempt without any time would be refused by each sidecar in turn as expired, and cost
        // the retries of others.
        if question.is_repeatable && stage_due <= Instant::now() {
            return Err(Refusal::new(ResultCode::DeadlineUnreachable, TOO_LATE_MS));
        }
        self.pay(question.kind)?;
        let host = self.router.choose_for(
            &question.service,
            &question.exclude,
            question.affinity,
            question.is_repeatable,
            now,
        )?;
        let address = self.router.host(&host).map(|record| record.address);
        let no_server = Refusal::new(ResultCode::NoBackendServer, OUT_OF_RETRIES_MS);
        let address = address.ok_or(no_server)?;
        self.router.started(&host, now);
        let known = self
            .router
            .incarnation(&host)
            .map(|(incarnation, clock, seen_at)| {
                let clock = clock.plus(now.saturating_sub(seen_at));
                KnownSidecar { incarnation, clock }
            });
        let undo = Decision::NotSent(host.clone());
        Ok(Route {
            host,
            address,
            known,
            stage_due,
            hedge_after: self.hedge_after(question),
            reservation: Reservation::new(myself.clone(), undo),
        })
    }

    /// Takes an attempt from the budget that pays for it.
    fn pay(&mut self, kind: AttemptKind) -> Result<(), Refusal> {
        let is_paid = match kind {
            AttemptKind::First => {
                self.retries.first_try();
                self.hedges.first_try();
                true
            }
            AttemptKind::Resend => true,
            AttemptKind::Retry => self.retries.try_retry(),
            AttemptKind::Hedge => self.hedges.try_hedge(),
        };
        if is_paid {
            Ok(())
        } else {
            Err(Refusal::new(ResultCode::NoBackendServer, OUT_OF_RETRIES_MS))
        }
    }

    /// When a second attempt may run beside the one in question.
    ///
    /// Guards against a settlement that is made twice: two attempts at once are two calls, so only
    /// what may be repeated is ever hedged.
    fn hedge_after(&self, question: &RouteQuestion) -> Option<Duration> {
        if question.kind != AttemptKind::First || !question.is_repeatable {
            return None;
        }
        self.hedges.delay(&question.service)
    }

    /// When the stage must be done, so that the later stages still fit.
    ///
    /// Guards against a call that may not be repeated being refused for the sake of later stages
    /// by an estimate: its caller could not tell whether to ask again. It keeps the whole rest.
    fn stage_due(&self, question: &RouteQuestion) -> Instant {
        if !question.is_repeatable {
            return question.due;
        }
        let now = Instant::now();
        let left = TimeBudget::new(question.due.saturating_duration_since(now));
        let later = self.estimates(&question.later, question.class);
        now + Admission::stage_budget(left, &later).duration()
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

    pub(super) fn take_hosts(&mut self, hosts: HostList) {
        let now = self.now();
        let entries = hosts
            .hosts
            .iter()
            .filter(|host| host.service.is_none())
            .count();
        self.live_entries = u32::try_from(entries).unwrap_or(u32::MAX).max(1);
        self.router.set_hosts(&hosts, now);
        info!(
            "entry: host list {} with {} hosts is in use",
            hosts.version,
            hosts.hosts.len()
        );
        self.hosts = hosts;
    }

    pub(super) fn take_evacuated(&mut self, zones: BTreeSet<ZoneId>) {
        self.router.set_evacuated(&zones);
        for zone in zones
            .iter()
            .filter(|zone| !self.evacuated.contains_key(*zone))
        {
            info!("entry: availability zone {zone} is evacuated");
        }
        let is_back = |zone: &&ZoneId| !zones.contains(*zone);
        for zone in self.evacuated.keys().filter(is_back) {
            info!("entry: availability zone {zone} is taken back");
        }
        let mut former = std::mem::take(&mut self.evacuated);
        let since = |zone: ZoneId| {
            let since = former.remove(&zone).unwrap_or_else(Instant::now);
            (zone, since)
        };
        self.evacuated = zones.into_iter().map(since).collect();
    }

    /// Availability zones of the host list and those that are evacuated, with their servers.
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

    /// Where a host is, if the host list shows it.
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
