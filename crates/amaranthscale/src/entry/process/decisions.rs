//! The actor that owns an entry's decisions: admission, limits, routing and retry budgets.
//!
//! Requests run as tasks of their own and ask it in short messages. All of its state changes in
//! one place and in one order, so the parts from the core need no locks.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{HostId, Incarnation, OrganisationId, ServiceId, ZoneId};
use amaranthscale_core::process::{
    Admission, AttainmentBook, AttainmentCounts, AttemptEnd, CostBook, CostKey, CostTotals,
    OrganisationLimits, Refusal, RetryBudget, Router, RouterSettings, StageEstimate,
};
use amaranthscale_core::unit::{Budget, Class, RatePerSecond};
use amaranthscale_core::wire::{HostList, StageCost, Stamp};
use log::{debug, info};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use serde::Serialize;
use tokio::time::Instant;

use super::hedges::Hedges;
use super::{AttemptKind, KnownSidecar, Reservation, Route, RouteQuestion};

/// When to come back after the retry budget was found empty; long enough for it to fill.
const OUT_OF_RETRIES_MS: u64 = 500;
/// When to come back after the later stages were found to need all that is left; their queues move
/// within it.
const TOO_LATE_MS: u64 = 500;
/// Refused first when the actor is gone; only a stopping process sees it.
const STOPPING_RETRY_MS: u64 = 1000;

/// What the admission of a request depends on.
#[derive(Debug, Clone)]
pub struct AdmissionQuestion {
    /// Organisation that asks.
    pub organisation: OrganisationId,
    /// Class of that organisation.
    pub class: Class,
    /// Limit of that organisation over all entries.
    pub limit_per_second: RatePerSecond,
    /// Most requests of that organisation at once.
    pub max_in_flight: u32,
    /// Services of the stages to come.
    pub services: Vec<ServiceId>,
    /// Time until the answer is due.
    pub budget: Budget,
}

/// How an attempt ended, for routing and the books.
#[derive(Debug, Clone)]
pub struct AttemptReport {
    /// Host of the sidecar.
    pub host: HostId,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Time from dispatch to end.
    pub elapsed: Duration,
    /// State of the sidecar at the end, if it answered.
    pub stamp: Option<Stamp>,
    /// Organisation that the work was for.
    pub organisation: OrganisationId,
    /// Stage that the attempt worked on.
    pub stage: String,
    /// What the attempt cost.
    pub cost: StageCost,
}

/// A message to the actor.
#[derive(Debug)]
pub enum Decision {
    /// May a request start?
    Admit(
        AdmissionQuestion,
        RpcReplyPort<Result<Reservation, Refusal>>,
    ),
    /// An admission was not acted on.
    NotStarted(OrganisationId),
    /// A route was not acted on.
    NotSent(HostId),
    /// Which sidecar takes the next attempt?
    Route(RouteQuestion, RpcReplyPort<Result<Route, Refusal>>),
    /// A sidecar told its state.
    Observe(Box<Stamp>),
    /// An attempt ended.
    AttemptEnded(Box<AttemptReport>),
    /// A request ended with its final code.
    RequestEnded(OrganisationId, Class, ResultCode),
    /// The host list changed.
    Hosts(HostList),
    /// Where is a host?
    Address(HostId, RpcReplyPort<Option<SocketAddr>>),
    /// What do the books say?
    Status(RpcReplyPort<DecisionsStatus>),
}

/// The actor's part of `/status`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DecisionsStatus {
    /// Requests that have started and not ended.
    pub in_flight: u64,
    /// Version of the host list in use.
    pub host_list_version: u64,
    /// Hosts in the host list.
    pub hosts: usize,
    /// Final answers by class and organisation.
    pub attainment: Vec<AttainmentLine>,
    /// Cost by organisation and stage.
    pub costs: Vec<CostLine>,
}

/// Final answers of one organisation.
#[derive(Debug, Clone, Serialize)]
pub struct AttainmentLine {
    /// Class of the organisation.
    pub class: Class,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Its answers.
    #[serde(flatten)]
    pub counts: AttainmentCounts,
}

/// Cost of one organisation at one stage.
#[derive(Debug, Clone, Serialize)]
pub struct CostLine {
    /// Organisation that the work was for.
    pub organisation: OrganisationId,
    /// Stage that did it.
    pub stage: String,
    /// Cost since the entry started.
    #[serde(flatten)]
    pub totals: CostTotals,
}

/// What the actor starts with.
#[derive(Debug, Clone)]
pub struct DecisionsArguments {
    /// Host of the entry.
    pub host: HostId,
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Seed of all random choices.
    pub seed: u64,
    /// Retries allowed for each hundred first tries.
    pub retry_percent: u32,
    /// Hedges allowed for each hundred first tries.
    pub hedge_percent: u32,
}

/// The actor.
#[derive(Debug)]
pub struct Decisions;

/// State of the actor.
#[derive(Debug)]
pub struct DecisionsState {
    started: Instant,
    router: Router,
    admission: Admission,
    retries: RetryBudget,
    hedges: Hedges,
    limits: OrganisationLimits,
    costs: CostBook,
    attainment: AttainmentBook,
    in_flight: u64,
    live_entries: u32,
    hosts: HostList,
}

impl Actor for Decisions {
    type Msg = Decision;
    type State = DecisionsState;
    type Arguments = DecisionsArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<Decision>,
        arguments: DecisionsArguments,
    ) -> Result<DecisionsState, ActorProcessingErr> {
        Ok(DecisionsState::new(arguments))
    }

    async fn handle(
        &self,
        myself: ActorRef<Decision>,
        message: Decision,
        state: &mut DecisionsState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Decision::Admit(question, reply) => {
                answer(reply, state.admit(&question, &myself));
            }
            Decision::NotStarted(organisation) => state.not_started(&organisation),
            Decision::Route(question, reply) => {
                answer(reply, state.route(&question, &myself));
            }
            Decision::NotSent(host) => state.not_sent(&host),
            Decision::Observe(stamp) => state.observe(&stamp),
            Decision::AttemptEnded(report) => state.attempt_ended(&report),
            Decision::RequestEnded(organisation, class, code) => {
                state.request_ended(&organisation, class, code);
            }
            Decision::Hosts(hosts) => state.take_hosts(hosts),
            Decision::Address(host, reply) => {
                answer(reply, state.router.host(&host).map(|record| record.address));
            }
            Decision::Status(reply) => answer(reply, state.status()),
        }
        Ok(())
    }
}

/// Asks the actor.
#[derive(Debug, Clone)]
pub struct DecisionsHandle {
    actor: ActorRef<Decision>,
}

impl DecisionsHandle {
    /// Asks an actor that has been started.
    #[must_use]
    pub const fn new(actor: ActorRef<Decision>) -> Self {
        Self { actor }
    }

    /// Whether a request may start.
    pub async fn admit(&self, question: AdmissionQuestion) -> Result<Reservation, Refusal> {
        self.ask(|reply| Decision::Admit(question, reply))
            .await
            .unwrap_or_else(|| Err(stopping()))
    }

    /// The sidecar for the next attempt.
    pub async fn route(&self, question: RouteQuestion) -> Result<Route, Refusal> {
        self.ask(|reply| Decision::Route(question, reply))
            .await
            .unwrap_or_else(|| Err(stopping()))
    }

    /// The address of a host that the host list shows.
    pub async fn address(&self, host: &HostId) -> Option<SocketAddr> {
        let host = host.clone();
        self.ask(|reply| Decision::Address(host, reply))
            .await
            .flatten()
    }

    /// What the books say.
    pub async fn status(&self) -> DecisionsStatus {
        self.ask(Decision::Status).await.unwrap_or_default()
    }

    /// Tells the actor something that needs no answer.
    pub fn tell(&self, message: Decision) {
        if self.actor.cast(message).is_err() {
            debug!("entry: decisions have stopped, a report is dropped");
        }
    }

    async fn ask<T: Send + 'static>(
        &self,
        message: impl FnOnce(RpcReplyPort<T>) -> Decision,
    ) -> Option<T> {
        match self.actor.call(message, None).await {
            Ok(ractor::rpc::CallResult::Success(answer)) => Some(answer),
            _ => None,
        }
    }
}

impl DecisionsState {
    fn new(arguments: DecisionsArguments) -> Self {
        Self {
            started: Instant::now(),
            router: Router::new(RouterSettings::new(arguments.zone), arguments.seed),
            admission: Admission::new(arguments.seed),
            retries: RetryBudget::new(arguments.retry_percent),
            hedges: Hedges::new(arguments.hedge_percent),
            limits: OrganisationLimits::new(),
            costs: CostBook::new(arguments.host, Incarnation::new(arguments.seed)),
            attainment: AttainmentBook::default(),
            in_flight: 0,
            live_entries: 1,
            hosts: HostList::default(),
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn admit(
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

    fn not_started(&mut self, organisation: &OrganisationId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.limits.ended(organisation);
    }

    fn not_sent(&mut self, host: &HostId) {
        let now = self.now();
        self.router
            .ended(host, AttemptEnd::Cancelled, Duration::ZERO, now);
    }

    fn route(
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
        self.router.started(&host, now);
        let address = self.router.host(&host).map(|record| record.address);
        let address = address.ok_or_else(stopping)?;
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
        let left = Budget::new(question.due.saturating_duration_since(now));
        let later = self.estimates(&question.later, question.class);
        now + Admission::stage_budget(left, &later).duration()
    }

    fn estimates(&self, services: &[ServiceId], class: Class) -> Vec<StageEstimate> {
        let now = self.now();
        let estimate = |service| self.router.estimate(service, class, now);
        services.iter().map(estimate).collect()
    }

    fn observe(&mut self, stamp: &Stamp) {
        let now = self.now();
        self.router.observe(&stamp.host, stamp, now);
    }

    fn attempt_ended(&mut self, report: &AttemptReport) {
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

    fn request_ended(&mut self, organisation: &OrganisationId, class: Class, code: ResultCode) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.limits.ended(organisation);
        self.attainment.record(class, organisation, code, true);
    }

    fn take_hosts(&mut self, hosts: HostList) {
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

    fn status(&self) -> DecisionsStatus {
        DecisionsStatus {
            in_flight: self.in_flight,
            host_list_version: self.hosts.version,
            hosts: self.hosts.hosts.len(),
            attainment: self.attainment_lines(),
            costs: self.cost_lines(),
        }
    }
}

fn answer<T: Send + 'static>(reply: RpcReplyPort<T>, answer: T) {
    // The asker may have gone away with its caller.
    let _ = reply.send(answer);
}

const fn stopping() -> Refusal {
    Refusal {
        code: ResultCode::NotReady,
        retry_after_ms: STOPPING_RETRY_MS,
    }
}
