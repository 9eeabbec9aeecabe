//! State of one request's pieces.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::admission::AdmissionPlan;
use super::estimate::Estimate;
use super::queue::Entry;
use super::{BatchItem, JobSpec, PieceInput, StageSpec, StageTimes};
use crate::id::{ResultHandle, ServerIncarnation};
use crate::process::Rank;

/// Size from which a result is computed near its reader. Below it, moving a result between
/// availability zones costs less than waiting.
pub(super) const LARGE_RESULT_BYTES: u64 = 100_000;

/// Delay per organisation rank: about one call.
const ORGANISATION_RANK_DELAY: Duration = Duration::from_millis(400);
/// Delay per route rank: some calls, so that ranks decide where a service is overloaded for
/// seconds, but the least urgent route does not starve.
const ROUTE_RANK_DELAY: Duration = Duration::from_secs(2);
/// Rank from which the delay grows no further.
const MAX_RANK: u8 = 4;
/// Time after the start of a call by which its inputs are read: some megabytes over two links.
const INPUT_READ_TIME: Duration = Duration::from_millis(90);
/// Multiple of its target latency for which a request may wait before most of its work is sent.
const MAX_WAIT_TARGETS: f64 = 2.0;
/// Time after its latest start at which a waiting job counts as late.
const LATE_MARGIN: Duration = Duration::from_millis(100);

/// Delay for half the average value per work; twice the average brings a job forward by as much. It
/// is longer than most waits, so that value decides wherever a service is overloaded.
const VALUE_STEP: Duration = Duration::from_secs(6);
/// Largest number of value steps, in either direction.
const MAX_VALUE_STEPS: f64 = 2.0;

/// Delay of a job behind others, by its rank and its value. It includes the largest advance by
/// value, so that it is never negative.
pub(super) fn priority_delay(rank: Rank, relative_value: f64) -> Duration {
    let steps =
        (-relative_value.max(f64::MIN_POSITIVE).log2()).clamp(-MAX_VALUE_STEPS, MAX_VALUE_STEPS);
    let steps_of = |rank: u8| u32::from(rank.min(MAX_RANK));
    let by_rank = ORGANISATION_RANK_DELAY * steps_of(rank.organisation)
        + ROUTE_RANK_DELAY * steps_of(rank.route);
    by_rank + VALUE_STEP.mul_f64(MAX_VALUE_STEPS + steps)
}

/// Delay per organisation rank with admission by forecast.
const FORECAST_ORGANISATION_RANK_DELAY: Duration = Duration::from_millis(2_400);
/// Delay per route rank with admission by forecast: longer than the delays by value and by share
/// within a rank, so that a less urgent rank has what the more urgent ones leave. Its jobs do not
/// starve in the queue, as they are refused at arrival instead.
const FORECAST_ROUTE_RANK_DELAY: Duration = Duration::from_secs(36);

/// Delay of a job behind others with admission by forecast.
pub(super) fn forecast_delay(rank: Rank, relative_value: f64) -> Duration {
    let steps_of = |rank: u8| u32::from(rank.min(MAX_RANK));
    let by_value = priority_delay(Rank::default(), relative_value);
    FORECAST_ORGANISATION_RANK_DELAY * steps_of(rank.organisation)
        + FORECAST_ROUTE_RANK_DELAY * steps_of(rank.route)
        + by_value
}

/// Number of servers to which connections were lost during a job's calls from which the job runs
/// alone. Not from the first: a call has a high fixed cost, and most servers end for other reasons.
const RUN_ALONE_FROM: usize = 2;

/// State of one piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum PieceState {
    /// Not in a call.
    Waiting,
    /// In a call.
    Running,
    /// Computed and stored at a server.
    Completed {
        handle: ResultHandle,
        server: ServerIncarnation,
        address: SocketAddr,
    },
    /// Computed, but its result is no longer stored, as the server's incarnation ended or its
    /// readers are done.
    Discarded,
}

/// One stage of a job.
#[derive(Debug)]
pub(super) struct StageState {
    pub(super) spec: StageSpec,
    pub(super) pieces: Vec<PieceState>,
    /// Latest start of its calls that still meets the target latency.
    pub(super) latest_start: Duration,
    pub(super) is_freed: bool,
    pub(super) timestamps: StageTimestamps,
    /// Its entry in the service's queue.
    pub(super) entry: Option<Entry>,
}

/// When a stage reached each step.
#[expect(
    clippy::struct_field_names,
    reason = "points in time end in _at everywhere"
)]
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StageTimestamps {
    /// When all its inputs were stored for the first time.
    pub(super) queued_at: Option<Duration>,
    pub(super) sent_at: Option<Duration>,
    pub(super) last_sent_at: Duration,
    pub(super) completed_at: Duration,
}

impl StageState {
    pub(super) fn times(&self) -> StageTimes {
        let Some(sent_at) = self.timestamps.sent_at else {
            return StageTimes::default();
        };
        let queued_at = self.timestamps.queued_at.unwrap_or(sent_at);
        StageTimes {
            waited: sent_at.saturating_sub(queued_at),
            worked: self.timestamps.completed_at.saturating_sub(sent_at),
        }
    }

    /// Indices of the pieces that are neither in a call nor completed.
    pub(super) fn waiting_pieces(&self) -> impl Iterator<Item = usize> {
        let pieces = self.pieces.iter().enumerate();
        let waiting = pieces.filter(|(_, piece)| **piece == PieceState::Waiting);
        waiting.map(|(index, _)| index)
    }

    /// Whether the results of all its pieces are stored.
    pub(super) fn has_results(&self) -> bool {
        let is_stored = |piece: &PieceState| matches!(piece, PieceState::Completed { .. });
        self.pieces.is_empty() || !self.is_freed && self.pieces.iter().all(is_stored)
    }

    /// Makes the pieces wait again whose results are freed or lost; returns whether there are any.
    fn requeue_lost_results(&mut self) -> bool {
        let is_freed = std::mem::take(&mut self.is_freed);
        let is_lost = |piece: &PieceState| match piece {
            PieceState::Completed { .. } => is_freed,
            PieceState::Discarded => true,
            PieceState::Waiting | PieceState::Running => false,
        };
        let mut has_lost = false;
        for piece in self.pieces.iter_mut().filter(|piece| is_lost(piece)) {
            *piece = PieceState::Waiting;
            has_lost = true;
        }
        has_lost
    }

    pub(super) fn has_waiting(&self) -> bool {
        self.waiting_pieces().next().is_some()
    }

    pub(super) fn is_done(&self) -> bool {
        let is_completed = |piece: &PieceState| {
            matches!(piece, PieceState::Completed { .. } | PieceState::Discarded)
        };
        self.pieces.iter().all(is_completed)
    }
}

/// One request's work.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) spec: JobSpec,
    pub(super) stages: Vec<StageState>,
    pub(super) deadline_at: Duration,
    /// When the job fails unless it is committed, so that its caller can retry.
    pub(super) abandon_at: Duration,
    /// Time that the stages take in sequence without waiting.
    pub(super) path_time: Duration,
    /// Delay of its stages behind those of other jobs.
    pub(super) priority_delay: Duration,
    /// Whether the target latency cannot be met any more, so that the job runs on spare capacity.
    pub(super) is_late: bool,
    /// What it was admitted by, with admission by forecast.
    pub(super) plan: Option<AdmissionPlan>,
    /// Whether most of its work was sent: from then on, giving up wastes more than it saves.
    pub(super) is_committed: bool,
    /// Server time that each stage takes.
    work: Vec<Duration>,
    pub(super) is_reported: bool,
    pub(super) recomputations: u32,
    pub(super) failures: u32,
    /// Servers to which connections were lost during calls with its pieces.
    pub(super) lost_connections_to: BTreeSet<ServerIncarnation>,
}

impl Job {
    pub(super) fn new(spec: JobSpec, estimate: Estimate, now: Duration) -> Self {
        let stages = spec.stages.iter().zip(estimate.latest_starts);
        let stages = stages
            .map(|(spec, latest_start)| StageState {
                spec: spec.clone(),
                pieces: vec![PieceState::Waiting; spec.pieces],
                latest_start,
                is_freed: false,
                timestamps: StageTimestamps::default(),
                entry: None,
            })
            .collect();
        Self {
            deadline_at: now + spec.deadline_left,
            abandon_at: now
                + spec.target_latency_left
                + spec.target_latency.mul_f64(MAX_WAIT_TARGETS - 1.0),
            path_time: estimate.path_time,
            priority_delay: estimate.priority_delay,
            is_late: estimate.is_late,
            plan: estimate.plan,
            is_committed: false,
            work: estimate.work,
            spec,
            stages,
            is_reported: false,
            recomputations: 0,
            failures: 0,
            lost_connections_to: BTreeSet::new(),
        }
    }

    /// Whether its pieces are sent in calls of their own.
    ///
    /// Guards against a piece that crashes servers: the other pieces of its call would be lost each
    /// time.
    pub(super) fn runs_alone(&self) -> bool {
        self.lost_connections_to.len() >= RUN_ALONE_FROM
    }

    /// Whether any piece is in a call.
    pub(super) fn has_running(&self) -> bool {
        let mut pieces = self.stages.iter().flat_map(|stage| &stage.pieces);
        pieces.any(|piece| *piece == PieceState::Running)
    }

    /// Marks stages without remaining pieces as completed: all readers of their results are done.
    pub(super) fn discard_read_stages(&mut self, remaining: &[usize], now: Duration) {
        let stages = self.stages.iter_mut().zip(remaining);
        let read = stages.filter(|(stage, remaining)| **remaining == 0 && stage.has_waiting());
        for (stage, _) in read {
            stage.timestamps.sent_at.get_or_insert(now);
            let pieces = stage.pieces.iter_mut();
            for piece in pieces.filter(|piece| **piece == PieceState::Waiting) {
                *piece = PieceState::Discarded;
            }
        }
    }

    /// Commits a job if an earlier owner completed most of its work.
    pub(super) fn commit_if_mostly_completed(&mut self, now: Duration) {
        let mut stages = self.stages.iter();
        let completed = stages.position(|stage| stage.is_done() && stage.spec.pieces > 0);
        if let Some(stage) = completed {
            self.mark_sent(stage, now);
        }
    }

    /// Records that pieces of a stage are sent.
    ///
    /// A late job that has most of its work done continues as if it were just on time: if it were
    /// stopped, its results would occupy storage until they expire, and be recomputed later.
    pub(super) fn mark_sent(&mut self, stage: usize, now: Duration) {
        if self.is_committed {
            return;
        }
        if let Some(plan) = &self.plan {
            self.priority_delay = plan.started_delay;
        }
        if !self.is_mostly_sent(stage) {
            return;
        }
        self.is_committed = true;
        if let Some(plan) = &self.plan {
            // Most of its work would be lost for a small rest.
            self.priority_delay = plan.committed_delay;
        }
        if self.is_late {
            self.is_late = false;
            let shift = now.saturating_sub(self.stages[stage].latest_start);
            for stage in &mut self.stages {
                stage.latest_start += shift;
            }
        }
    }

    /// Whether pieces of any stage were sent.
    pub(super) fn has_started(&self) -> bool {
        let mut stages = self.stages.iter();
        stages.any(|stage| stage.timestamps.sent_at.is_some())
    }

    /// Server time of the stages that were sent.
    pub(super) fn sunk_work(&self) -> Duration {
        let stages = self.stages.iter().zip(&self.work);
        let sent = stages.filter(|(stage, _)| stage.timestamps.sent_at.is_some());
        sent.map(|(_, work)| *work).sum()
    }

    /// Whether a stage and the stages sent before it make up at least half of the work.
    fn is_mostly_sent(&self, stage: usize) -> bool {
        let is_sent =
            |index: &usize| *index == stage || self.stages[*index].timestamps.sent_at.is_some();
        let sent = (0..self.stages.len()).filter(is_sent);
        let sent: Duration = sent.map(|index| self.work[index]).sum();
        sent * 2 >= self.work.iter().sum()
    }

    /// Marks the job late if a waiting stage has missed its latest start; returns whether it did.
    pub(super) fn mark_late_if_overdue(&mut self, now: Duration) -> bool {
        let is_kept = self.plan.is_some() && self.has_started();
        if self.is_committed || self.is_late || is_kept {
            return false;
        }
        let queued = (0..self.stages.len()).filter(|index| self.is_ready(*index));
        let first = queued.map(|index| self.stages[index].latest_start).min();
        self.is_late = first.is_some_and(|start| start + LATE_MARGIN < now);
        self.is_late
    }

    /// Position of a stage in the queue: its latest start plus the job's priority delay.
    pub(super) fn scheduled_start(&self, stage: usize) -> Duration {
        self.stages[stage].latest_start + self.priority_delay
    }

    /// Scheduled start of the first waiting stage.
    pub(super) fn first_scheduled_start(&self) -> Duration {
        let waiting = (0..self.stages.len()).filter(|index| self.stages[*index].has_waiting());
        waiting
            .map(|index| self.scheduled_start(index))
            .min()
            .unwrap_or_default()
    }

    /// Time that its waiting stages take without queueing: their share of the path time, by work.
    pub(super) fn remaining_path_time(&self) -> Duration {
        let work: Duration = self.work.iter().sum();
        let waiting = self
            .stages
            .iter()
            .zip(&self.work)
            .filter(|(stage, _)| stage.has_waiting());
        let waiting: Duration = waiting.map(|(_, work)| *work).sum();
        if work.is_zero() {
            return Duration::ZERO;
        }
        self.path_time
            .mul_f64(waiting.as_secs_f64() / work.as_secs_f64())
    }

    /// Whether all results that a stage depends on are stored.
    pub(super) fn has_inputs(&self, stage: usize) -> bool {
        let mut inputs = self.stages[stage].spec.depends_on.iter();
        inputs.all(|input| self.stages[*input].has_results())
    }

    /// Whether a stage has pieces that can be sent.
    pub(super) fn is_ready(&self, stage: usize) -> bool {
        self.stages[stage].has_waiting() && self.has_inputs(stage)
    }

    /// Makes the pieces wait again whose results are freed or lost and which waiting pieces depend
    /// on; returns whether there are any.
    pub(super) fn requeue_lost_inputs(&mut self) -> bool {
        let mut has_lost = false;
        // Stages depend on earlier ones alone, so a stage is examined after all its dependents.
        for index in (0..self.stages.len()).rev() {
            let is_needed = self.dependents(index).any(StageState::has_waiting);
            if is_needed {
                has_lost |= self.stages[index].requeue_lost_results();
            }
        }
        has_lost
    }

    /// Records which stages have all their inputs for the first time.
    pub(super) fn record_queued(&mut self, now: Duration) {
        for index in 0..self.stages.len() {
            if self.stages[index].timestamps.queued_at.is_none() && self.has_inputs(index) {
                self.stages[index].timestamps.queued_at = Some(now);
            }
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.stages.iter().all(StageState::is_done)
    }

    /// Handles of the results of stages without dependents.
    pub(super) fn final_results(&self) -> Vec<ResultHandle> {
        let last = (0..self.stages.len()).filter(|index| !self.has_dependents(*index));
        last.flat_map(|index| self.results(index)).collect()
    }

    /// Stages whose results are not needed any more.
    ///
    /// A server fetches the inputs of a call when it starts the call, and calls are only sent to
    /// free servers, so the inputs are read long before the results are computed. Freeing them
    /// after the read halves the time for which they occupy storage. Where another owner uses the
    /// servers too, a call may be queued at the server, and its inputs are retained until it ends.
    pub(super) fn unneeded_stages(&self, now: Duration, is_shared: bool) -> Vec<usize> {
        let has_read = |stage: &StageState| {
            let is_sent = !stage.has_waiting();
            let sent_at = stage.timestamps.last_sent_at;
            stage.is_done() || !is_shared && is_sent && sent_at + INPUT_READ_TIME <= now
        };
        let is_unneeded = |index: &usize| {
            let stage = &self.stages[*index];
            let mut dependents = self.dependents(*index).peekable();
            let has_dependents = dependents.peek().is_some();
            !stage.is_freed && has_dependents && stage.is_done() && dependents.all(has_read)
        };
        (0..self.stages.len()).filter(is_unneeded).collect()
    }

    /// A piece as an item of a call; none unless all its inputs are stored.
    pub(super) fn batch_item(
        &self,
        stage: usize,
        piece: usize,
        now: Duration,
    ) -> Option<BatchItem> {
        if !self.has_inputs(stage) {
            return None;
        }
        let inputs = &self.stages[stage].spec.depends_on;
        let results: Vec<_> = inputs
            .iter()
            .flat_map(|index| self.results(*index))
            .collect();
        // Stages that are omitted have no results, so a stage after them alone begins with the key.
        let input = if results.is_empty() {
            PieceInput::Key(self.spec.piece_key.clone())
        } else {
            PieceInput::Results(results)
        };
        Some(BatchItem {
            call: self.spec.call.clone(),
            stage,
            piece,
            deadline_left: self.deadline_at.saturating_sub(now),
            input,
        })
    }

    /// The server that stores the first completed input of a stage.
    pub(super) fn input_server(&self, stage: usize) -> Option<&ServerIncarnation> {
        let inputs = &self.stages[stage].spec.depends_on;
        let pieces = inputs.iter().flat_map(|index| &self.stages[*index].pieces);
        let mut servers = pieces.filter_map(|piece| match piece {
            PieceState::Completed { server, .. } => Some(server),
            _ => None,
        });
        servers.next()
    }

    /// Total size of a stage's inputs.
    pub(super) fn input_bytes(&self, stage: usize) -> u64 {
        let inputs = self.stages[stage].spec.depends_on.iter();
        let bytes = inputs.map(|index| {
            let spec = &self.stages[*index].spec;
            spec.result_bytes * u64::try_from(spec.pieces).unwrap_or(0)
        });
        bytes.sum()
    }

    fn dependents(&self, index: usize) -> impl Iterator<Item = &StageState> {
        let needs = move |stage: &&StageState| stage.spec.depends_on.contains(&index);
        self.stages.iter().filter(needs)
    }

    /// Whether a stage's results are still needed: by a waiting stage or by the engine.
    pub(super) fn are_results_needed(&self, index: usize) -> bool {
        let mut dependents = self.dependents(index);
        !self.has_dependents(index) || dependents.any(StageState::has_waiting)
    }

    pub(super) fn has_dependents(&self, index: usize) -> bool {
        self.dependents(index).next().is_some()
    }

    fn results(&self, index: usize) -> impl Iterator<Item = ResultHandle> {
        let pieces = self.stages[index].pieces.iter();
        pieces.filter_map(|piece| match piece {
            PieceState::Completed { handle, .. } => Some(handle.clone()),
            _ => None,
        })
    }
}
