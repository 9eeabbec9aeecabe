//! Owns the batches: an actor around the core's batcher.
//!
//! It has work only while the gateways' order makes this one the owner of its cell, or while others
//! believe so. Calls to stage servers run as tasks that send their ends back.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::{CallId, ServerIncarnation};
use amaranthscale_core::process::{
    Batcher, Cell, ColdAllowance, JobEvent, JobFailure, JobId, JobRefusal, LagChange, LagDetector,
    ServerAvailability, StageTimes,
};
use log::{info, warn};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::super::Dialect;
use super::super::clock::ms;
use super::super::connection::ConnectionPool;
use super::super::version::ClusterView;
use super::LimitTracker;
use super::batch_calls::{BatchCaller, CallEnd, call_free, run_batch};
use super::batch_message::{BatchOwnerMessage, JobOutcome, JobSource, JobUpdate, Submission};
use crate::process::{Counters, Latencies};

/// Longest time between two looks at what waits: for servers that come back, and what turns late.
const TICK: Duration = Duration::from_millis(20);
/// Time in which messages are answered by one look: a hundredth of a call, and at thousands of
/// messages a second a look for each would take most of the owner's time.
const GATHER: Duration = Duration::from_millis(2);
/// Time after which a caller may come back to an owner that is behind: it is in time again within
/// some hundred milliseconds once it takes nothing more.
const BEHIND_RETRY: Duration = Duration::from_millis(500);

/// The actor.
#[derive(Debug)]
pub struct BatchOwner;

/// What the actor needs.
#[derive(Debug, Clone)]
pub struct BatchOwnerArguments {
    /// The cell whose batches are owned.
    pub cell: Cell,
    /// Routing and servers.
    pub cluster_view: Arc<ClusterView>,
    /// How far cold servers may be used.
    pub cold_allowance: ColdAllowance,
    /// Connections to stage servers.
    pub pool: Arc<ConnectionPool>,
    /// How stage servers are called.
    pub dialect: Arc<Dialect>,
    /// Counts ends of calls and jobs.
    pub counters: Arc<Counters>,
    /// Times of calls by service.
    pub latencies: Arc<Latencies>,
    /// What servers say of their limits.
    pub limits: Arc<LimitTracker>,
}

/// State of the actor.
#[derive(Debug)]
pub struct BatchOwnerState {
    arguments: BatchOwnerArguments,
    batcher: Batcher,
    waiting: BTreeMap<JobId, Waiting>,
    freeing: BTreeSet<ServerIncarnation>,
    next_look: Option<NextLook>,
    keeping_up: LagDetector,
    is_stopping: bool,
}

/// The look that is due next.
#[derive(Debug)]
struct NextLook {
    due: Instant,
    timer: JoinHandle<Result<(), ractor::MessagingErr<BatchOwnerMessage>>>,
}

/// Who waits for a job.
#[derive(Debug)]
struct Waiting {
    call: CallId,
    updates: mpsc::UnboundedSender<JobUpdate>,
    taken_at: Instant,
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
        let mut state = BatchOwnerState {
            arguments,
            batcher: Batcher::new(),
            waiting: BTreeMap::new(),
            freeing: BTreeSet::new(),
            next_look: None,
            keeping_up: LagDetector::default(),
            is_stopping: false,
        };
        state.take_servers();
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
            BatchOwnerMessage::Submit(submission) => state.submit(submission, now),
            BatchOwnerMessage::Release(job) => {
                state.waiting.remove(&job);
                state.batcher.release(job);
            }
            BatchOwnerMessage::Ended(batch, end, told) => {
                state.batcher.batch_ended(batch, end, told, now);
            }
            BatchOwnerMessage::Changed => state.take_servers(),
            BatchOwnerMessage::Freed(frees) => {
                state.freeing.remove(&frees.server);
                state.batcher.results_freed(&frees);
            }
            BatchOwnerMessage::Look(due) => {
                state.look(&myself, due, now);
                return Ok(());
            }
            BatchOwnerMessage::Stop => {
                state.is_stopping = true;
                state.batcher.stop();
            }
        }
        state.look_within(&myself, GATHER);
        Ok(())
    }
}

impl BatchOwnerState {
    /// Sends what can be sent and tells what has become of jobs.
    fn look(&mut self, myself: &ActorRef<BatchOwnerMessage>, due: Instant, now: Duration) {
        if self.next_look.as_ref().is_none_or(|next| next.due != due) {
            // An earlier one took its place.
            return;
        }
        self.next_look = None;
        self.note_pace(due, now);
        self.send_frees(myself);
        self.send_batches(myself, now);
        self.tell();
        self.hand_over();
        if self.batcher.job_count() > 0 {
            // Ends with the last job, so an idle owner does not wake up.
            self.look_within(myself, TICK);
        }
    }

    /// Sees to it that what waits is looked at within a time.
    fn look_within(&mut self, myself: &ActorRef<BatchOwnerMessage>, within: Duration) {
        let due = Instant::now() + within;
        match &self.next_look {
            Some(next) if next.due <= due => return,
            Some(later) => later.timer.abort(),
            None => {}
        }
        let timer = myself.send_after(within, move || BatchOwnerMessage::Look(due));
        self.next_look = Some(NextLook { due, timer });
    }

    fn note_pace(&mut self, due: Instant, now: Duration) {
        let late = due.elapsed();
        self.arguments.latencies.record("owner.late", late);
        let Some(pace) = self.keeping_up.observe(now.saturating_sub(late), now) else {
            return;
        };
        let (jobs, waiting) = (self.batcher.job_count(), self.batcher.queued_stages());
        match pace {
            LagChange::FellBehind => {
                self.arguments.counters.count("owner.behind");
                warn!(late_ms = ms(late), jobs, waiting; "batches: behind, taking no more");
            }
            LagChange::CaughtUp => info!(jobs, waiting; "batches: in time again"),
        }
    }

    /// Refuses a job while the owner is behind.
    ///
    /// Guards against an overload that stands for good: taken in, jobs come to their turn when
    /// their callers have left, and what is done for those makes the next ones late as well.
    fn submit(&mut self, submission: Submission, now: Duration) {
        let Submission {
            mut order,
            id,
            updates,
            source,
            arrived,
        } = submission;
        if self.is_stopping && source == JobSource::Local {
            // A request that was taken is not cut off by a planned stop of all gateways.
            self.batcher.resume();
        } else if self.is_stopping {
            // A caller that has left needs no answer, here as below.
            let _ = updates.send(JobUpdate::Ended(JobOutcome::Stopping));
            return;
        }
        let queued = arrived.elapsed();
        order.target_latency_left = order.target_latency_left.saturating_sub(queued);
        order.deadline_left = order.deadline_left.saturating_sub(queued);
        let (call, kept) = (order.call.clone(), order.retained.len());
        if kept > 0 {
            self.arguments
                .counters
                .add("pieces.handed-over", u64::try_from(kept).unwrap_or(0));
            info!(call = call.as_str(), kept; "batches: job of an earlier owner");
        }
        let taken = if self.keeping_up.is_behind() {
            Err(JobRefusal {
                retry_after: BEHIND_RETRY,
                reason: JobFailure::Overloaded,
            })
        } else {
            self.batcher.submit(order, now)
        };
        match taken {
            Ok(job) => {
                let taken_at = Instant::now();
                let waiting = Waiting {
                    call,
                    updates,
                    taken_at,
                };
                self.waiting.insert(job, waiting);
                // The submitter has left: nobody would release the job.
                if id.send(job).is_err() {
                    self.waiting.remove(&job);
                    self.batcher.release(job);
                }
            }
            Err(refused) => {
                info!(
                    call = call.as_str(), reason:% = refused.reason,
                    waiting = self.batcher.queued_stages();
                    "batches: job refused"
                );
                let _ = updates.send(JobUpdate::Ended(refusal(refused)));
            }
        }
    }

    /// Leaves jobs to the next owner once no call works on them, with what is made of them.
    fn hand_over(&mut self) {
        for job in self.batcher.hand_over() {
            if let Some(waiting) = self.waiting.remove(&job) {
                let _ = waiting.updates.send(JobUpdate::Ended(JobOutcome::Stopping));
            }
        }
    }

    fn take_servers(&mut self) {
        let Some(routing) = self.arguments.cluster_view.routing() else {
            return;
        };
        let servers = self.arguments.cluster_view.servers();
        let own = self.arguments.cell.servers(servers.all());
        let now = self.arguments.cluster_view.clock().now();
        let bounds = self.arguments.cold_allowance;
        let with_use = own.into_iter().map(|server| {
            let terms = routing.cold_limits(&server.service, bounds);
            (server, servers.availability_of(server, terms, now))
        });
        self.batcher.set_servers(&routing, with_use, now);
    }

    /// One call that frees results a server at a time: what comes meanwhile goes with the next.
    ///
    /// Nothing is sent to an evacuated zone, these calls neither, and a limited server takes calls that
    /// make pieces instead; their results lapse by themselves.
    fn send_frees(&mut self, myself: &ActorRef<BatchOwnerMessage>) {
        let freeing = &self.freeing;
        let servers = self.arguments.cluster_view.servers();
        let takes_none = |life: &ServerIncarnation| {
            let server_use = servers.availability(life, None, Duration::ZERO);
            matches!(
                server_use,
                ServerAvailability::Evacuated | ServerAvailability::Limited { .. }
            )
        };
        let is_wanted = |life: &ServerIncarnation| !freeing.contains(life) && !takes_none(life);
        for frees in self.batcher.take_free_requests(is_wanted) {
            self.freeing.insert(frees.server.clone());
            let myself = myself.clone();
            let pool = Arc::clone(&self.arguments.pool);
            let dialect = Arc::clone(&self.arguments.dialect);
            tokio::spawn(async move {
                call_free(&dialect, &pool, &frees).await;
                // The actor ends only with the process.
                let _ = myself.send_message(BatchOwnerMessage::Freed(frees));
            });
        }
    }

    fn send_batches(&mut self, myself: &ActorRef<BatchOwnerMessage>, now: Duration) {
        for batch in self.batcher.next_batches(now) {
            let myself = myself.clone();
            let caller = BatchCaller {
                pool: Arc::clone(&self.arguments.pool),
                dialect: Arc::clone(&self.arguments.dialect),
                cluster_view: Arc::clone(&self.arguments.cluster_view),
                counters: Arc::clone(&self.arguments.counters),
                limits: Arc::clone(&self.arguments.limits),
            };
            let latencies = Arc::clone(&self.arguments.latencies);
            tokio::spawn(async move {
                let started = Instant::now();
                let CallEnd { end, told } = run_batch(&caller, &batch).await;
                latencies.record(&format!("call.{}", batch.service), started.elapsed());
                // The actor ends only with the process.
                let _ = myself.send_message(BatchOwnerMessage::Ended(batch.id, end, told));
            });
        }
    }

    fn tell(&mut self) {
        for event in self.batcher.take_events() {
            let (job, answer) = match event {
                JobEvent::ResultsStored(job, pieces) => {
                    self.tell_news(job, JobUpdate::Made(pieces));
                    continue;
                }
                JobEvent::ConnectionLost(job, server, address) => {
                    self.tell_news(job, JobUpdate::CutOff { server, address });
                    continue;
                }
                JobEvent::ResultsDropped(job, stage) => {
                    self.tell_news(job, JobUpdate::Dropped(stage));
                    continue;
                }
                JobEvent::Done(job, handles, times) => {
                    self.log_done(job, &times);
                    (job, JobOutcome::Done(handles))
                }
                JobEvent::Failed(job, failure) => {
                    self.log_given_up(job, failure);
                    (job, JobOutcome::Failed(failure))
                }
            };
            if let Some(waiting) = self.waiting.remove(&job) {
                let _ = waiting.updates.send(JobUpdate::Ended(answer));
            }
        }
    }

    fn tell_news(&self, job: JobId, news: JobUpdate) {
        if let Some(waiting) = self.waiting.get(&job) {
            let _ = waiting.updates.send(news);
        }
    }

    fn log_done(&self, job: JobId, times: &[StageTimes]) {
        let Some(waiting) = self.waiting.get(&job) else {
            return;
        };
        let shown = times
            .iter()
            .map(|stage| format!("{}+{}", stage.waited.as_millis(), stage.worked.as_millis()));
        let shown: Vec<_> = shown.collect();
        info!(
            call = waiting.call.as_str(), stages_waited_worked_ms = shown.join(",");
            "batches: pieces made"
        );
    }

    fn log_given_up(&self, job: JobId, failure: JobFailure) {
        let Some(waiting) = self.waiting.get(&job) else {
            return;
        };
        let ms = ms(waiting.taken_at.elapsed());
        info!(
            call = waiting.call.as_str(), reason:% = failure, waiting = self.batcher.queued_stages(), ms;
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
