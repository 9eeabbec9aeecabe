//! What the gate owns, and how each message changes it.

use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::AttemptId;
use amaranthscale_core::process::{CostTracker, FairQueue, LoadMeter, QueuedAttempt, Refusal};
use amaranthscale_core::request::{Ledger, LedgerState};
use amaranthscale_core::unit::SidecarClock;
use amaranthscale_core::wire::{Fetch, Outcome, Revoke, RevokeAnswer, RowWrite};
use amaranthscale_core::{Ran, ResultCode};
use log::{debug, info, warn};
use ractor::{ActorRef, RpcReplyPort};

use super::kept_answers::KeptAnswers;
use super::{Fetched, GateFigures, GateMessage};
use crate::sidecar::job::Job;
use crate::sidecar::runner::Runner;

/// A tick this late means that the process was paused.
const PAUSED_AFTER: Duration = Duration::from_secs(2);
/// How long the answer of repeatable work outlives its deadline, for a fetch on its way.
const FETCH_GRACE: Duration = Duration::from_secs(1);

/// What the gate owns.
#[derive(Debug)]
pub(in crate::sidecar) struct GateState {
    myself: ActorRef<GateMessage>,
    runner: Arc<Runner>,
    ledger: Ledger,
    queue: FairQueue,
    answers: KeptAnswers,
    costs: CostTracker,
    are_costs_changed: bool,
    meter: LoadMeter,
    leaving_since: Option<SidecarClock>,
    latest_tick: SidecarClock,
    drained: Vec<RpcReplyPort<()>>,
}

impl GateState {
    pub(super) fn new(myself: ActorRef<GateMessage>, runner: Arc<Runner>) -> Self {
        let limits = runner.limits;
        let board = &runner.board;
        let max_kept = usize::try_from(limits.max_kept_results.as_bytes()).unwrap_or(usize::MAX);
        let now = board.now();
        let state = Self {
            myself,
            ledger: Ledger::new(board.incarnation, limits.ledger),
            queue: FairQueue::new(limits.queue),
            answers: KeptAnswers::new(max_kept),
            costs: CostTracker::new(board.host.clone(), board.incarnation),
            are_costs_changed: false,
            meter: LoadMeter::default(),
            leaving_since: None,
            latest_tick: now,
            drained: Vec::new(),
            runner,
        };
        state.publish_load(now);
        state
    }

    pub(super) fn handle(&mut self, message: GateMessage) {
        let now = self.runner.board.now();
        match message {
            GateMessage::Dispatch(job) => self.dispatch(&job, now),
            GateMessage::Ended(job, outcome) => self.ended(&job, *outcome, now),
            GateMessage::Recorded(attempt) => self.answers.record(attempt),
            GateMessage::Revoke(revoke, reply) => answer(reply, self.revoke(revoke, now)),
            GateMessage::Fetch(fetch, reply) => answer(reply, self.fetch(&fetch)),
            GateMessage::Leave => self.leave(now),
            GateMessage::Tick => self.tick(now),
            GateMessage::Drained(reply) => self.drained.push(reply),
            GateMessage::Costs(reply) => answer(reply, self.costs()),
            GateMessage::Figures(reply) => answer(reply, self.figures()),
        }
        self.start_next(now);
        self.publish_load(now);
        self.tell_drained();
    }

    fn dispatch(&mut self, job: &Arc<Job>, now: SidecarClock) {
        if let Err(refusal) = self.admit(job, now) {
            self.end_refused(job, refusal);
        }
    }

    fn admit(&mut self, job: &Arc<Job>, now: SidecarClock) -> Result<(), Refusal> {
        let dispatch = &job.dispatch;
        let attempt = dispatch.attempt;
        if dispatch.service != self.runner.service {
            return Err(Refusal::new(ResultCode::WrongService, 0));
        }
        if self.runner.board.is_leaving() {
            return Err(Refusal::new(ResultCode::Leaving, 0));
        }
        self.ledger
            .admit(attempt, dispatch.incarnation, dispatch.expiry, now)
            .map_err(|code| Refusal::new(code, 0))?;
        self.answers.insert(job);
        let item = self.queue_item(job, now);
        self.queue.push(item, now).inspect_err(|refusal| {
            self.ledger.refuse(attempt, refusal.code, now);
            self.answers.remove(&attempt);
        })
    }

    fn queue_item(&self, job: &Job, now: SidecarClock) -> QueuedAttempt {
        let dispatch = &job.dispatch;
        QueuedAttempt {
            attempt: dispatch.attempt,
            organisation: dispatch.organisation.clone(),
            class: dispatch.class,
            weight: dispatch.weight,
            expiry: job.deadline.min(dispatch.expiry),
            expected_ms: self.meter.expected_ms(now),
        }
    }

    /// Starts what has a free slot, and refuses what no longer can start.
    fn start_next(&mut self, now: SidecarClock) {
        for item in self.queue.take_displaced() {
            self.refuse_queued(item.attempt, ResultCode::TrialShed, now);
        }
        for item in self.queue.expired(now) {
            self.refuse_queued(item.attempt, ResultCode::ExpiredInQueue, now);
        }
        while let Some(item) = self.queue.pop(now) {
            self.start(item.attempt, now);
        }
    }

    fn start(&mut self, attempt: AttemptId, now: SidecarClock) {
        // The ledger has the last word: after a pause of the process the queue may still hold what
        // its entry has long given up, and starting that would run work nobody waits for.
        if let Err(code) = self.ledger.start(attempt, now) {
            self.queue.release(attempt);
            self.refuse_queued(attempt, code, now);
            return;
        }
        let Some(job) = self.answers.get(&attempt).map(Arc::clone) else {
            warn!("sidecar: {attempt} started without its job");
            return;
        };
        let waited = job.arrival.until(now);
        self.meter.record_wait(job.dispatch.class, millis(waited));
        tokio::spawn(Arc::clone(&self.runner).run(job, self.myself.clone()));
    }

    fn refuse_queued(&mut self, attempt: AttemptId, code: ResultCode, now: SidecarClock) {
        self.ledger.refuse(attempt, code, now);
        if let Some(job) = self.answers.remove(&attempt) {
            self.end_refused(&job, Refusal::new(code, 0));
        }
    }

    fn end_refused(&self, job: &Job, refusal: Refusal) {
        let code = refusal.code;
        self.runner.counters.count_reason("refused", code.name());
        debug!("sidecar: {} refused: {code}", job.dispatch.attempt);
        let mut outcome = Outcome::without_result(code);
        outcome.retry_after_ms = (refusal.retry_after_ms > 0).then_some(refusal.retry_after_ms);
        job.answer.end(outcome);
    }

    fn ended(&mut self, job: &Arc<Job>, outcome: Outcome, now: SidecarClock) {
        let attempt = job.dispatch.attempt;
        self.queue.release(attempt);
        self.count_end(&outcome);
        if outcome.ran() == Ran::No {
            self.ledger.refuse(attempt, outcome.code, now);
            self.answers.remove(&attempt);
            job.answer.end(outcome);
            return;
        }
        self.measure(&outcome, now);
        self.book(job, &outcome);
        self.ledger.finish(attempt, outcome.clone(), now);
        job.answer.end(outcome);
        let keep_until = self.keep_until(job, now);
        self.answers.end(attempt, keep_until, !job.is_repeatable());
        self.sweep_answers(now);
    }

    fn count_end(&self, outcome: &Outcome) {
        let counters = &self.runner.counters;
        match outcome.ran() {
            Ran::No => counters.count_reason("refused", outcome.code.name()),
            _ if outcome.code == ResultCode::Complete => counters.count("complete"),
            _ => counters.count_reason("failed", outcome.code.name()),
        }
    }

    /// Takes in how long a call held the backend server.
    ///
    /// Guards against a server that fails at once: counted as served, its quick failures would make
    /// it look fast, and the queue would take in what the next whole call cannot do in time. Only a
    /// whole answer says how long the work takes; a call that ended early took at least so long.
    fn measure(&mut self, outcome: &Outcome, now: SidecarClock) {
        let server_ms = outcome.cost.server_ms;
        if outcome.code == ResultCode::Complete {
            self.meter.record_service(server_ms, now);
        } else {
            self.meter.record_cancelled(server_ms, now);
        }
    }

    fn book(&mut self, job: &Job, outcome: &Outcome) {
        let dispatch = &job.dispatch;
        let is_useful = outcome.code == ResultCode::Complete;
        let (organisation, service) = (&dispatch.organisation, dispatch.service.as_str());
        self.costs
            .record(organisation, service, &outcome.cost, is_useful);
        self.are_costs_changed = true;
    }

    fn keep_until(&self, job: &Job, now: SidecarClock) -> SidecarClock {
        if job.is_repeatable() {
            return job.deadline.plus(FETCH_GRACE);
        }
        now.plus(self.runner.limits.ledger.keep_finished)
    }

    fn sweep_answers(&mut self, now: SidecarClock) {
        let evicted = self.answers.sweep(now);
        if evicted > 0 {
            let evicted = u64::try_from(evicted).unwrap_or(u64::MAX);
            self.runner
                .counters
                .add("dropped.kept_results_full", evicted);
        }
    }

    fn revoke(&mut self, revoke: Revoke, now: SidecarClock) -> RevokeAnswer {
        let Revoke {
            attempt,
            incarnation,
            expiry,
            cancel_running,
        } = revoke;
        let answer = self.ledger.revoke(attempt, incarnation, expiry, now);
        match &answer {
            RevokeAnswer::Revoked if self.queue.remove(&attempt) => {
                if let Some(job) = self.answers.remove(&attempt) {
                    self.end_refused(&job, Refusal::new(ResultCode::AttemptRevoked, 0));
                }
            }
            RevokeAnswer::Running if cancel_running => self.cancel(attempt),
            _ => {}
        }
        answer
    }

    fn cancel(&self, attempt: AttemptId) {
        let Some(job) = self.answers.get(&attempt) else {
            return;
        };
        // A call that may not be repeated is never cut off: whether it took effect would be lost.
        if job.is_repeatable() {
            job.cancel.notify_one();
        }
    }

    /// Finds what is left of an answer; what is forgotten is never called "not run".
    fn fetch(&self, fetch: &Fetch) -> Fetched {
        let is_ours = fetch.incarnation == self.ledger.incarnation();
        if is_ours && let Some(job) = self.answers.get(&fetch.attempt) {
            return Fetched::Answer(Arc::clone(&job.answer));
        }
        let outcome = match self.ledger.state(&fetch.attempt) {
            Some(LedgerState::Finished(outcome)) if is_ours && outcome.ran() == Ran::No => {
                outcome.clone()
            }
            Some(LedgerState::Revoked) if is_ours => {
                Outcome::without_result(ResultCode::AttemptRevoked)
            }
            _ => Outcome::without_result(ResultCode::OutcomeUnknown),
        };
        Fetched::Outcome(Box::new(outcome))
    }

    fn leave(&mut self, now: SidecarClock) {
        if self.leaving_since.is_none() {
            info!("sidecar: leaving with {} queued", self.ledger.queued());
            self.leaving_since = Some(now);
        }
    }

    fn tick(&mut self, now: SidecarClock) {
        if self.latest_tick.until(now) > PAUSED_AFTER {
            self.runner.counters.count("paused");
            warn!(
                "sidecar: paused for {} ms",
                self.latest_tick.until(now).as_millis()
            );
        }
        self.latest_tick = now;
        self.refuse_queued_while_leaving(now);
        self.ledger.sweep(now);
        self.sweep_answers(now);
    }

    /// Hands back what still waits once leaving has gone on for the grace.
    ///
    /// Admitted attempts may start for that long, so that a short queue simply drains. The rest has
    /// not run and is refused, so that its entries send it elsewhere in time: a backend server that
    /// is leaving gets no new work after a few seconds, and no request is cut off.
    fn refuse_queued_while_leaving(&mut self, now: SidecarClock) {
        let grace = self.runner.limits.leave_grace;
        if self
            .leaving_since
            .is_none_or(|since| since.until(now) < grace)
        {
            return;
        }
        for attempt in self.answers.attempts() {
            if self.queue.remove(&attempt) {
                self.refuse_queued(attempt, ResultCode::Leaving, now);
            }
        }
    }

    fn tell_drained(&mut self) {
        if self.ledger.queued() + self.ledger.running() > 0 {
            return;
        }
        for reply in self.drained.drain(..) {
            answer(reply, ());
        }
    }

    fn costs(&mut self) -> Vec<RowWrite> {
        if std::mem::take(&mut self.are_costs_changed) {
            self.costs.rows().collect()
        } else {
            Vec::new()
        }
    }

    fn figures(&self) -> GateFigures {
        GateFigures {
            queued: self.ledger.queued(),
            running: self.ledger.running(),
            ledger_entries: self.ledger.len(),
            answers: self.answers.len(),
            kept_result_bytes: self.answers.ended_bytes(),
        }
    }

    fn publish_load(&self, now: SidecarClock) {
        let load = self.meter.report(&self.queue, now);
        self.runner.board.set_load(load);
    }
}

/// An asker that has gone away needs no answer.
fn answer<T: Send + 'static>(reply: RpcReplyPort<T>, value: T) {
    let _ = reply.send(value);
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
