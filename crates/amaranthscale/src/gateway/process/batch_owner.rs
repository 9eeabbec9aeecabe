//! The batch owner: an actor around the core's batcher.
//!
//! It has work only while this gateway is the owner of the cell, or other gateways consider it the
//! owner. Calls to stage servers run as tasks that send their results back to the actor.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::{CallId, ServerIncarnation, ServiceId};
use amaranthscale_core::process::{
    Batcher, Cell, ColdAllowance, JobEvent, JobFailure, JobId, JobRefusal, LagChange, LagDetector,
    Rank, ServerAvailability, StageTimes,
};
use log::{debug, info, warn};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::super::clock::ms;
use super::super::connection::ConnectionPool;
use super::super::version::ClusterView;
use super::super::{Dialect, Feature, FeatureSet};
use super::batch_calls::{BatchCaller, CallEnd, run_batch, send_free_request};
use super::batch_message::{BatchOwnerMessage, JobOutcome, JobSource, JobUpdate, Submission};
use super::{JobGuard, LimitTracker};
use crate::process::{Counters, Latencies};

/// Maximum time between two ticks while jobs are queued, to notice servers that became available
/// and jobs that became late.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which messages are collected before a tick processes them: a hundredth of a call. At
/// thousands of messages a second, a tick for each would take most of the owner's CPU time.
const COALESCE_DELAY: Duration = Duration::from_millis(2);
/// Retry delay for callers while the owner is overloaded: it catches up within some hundred
/// milliseconds once it accepts no more jobs.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The batch owner's actor.
#[derive(Debug)]
pub struct BatchOwner;

/// Arguments of the actor.
#[derive(Debug, Clone)]
pub struct BatchOwnerArguments {
    /// The owned cell.
    pub cell: Cell,
    /// Routing and servers.
    pub cluster_view: Arc<ClusterView>,
    /// How far cold servers may exceed their own rate.
    pub cold_allowance: ColdAllowance,
    /// Connections to stage servers.
    pub pool: Arc<ConnectionPool>,
    /// The enabled features.
    pub features: FeatureSet,
    /// Headers and formats of calls to stage servers.
    pub dialect: Arc<Dialect>,
    /// Counts results of calls and jobs.
    pub counters: Arc<Counters>,
    /// Latencies of calls by service.
    pub latencies: Arc<Latencies>,
    /// Rate limits that servers report.
    pub limits: Arc<LimitTracker>,
}

/// State of the actor.
#[derive(Debug)]
pub struct BatchOwnerState {
    arguments: BatchOwnerArguments,
    batcher: Batcher,
    pending: BTreeMap<JobId, PendingJob>,
    servers_freeing: BTreeSet<ServerIncarnation>,
    next_tick: Option<ScheduledTick>,
    lag_detector: LagDetector,
    is_stopping: bool,
}

/// The next scheduled tick.
#[derive(Debug)]
struct ScheduledTick {
    due: Instant,
    timer: JoinHandle<Result<(), ractor::MessagingErr<BatchOwnerMessage>>>,
}

/// The submitter of a job that has not ended.
#[derive(Debug)]
struct PendingJob {
    call: CallId,
    updates: mpsc::UnboundedSender<JobUpdate>,
    accepted_at: Instant,
}

impl Actor for BatchOwner {
    type Msg = BatchOwnerMessage;
    type State = BatchOwnerState;
    type Arguments = BatchOwnerArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        arguments: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let is_paced = arguments.features.is_enabled(Feature::EngineSpeed);
        let has_forecast = arguments.features.is_enabled(Feature::AdmissionForecast);
        let batcher = Batcher::new()
            .with_paced_calls(is_paced)
            .with_forecast(has_forecast);
        let mut state = BatchOwnerState {
            arguments,
            batcher,
            pending: BTreeMap::new(),
            servers_freeing: BTreeSet::new(),
            next_tick: None,
            lag_detector: LagDetector::default(),
            is_stopping: false,
        };
        state.update_servers();
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.arguments.cluster_view.clock().now();
        match message {
            BatchOwnerMessage::Submit(submission) => state.submit(&myself, submission, now),
            BatchOwnerMessage::Release(job) => {
                state.pending.remove(&job);
                state.batcher.release(job);
            }
            BatchOwnerMessage::CallEnded(batch, end, reported_load) => {
                state.batcher.batch_ended(batch, end, reported_load, now);
            }
            BatchOwnerMessage::ClusterChanged => state.update_servers(),
            BatchOwnerMessage::ResultsFreed(free_request) => {
                state.servers_freeing.remove(&free_request.server);
                state.batcher.results_freed(&free_request);
            }
            BatchOwnerMessage::Tick(due) => {
                state.tick(&myself, due, now);
                return Ok(());
            }
            BatchOwnerMessage::Stop => {
                state.is_stopping = true;
                state.batcher.stop();
            }
        }
        state.schedule_tick(&myself, COALESCE_DELAY);
        Ok(())
    }
}

impl BatchOwnerState {
    /// Sends the calls that are due and delivers the events of jobs.
    fn tick(&mut self, myself: &ActorRef<BatchOwnerMessage>, due: Instant, now: Duration) {
        if self.next_tick.as_ref().is_none_or(|next| next.due != due) {
            // An earlier tick replaced this one.
            return;
        }
        self.next_tick = None;
        self.record_lag(due, now);
        self.send_free_requests(myself);
        self.send_batches(myself, now);
        self.deliver_events();
        self.record_forecast_errors(now);
        self.record_probe_ends();
        self.hand_over();
        if self.batcher.job_count() > 0 {
            // Without jobs no tick is scheduled, so that an idle owner does not wake up.
            self.schedule_tick(myself, MAX_TICK_INTERVAL);
        }
    }

    /// Schedules a tick within a time, unless an earlier one is due.
    fn schedule_tick(&mut self, myself: &ActorRef<BatchOwnerMessage>, within: Duration) {
        let due = Instant::now() + within;
        match &self.next_tick {
            Some(next) if next.due <= due => return,
            Some(later) => later.timer.abort(),
            None => {}
        }
        let timer = myself.send_after(within, move || BatchOwnerMessage::Tick(due));
        self.next_tick = Some(ScheduledTick { due, timer });
    }

    fn record_lag(&mut self, due: Instant, now: Duration) {
        let late = due.elapsed();
        self.arguments.latencies.record("owner.late", late);
        let Some(lag_change) = self.lag_detector.observe(now.saturating_sub(late), now) else {
            return;
        };
        let (jobs, waiting) = (self.batcher.job_count(), self.batcher.queued_stages());
        match lag_change {
            LagChange::FellBehind => {
                self.arguments.counters.count("owner.behind");
                warn!(late_ms = ms(late), jobs, waiting; "batches: overloaded, refusing new jobs");
            }
            LagChange::CaughtUp => info!(jobs, waiting; "batches: caught up, accepting jobs again"),
        }
    }

    /// Accepts a job, or refuses it while the owner is behind.
    ///
    /// Without the refusal an overload would never end: jobs would be processed after their callers
    /// had left, and the work spent on them would make the next ones late as well.
    fn submit(
        &mut self,
        myself: &ActorRef<BatchOwnerMessage>,
        submission: Submission,
        now: Duration,
    ) {
        let Submission {
            mut spec,
            accepted,
            updates,
            source,
            arrived_at,
        } = submission;
        if self.is_stopping && source == JobSource::Local {
            // A planned stop of all gateways does not interrupt a request that was accepted.
            self.batcher.resume();
        } else if self.is_stopping {
            // Here and below, a submitter that has left needs no update.
            let _ = updates.send(JobUpdate::Ended(JobOutcome::Stopping));
            return;
        }
        let queued = arrived_at.elapsed();
        spec.target_latency_left = spec.target_latency_left.saturating_sub(queued);
        spec.deadline_left = spec.deadline_left.saturating_sub(queued);
        let (call, retained) = (spec.call.clone(), spec.retained.len());
        if retained > 0 {
            self.arguments
                .counters
                .add("pieces.handed-over", u64::try_from(retained).unwrap_or(0));
            info!(call = call.as_str(), kept = retained; "batches: continuing the job of an earlier owner");
        }
        let stages = spec.stages.iter().map(|stage| stage.service.clone());
        let stages: Vec<_> = stages.collect();
        let submitted = if self.lag_detector.is_behind() {
            Err(JobRefusal::new(
                JobFailure::Overloaded,
                OVERLOAD_RETRY_DELAY,
            ))
        } else {
            self.batcher.submit(spec, now)
        };
        match submitted {
            Ok(job) => {
                self.record_admitted(&updates);
                let accepted_at = Instant::now();
                let pending_job = PendingJob {
                    call,
                    updates,
                    accepted_at,
                };
                self.pending.insert(job, pending_job);
                // Dropped, and the job released, if the submitter has left or leaves before it
                // receives it.
                let _ = accepted.send(JobGuard::new(job, myself.clone()));
            }
            Err(refused) => {
                self.log_refused(&call, &stages, &refused);
                let _ = updates.send(JobUpdate::Ended(refusal(refused)));
            }
        }
    }

    /// While stopping, ends jobs without a running call, so that the next owner continues them with
    /// their results.
    fn hand_over(&mut self) {
        for job in self.batcher.hand_over() {
            if let Some(pending_job) = self.pending.remove(&job) {
                let _ = pending_job
                    .updates
                    .send(JobUpdate::Ended(JobOutcome::Stopping));
            }
        }
    }

    fn update_servers(&mut self) {
        let Some(routing) = self.arguments.cluster_view.routing() else {
            return;
        };
        let servers = self.arguments.cluster_view.servers();
        let own = self.arguments.cell.servers(servers.all());
        let now = self.arguments.cluster_view.clock().now();
        let cold_allowance = self.arguments.cold_allowance;
        let with_availability = own.into_iter().map(|server| {
            let cold_limits = routing.cold_limits(&server.service, cold_allowance);
            (server, servers.availability_of(server, cold_limits, now))
        });
        self.batcher.set_servers(&routing, with_availability, now);
    }

    /// Sends free requests, at most one at a time to each server; results released meanwhile go
    /// with the next one.
    ///
    /// Nothing is sent to an evacuated zone, to a server that leaves or to one that backs off, and a
    /// rate-limited server's calls are left to batches; such servers expire the results themselves.
    fn send_free_requests(&mut self, myself: &ActorRef<BatchOwnerMessage>) {
        let servers_freeing = &self.servers_freeing;
        let servers = self.arguments.cluster_view.servers();
        let now = self.arguments.cluster_view.clock().now();
        let is_excluded = |incarnation: &ServerIncarnation| {
            let availability = servers.availability(incarnation, None, now);
            matches!(
                availability,
                ServerAvailability::Evacuated
                    | ServerAvailability::Limited { .. }
                    | ServerAvailability::BackingOff { .. }
            )
        };
        let may_free = |incarnation: &ServerIncarnation| {
            !servers_freeing.contains(incarnation) && !is_excluded(incarnation)
        };
        for free_request in self.batcher.take_free_requests(may_free) {
            if !servers.is_usable(&free_request.server) {
                self.batcher.results_freed(&free_request);
                continue;
            }
            self.servers_freeing.insert(free_request.server.clone());
            let (myself, caller) = (myself.clone(), self.caller());
            tokio::spawn(async move {
                send_free_request(&caller, &free_request).await;
                // The actor ends only with the process.
                let _ = myself.send_message(BatchOwnerMessage::ResultsFreed(free_request));
            });
        }
    }

    fn send_batches(&mut self, myself: &ActorRef<BatchOwnerMessage>, now: Duration) {
        for batch in self.batcher.next_batches(now) {
            let (myself, caller) = (myself.clone(), self.caller());
            let latencies = Arc::clone(&self.arguments.latencies);
            tokio::spawn(async move {
                let started = Instant::now();
                let CallEnd { end, reported_load } = run_batch(&caller, &batch).await;
                latencies.record(&format!("call.{}", batch.service), started.elapsed());
                // The actor ends only with the process.
                let _ =
                    myself.send_message(BatchOwnerMessage::CallEnded(batch.id, end, reported_load));
            });
        }
    }

    fn caller(&self) -> BatchCaller {
        BatchCaller {
            pool: Arc::clone(&self.arguments.pool),
            dialect: Arc::clone(&self.arguments.dialect),
            cluster_view: Arc::clone(&self.arguments.cluster_view),
            counters: Arc::clone(&self.arguments.counters),
            limits: Arc::clone(&self.arguments.limits),
        }
    }

    fn deliver_events(&mut self) {
        for event in self.batcher.take_events() {
            let (job, outcome) = match event {
                JobEvent::ResultsStored(job, pieces) => {
                    self.send_update(job, JobUpdate::Made(pieces));
                    continue;
                }
                JobEvent::ConnectionLost(job, server, address) => {
                    self.send_update(job, JobUpdate::CutOff { server, address });
                    continue;
                }
                JobEvent::ResultsDropped(job, stage) => {
                    self.send_update(job, JobUpdate::Dropped(stage));
                    continue;
                }
                JobEvent::Done(job, handles, times) => {
                    self.log_done(job, &times);
                    (job, JobOutcome::Done(handles))
                }
                JobEvent::Failed(job, failure) => {
                    self.log_failed(job, failure);
                    (job, JobOutcome::Failed(failure))
                }
                JobEvent::Displaced(job, refused) => {
                    self.log_displaced(job, &refused);
                    (job, refusal(refused))
                }
            };
            if let Some(pending_job) = self.pending.remove(&job) {
                let _ = pending_job.updates.send(JobUpdate::Ended(outcome));
            }
        }
    }

    fn has_forecast(&self) -> bool {
        self.arguments
            .features
            .is_enabled(Feature::AdmissionForecast)
    }

    /// Records how far the forecasts were off, and the ratio by which each service's forecasts are
    /// corrected, in seconds per forecast second.
    fn record_forecast_errors(&mut self, now: Duration) {
        let errors = self.batcher.take_forecast_errors();
        if errors.is_empty() {
            return;
        }
        let latencies = &self.arguments.latencies;
        for error in errors {
            latencies.record("admission.forecast-error", error);
        }
        for (service, ratio) in self.batcher.forecast_ratios(now) {
            let name = format!("admission.forecast-ratio.{service}");
            latencies.record(&name, Duration::from_secs_f64(ratio));
        }
        for (service, rank, ratio) in self.batcher.forecast_ratios_by_rank(now) {
            let Rank {
                organisation,
                route,
            } = rank;
            let name = format!("admission.forecast-ratio.{service}.rank-{organisation}-{route}");
            latencies.record(&name, Duration::from_secs_f64(ratio));
        }
    }

    /// Records when refused jobs would have started, so that operators see false refusals.
    fn record_probe_ends(&mut self) {
        for probe in self.batcher.take_probe_ends() {
            let is_false = probe.is_false_refusal();
            if is_false {
                self.arguments.counters.count("admission.false-refusals");
            }
            debug!(
                call = probe.call.as_str(), stage = probe.service.as_str(),
                probe_ms = ms(probe.waited), limit_ms = ms(probe.limit),
                has_started = probe.has_started, is_false;
                "batches: refusal probed"
            );
        }
    }

    /// Records an accepted job, and tells its gateway, so that the next owner knows of it if this
    /// one ends.
    fn record_admitted(&self, updates: &mpsc::UnboundedSender<JobUpdate>) {
        if self.has_forecast() {
            self.arguments.counters.count("admission.admitted");
            let _ = updates.send(JobUpdate::admitted());
        }
    }

    fn log_refused(&self, call: &CallId, stages: &[ServiceId], refused: &JobRefusal) {
        let (reason, waiting) = (refused.reason, self.batcher.queued_stages());
        let Some(forecast) = refused.forecast else {
            info!(call = call.as_str(), reason:% = reason, waiting; "batches: job refused");
            return;
        };
        self.arguments.counters.count("admission.refused");
        let stage = stages.get(forecast.stage).map_or("", ServiceId::as_str);
        info!(
            call = call.as_str(), reason:% = reason, waiting,
            forecast_ms = ms(forecast.forecast), limit_ms = ms(forecast.limit), stage,
            bound:% = forecast.bound, retry_after_ms = ms(refused.retry_after);
            "batches: job refused"
        );
    }

    fn send_update(&self, job: JobId, update: JobUpdate) {
        if let Some(pending_job) = self.pending.get(&job) {
            let _ = pending_job.updates.send(update);
        }
    }

    fn log_done(&self, job: JobId, times: &[StageTimes]) {
        let Some(pending_job) = self.pending.get(&job) else {
            return;
        };
        let formatted = times
            .iter()
            .map(|stage| format!("{}+{}", stage.waited.as_millis(), stage.worked.as_millis()));
        let formatted: Vec<_> = formatted.collect();
        info!(
            call = pending_job.call.as_str(), stages_waited_worked_ms = formatted.join(",");
            "batches: pieces made"
        );
    }

    fn log_displaced(&self, job: JobId, refused: &JobRefusal) {
        let Some(pending_job) = self.pending.get(&job) else {
            return;
        };
        self.arguments.counters.count("admission.displaced");
        info!(
            call = pending_job.call.as_str(), retry_after_ms = ms(refused.retry_after),
            waiting = self.batcher.queued_stages(), ms = ms(pending_job.accepted_at.elapsed());
            "batches: job displaced"
        );
    }

    fn log_failed(&self, job: JobId, failure: JobFailure) {
        let Some(pending_job) = self.pending.get(&job) else {
            return;
        };
        if self.has_forecast() && failure == JobFailure::Late {
            self.arguments.counters.count("admission.late");
        }
        let ms = ms(pending_job.accepted_at.elapsed());
        info!(
            call = pending_job.call.as_str(), reason:% = failure, waiting = self.batcher.queued_stages(), ms;
            "batches: job given up"
        );
    }
}

fn refusal(refused: JobRefusal) -> JobOutcome {
    JobOutcome::Refused {
        retry_after_ms: ms(refused.retry_after),
        reason: refused.reason,
    }
}
