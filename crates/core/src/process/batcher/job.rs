//! One request's pieces and how far they are.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::estimate::Outlook;
use super::queue::Entry;
use super::{BatchItem, JobSpec, PieceInput, StageSpec, StageTimes};
use crate::id::{ResultHandle, ServerIncarnation};
use crate::process::Rank;

/// Size of a result from which it is made near its reader.
/// Below it, what a move between availability zones costs is less than a wait.
pub(super) const LARGE_RESULT_BYTES: u64 = 100_000;

/// Time by which each rank of an organisation lets others go before: about one call.
/// Measured: see MEASUREMENTS.md, "Order of the pieces".
const ORGANISATION_STEP: Duration = Duration::from_millis(400);
/// Time by which each rank of a route lets others go before: some calls, so that ranks decide where
/// a service is short of time for seconds, and the least urgent route is not left for last for good.
/// Measured: see DECISIONS.md, "Rank between kinds".
const ROUTE_STEP: Duration = Duration::from_secs(2);
/// Rank from which nothing is put off further.
const LOWEST_RANK: u8 = 4;
/// Time from a call's start after which its inputs are read: some megabytes over two links.
const INPUTS_READ_AFTER: Duration = Duration::from_millis(90);
/// Times its aim for which a request is held without being begun.
/// Measured: see MEASUREMENTS.md, "How long a request is held".
const HELD_AIMS: f64 = 2.0;
/// Time after its latest start at which a waiting job counts as late.
const LATE_MARGIN: Duration = Duration::from_millis(100);

/// Time by which half the usual worth for its work lets others go before, and twice brings forward:
/// longer than most waits, so that worth decides wherever a service is short of time.
/// Measured: see MEASUREMENTS.md, "Order of the pieces".
const WORTH_STEP: Duration = Duration::from_secs(6);
/// Most steps that worth counts for.
const MOST_WORTH_STEPS: f64 = 2.0;

/// Time by which a job lets others go before, beside its rank; what brings it forward is taken
/// from the same allowance, so that it is never negative.
pub(super) fn put_off(rank: Rank, worth: f64) -> Duration {
    let steps = (-worth.max(f64::MIN_POSITIVE).log2()).clamp(-MOST_WORTH_STEPS, MOST_WORTH_STEPS);
    let steps_of = |rank: u8| u32::from(rank.min(LOWEST_RANK));
    let by_rank =
        ORGANISATION_STEP * steps_of(rank.organisation) + ROUTE_STEP * steps_of(rank.route);
    by_rank + WORTH_STEP.mul_f64(MOST_WORTH_STEPS + steps)
}

/// Servers at which a job's calls were cut off from which on it goes alone. Not from the first on: a call
/// costs much by itself, and most servers end for other reasons.
const ALONE_FROM: usize = 2;

/// How far one piece is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum PieceState {
    /// Not sent, or sent in vain.
    Waiting,
    /// In a call.
    Running,
    /// Made and kept by a server.
    Made {
        handle: ResultHandle,
        server: ServerIncarnation,
        address: SocketAddr,
    },
    /// Made, and gone with the life of the server that kept it.
    Gone,
}

/// One stage of a job.
#[derive(Debug)]
pub(super) struct StageState {
    pub(super) order: StageSpec,
    pub(super) pieces: Vec<PieceState>,
    /// Latest start of its calls that still meets the aim.
    pub(super) latest_start: Duration,
    pub(super) is_queued: bool,
    pub(super) is_freed: bool,
    pub(super) clock: StageClock,
    /// Where it stands in its service's queue.
    pub(super) entry: Option<Entry>,
}

/// When a stage got how far.
#[expect(
    clippy::struct_field_names,
    reason = "points in time end in _at everywhere"
)]
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StageClock {
    pub(super) queued_at: Duration,
    pub(super) sent_at: Option<Duration>,
    pub(super) last_sent_at: Duration,
    pub(super) made_at: Duration,
}

impl StageState {
    pub(super) fn times(&self) -> StageTimes {
        let Some(sent_at) = self.clock.sent_at else {
            return StageTimes::default();
        };
        StageTimes {
            waited: sent_at.saturating_sub(self.clock.queued_at),
            worked: self.clock.made_at.saturating_sub(sent_at),
        }
    }

    /// Pieces that are in no call and not made.
    pub(super) fn waiting_pieces(&self) -> impl Iterator<Item = usize> {
        let pieces = self.pieces.iter().enumerate();
        let waiting = pieces.filter(|(_, piece)| **piece == PieceState::Waiting);
        waiting.map(|(index, _)| index)
    }

    /// Whether results of it are freed or gone.
    pub(super) fn has_lost_results(&self) -> bool {
        self.is_freed || self.pieces.contains(&PieceState::Gone)
    }

    pub(super) fn has_waiting(&self) -> bool {
        self.waiting_pieces().next().is_some()
    }

    pub(super) fn is_done(&self) -> bool {
        let is_made =
            |piece: &PieceState| matches!(piece, PieceState::Made { .. } | PieceState::Gone);
        self.pieces.iter().all(is_made)
    }
}

/// One request's work.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) order: JobSpec,
    pub(super) stages: Vec<StageState>,
    pub(super) deadline_at: Duration,
    /// When it is given up unless it has begun: by then its caller had better come back.
    pub(super) held_until: Duration,
    /// Time that the stages take one after the other without a wait.
    pub(super) path_time: Duration,
    /// Time by which it lets others go before.
    pub(super) put_off: Duration,
    /// Whether the aim is out of reach, so that the job runs in what is left over.
    pub(super) is_late: bool,
    /// Whether most of its work was sent: from then on, giving up wastes more than it saves.
    pub(super) is_committed: bool,
    /// Servers' time that each stage takes.
    work: Vec<Duration>,
    pub(super) is_reported: bool,
    pub(super) remakes: u32,
    pub(super) failures: u32,
    /// Servers at which calls with its pieces were cut off.
    pub(super) cut_off_at: BTreeSet<ServerIncarnation>,
}

impl Job {
    pub(super) fn new(order: JobSpec, outlook: Outlook, now: Duration) -> Self {
        let stages = order.stages.iter().zip(outlook.latest_starts);
        let stages = stages
            .map(|(order, latest_start)| StageState {
                order: order.clone(),
                pieces: vec![PieceState::Waiting; order.pieces],
                latest_start,
                is_queued: false,
                is_freed: false,
                clock: StageClock::default(),
                entry: None,
            })
            .collect();
        Self {
            deadline_at: now + order.deadline_left,
            held_until: now
                + order.target_latency_left
                + order.target_latency.mul_f64(HELD_AIMS - 1.0),
            path_time: outlook.path_time,
            put_off: outlook.put_off,
            is_late: outlook.is_late,
            is_committed: false,
            work: outlook.work,
            order,
            stages,
            is_reported: false,
            remakes: 0,
            failures: 0,
            cut_off_at: BTreeSet::new(),
        }
    }

    /// Whether its pieces go in calls of their own.
    ///
    /// Guards against a piece that ends servers: the others of its call would be lost with it each time.
    pub(super) fn goes_alone(&self) -> bool {
        self.cut_off_at.len() >= ALONE_FROM
    }

    /// Whether a call works on a piece.
    pub(super) fn has_running(&self) -> bool {
        let mut pieces = self.stages.iter().flat_map(|stage| &stage.pieces);
        pieces.any(|piece| *piece == PieceState::Running)
    }

    /// Takes stages for made that have no piece open: all that reads their results is made.
    pub(super) fn pass_over_read_stages(&mut self, open: &[usize], now: Duration) {
        let stages = self.stages.iter_mut().zip(open);
        let read = stages.filter(|(stage, open)| **open == 0 && stage.has_waiting());
        for (stage, _) in read {
            stage.clock.sent_at.get_or_insert(now);
            let pieces = stage.pieces.iter_mut();
            for piece in pieces.filter(|piece| **piece == PieceState::Waiting) {
                *piece = PieceState::Gone;
            }
        }
    }

    /// Commits a job of which an earlier owner had made most.
    pub(super) fn commit_if_mostly_made(&mut self, now: Duration) {
        let mut begun = self.stages.iter();
        let begun = begun.position(|stage| stage.is_done() && stage.order.pieces > 0);
        if let Some(stage) = begun {
            self.start(stage, now);
        }
    }

    /// Marks a send of a stage's pieces.
    ///
    /// A late job that has most of its work behind it goes on as if it had come just in time:
    /// stopped there, its results would take room from others, lapse, and be made again.
    pub(super) fn start(&mut self, stage: usize, now: Duration) {
        if self.is_committed || !self.is_mostly_sent(stage) {
            return;
        }
        self.is_committed = true;
        if self.is_late {
            self.is_late = false;
            let shift = now.saturating_sub(self.stages[stage].latest_start);
            for stage in &mut self.stages {
                stage.latest_start += shift;
            }
        }
    }

    /// Whether a stage and those sent before it are at least half of the work.
    fn is_mostly_sent(&self, stage: usize) -> bool {
        let is_sent =
            |index: &usize| *index == stage || self.stages[*index].clock.sent_at.is_some();
        let sent = (0..self.stages.len()).filter(is_sent);
        let sent: Duration = sent.map(|index| self.work[index]).sum();
        sent * 2 >= self.work.iter().sum()
    }

    /// Turns late if it waited in vain for a start that meets its aim; says whether it did.
    pub(super) fn grow_late(&mut self, now: Duration) -> bool {
        if self.is_committed || self.is_late {
            return false;
        }
        let is_waiting = |stage: &&StageState| stage.is_queued && stage.has_waiting();
        let queued = self.stages.iter().filter(is_waiting);
        let first = queued.map(|stage| stage.latest_start).min();
        self.is_late = first.is_some_and(|start| start + LATE_MARGIN < now);
        self.is_late
    }

    /// Place of a stage among others: its latest start, put off for less urgent jobs.
    pub(super) fn place(&self, stage: usize) -> Duration {
        self.stages[stage].latest_start + self.put_off
    }

    /// Place of the first stage that waits.
    pub(super) fn first_place(&self) -> Duration {
        let waiting = (0..self.stages.len()).filter(|index| self.stages[*index].has_waiting());
        waiting
            .map(|index| self.place(index))
            .min()
            .unwrap_or_default()
    }

    /// Time that its waiting stages take without a wait: their part of the path, by their work.
    pub(super) fn path_left(&self) -> Duration {
        let work: Duration = self.work.iter().sum();
        let open = self
            .stages
            .iter()
            .zip(&self.work)
            .filter(|(stage, _)| stage.has_waiting());
        let open: Duration = open.map(|(_, work)| *work).sum();
        if work.is_zero() {
            return Duration::ZERO;
        }
        self.path_time
            .mul_f64(open.as_secs_f64() / work.as_secs_f64())
    }

    /// Stages whose inputs are made and that are not queued yet.
    pub(super) fn startable(&self) -> Vec<usize> {
        let is_ready = |index: &usize| {
            let stage = &self.stages[*index];
            let inputs = stage.order.depends_on.iter();
            !stage.is_queued && inputs.copied().all(|after| self.stages[after].is_done())
        };
        (0..self.stages.len()).filter(is_ready).collect()
    }

    pub(super) fn is_done(&self) -> bool {
        self.stages.iter().all(StageState::is_done)
    }

    /// Takes stages out of their queues whose inputs are not all made any more.
    pub(super) fn wait_for_inputs(&mut self) {
        for index in 0..self.stages.len() {
            let inputs = self.stages[index].order.depends_on.iter();
            let is_ready = inputs.copied().all(|input| self.stages[input].is_done());
            if self.stages[index].has_waiting() && !is_ready {
                self.stages[index].is_queued = false;
            }
        }
    }

    /// Handles of the stages that no other stage needs.
    pub(super) fn last_results(&self) -> Vec<ResultHandle> {
        let last = (0..self.stages.len()).filter(|index| !self.is_needed(*index));
        last.flat_map(|index| self.results(index)).collect()
    }

    /// Stages whose results nothing needs any more.
    ///
    /// A server fetches a call's inputs when the call's turn comes, and a call is only sent to a
    /// server that is free, so the inputs are read long before the results are made. Freed then,
    /// they take room for half as long. Where another owner uses the servers too, a call may wait
    /// for its turn, and its inputs are kept until it ends.
    pub(super) fn used_up(&self, now: Duration, is_shared: bool) -> Vec<usize> {
        let has_read = |stage: &StageState| {
            let is_sent = !stage.has_waiting();
            let sent_at = stage.clock.last_sent_at;
            stage.is_done() || !is_shared && is_sent && sent_at + INPUTS_READ_AFTER <= now
        };
        let is_used_up = |index: &usize| {
            let stage = &self.stages[*index];
            let mut needing = self.needing(*index).peekable();
            let is_needed = needing.peek().is_some();
            !stage.is_freed && is_needed && stage.is_done() && needing.all(has_read)
        };
        (0..self.stages.len()).filter(is_used_up).collect()
    }

    /// Stages whose results a stage needs anew: its inputs, and theirs where they are freed.
    pub(super) fn stages_to_remake(&self, stage: usize) -> Vec<usize> {
        let mut remade = self.stages[stage].order.depends_on.clone();
        let mut looked_at = 0;
        while let Some(index) = remade.get(looked_at).copied() {
            let inputs = self.stages[index].order.depends_on.iter();
            let freed = inputs.filter(|input| self.stages[**input].has_lost_results());
            let freed: Vec<_> = freed
                .copied()
                .filter(|input| !remade.contains(input))
                .collect();
            remade.extend(freed);
            looked_at += 1;
        }
        remade
    }

    pub(super) fn item(&self, stage: usize, piece: usize, now: Duration) -> BatchItem {
        let after = &self.stages[stage].order.depends_on;
        let results: Vec<_> = after
            .iter()
            .flat_map(|index| self.results(*index))
            .collect();
        let input = if results.is_empty() {
            PieceInput::Key(self.order.piece_key.clone())
        } else {
            PieceInput::Results(results)
        };
        BatchItem {
            call: self.order.call.clone(),
            stage,
            piece,
            deadline_left: self.deadline_at.saturating_sub(now),
            input,
        }
    }

    /// The server that keeps most of a stage's inputs.
    pub(super) fn input_server(&self, stage: usize) -> Option<&ServerIncarnation> {
        let after = &self.stages[stage].order.depends_on;
        let pieces = after.iter().flat_map(|index| &self.stages[*index].pieces);
        let mut servers = pieces.filter_map(|piece| match piece {
            PieceState::Made { server, .. } => Some(server),
            _ => None,
        });
        servers.next()
    }

    /// Bytes of a stage's inputs.
    pub(super) fn input_bytes(&self, stage: usize) -> u64 {
        let after = self.stages[stage].order.depends_on.iter();
        let bytes = after.map(|index| {
            let order = &self.stages[*index].order;
            order.result_bytes * u64::try_from(order.pieces).unwrap_or(0)
        });
        bytes.sum()
    }

    fn needing(&self, index: usize) -> impl Iterator<Item = &StageState> {
        let needs = move |stage: &&StageState| stage.order.depends_on.contains(&index);
        self.stages.iter().filter(needs)
    }

    /// Whether something will still read a stage's results: a stage that waits, or the engine.
    pub(super) fn results_are_wanted(&self, index: usize) -> bool {
        let mut needing = self.needing(index);
        !self.is_needed(index) || needing.any(StageState::has_waiting)
    }

    pub(super) fn is_needed(&self, index: usize) -> bool {
        self.needing(index).next().is_some()
    }

    fn results(&self, index: usize) -> impl Iterator<Item = ResultHandle> {
        let pieces = self.stages[index].pieces.iter();
        pieces.filter_map(|piece| match piece {
            PieceState::Made { handle, .. } => Some(handle.clone()),
            _ => None,
        })
    }
}
