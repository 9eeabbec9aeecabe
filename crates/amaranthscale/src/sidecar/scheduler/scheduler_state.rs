//! State of the scheduler and its handling of messages.

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

use super::retained_answers::RetainedAnswers;
use super::{Fetched, SchedulerMessage, SchedulerStatus};
use crate::sidecar::job::Job;
use crate::sidecar::runner::Runner;

/// A tick that is this late means that the process was paused.
const PAUSED_AFTER: Duration = Duration::from_secs(2);
/// Time for which the answer of repeatable work is retained after its deadline, for a late fetch.
const FETCH_GRACE: Duration = Duration::from_secs(1);

/// State of the scheduler.
#[derive(Debug)]
pub(in crate::sidecar) struct SchedulerState {
    myself: ActorRef<SchedulerMessage>,
    runner: Arc<Runner>,
    ledger: Ledger,
    queue: FairQueue,
    answers: RetainedAnswers,
    costs: CostTracker,
    are_costs_changed: bool,
    meter: LoadMeter,
    leaving_since: Option<SidecarClock>,
    latest_tick: SidecarClock,
    drain_waiters: Vec<RpcReplyPort<()>>,
}

impl SchedulerState {
    pub(super) fn new(myself: ActorRef<SchedulerMessage>, runner: Arc<Runner>) -> Self {
        let limits = runner.limits;
        let shared = &runner.shared;
        let max_retained_bytes =
            usize::try_from(limits.max_retained_results.as_bytes()).unwrap_or(usize::MAX);
        let now = shared.now();
        let state = Self {
            myself,
            ledger: Ledger::new(shared.incarnation, limits.ledger),
            queue: FairQueue::new(limits.queue),
            answers: RetainedAnswers::new(max_retained_bytes),
            costs: CostTracker::new(shared.host.clone(), shared.incarnation),
            are_costs_changed: false,
            meter: LoadMeter::default(),
            leaving_since: None,
            latest_tick: now,
            drain_waiters: Vec::new(),
            runner,
        };
        state.publish_load(now);
        state
    }

    pub(super) fn handle(&mut self, message: SchedulerMessage) {
        let now = self.runner.shared.now();
        match message {
            SchedulerMessage::Dispatch(job) => self.dispatch(&job, now),
            SchedulerMessage::Ended(job, outcome) => self.ended(&job, *outcome, now),
            SchedulerMessage::OutcomeRecorded(attempt) => self.answers.record(attempt),
            SchedulerMessage::Revoke(revoke, reply) => send_reply(reply, self.revoke(revoke, now)),
            SchedulerMessage::Fetch(fetch, reply) => send_reply(reply, self.fetch(&fetch)),
            SchedulerMessage::Leave => self.leave(now),
            SchedulerMessage::Tick => self.tick(now),
            SchedulerMessage::WaitDrained(reply) => self.drain_waiters.push(reply),
            SchedulerMessage::CostRows(reply) => send_reply(reply, self.costs()),
            SchedulerMessage::Status(reply) => send_reply(reply, self.status()),
        }
        self.start_queued(now);
        self.publish_load(now);
        self.notify_drained();
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
        if self.runner.shared.is_leaving() {
            return Err(Refusal::new(ResultCode::Leaving, 0));
        }
        let backoff_ms = self.backoff_left_ms();
        if backoff_ms > 0 {
            return Err(Refusal::new(ResultCode::ServersBackingOff, backoff_ms));
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

    /// Starts attempts for which slots are free, and refuses those that can no longer start.
    fn start_queued(&mut self, now: SidecarClock) {
        for item in self.queue.take_displaced() {
            self.refuse_queued(item.attempt, Refusal::new(ResultCode::TrialShed, 0), now);
        }
        for item in self.queue.expired(now) {
            let expired = Refusal::new(ResultCode::ExpiredInQueue, 0);
            self.refuse_queued(item.attempt, expired, now);
        }
        let backoff_ms = self.backoff_left_ms();
        if backoff_ms > 0 {
            // Their entries send them elsewhere at once.
            self.refuse_all_queued(Refusal::new(ResultCode::ServersBackingOff, backoff_ms), now);
        }
        while let Some(item) = self.queue.pop(now) {
            self.start(item.attempt, now);
        }
    }

    fn start(&mut self, attempt: AttemptId, now: SidecarClock) {
        // The ledger decides: after a pause of the process the queue may still contain attempts
        // that their entries have abandoned, and starting those would be wasted work.
        if let Err(code) = self.ledger.start(attempt, now) {
            self.queue.release(attempt);
            self.refuse_queued(attempt, Refusal::new(code, 0), now);
            return;
        }
        let Some(job) = self.answers.get(&attempt).map(Arc::clone) else {
            warn!("sidecar: no job found for {attempt}");
            return;
        };
        let waited = job.arrival.until(now);
        self.meter.record_wait(job.dispatch.class, millis(waited));
        tokio::spawn(Arc::clone(&self.runner).run(job, self.myself.clone()));
    }

    fn refuse_queued(&mut self, attempt: AttemptId, refusal: Refusal, now: SidecarClock) {
        self.ledger.refuse(attempt, refusal.code, now);
        if let Some(job) = self.answers.remove(&attempt) {
            self.end_refused(&job, refusal);
        }
    }

    fn refuse_all_queued(&mut self, refusal: Refusal, now: SidecarClock) {
        for attempt in self.answers.attempts() {
            if self.queue.remove(&attempt) {
                self.refuse_queued(attempt, refusal, now);
            }
        }
    }

    fn backoff_left_ms(&self) -> u64 {
        millis(self.runner.shared.backoff_left())
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
        self.record_load(&outcome, now);
        self.record_cost(job, &outcome);
        self.ledger.finish(attempt, outcome.clone(), now);
        job.answer.end(outcome);
        let retain_until = self.retain_until(job, now);
        self.answers
            .end(attempt, retain_until, !job.is_repeatable());
        self.evict_answers(now);
    }

    fn count_end(&self, outcome: &Outcome) {
        let counters = &self.runner.counters;
        match outcome.ran() {
            Ran::No => counters.count_reason("refused", outcome.code.name()),
            _ if outcome.code == ResultCode::Complete => counters.count("complete"),
            _ => counters.count_reason("failed", outcome.code.name()),
        }
    }

    /// Records how long a call occupied the backend server.
    ///
    /// Only a complete answer shows how long the work takes; a call that ended early is a lower
    /// bound. Otherwise the quick failures of a broken server would make it look fast, and the
    /// queue would accept work that cannot end in time.
    fn record_load(&mut self, outcome: &Outcome, now: SidecarClock) {
        let server_ms = outcome.cost.server_ms;
        if outcome.code == ResultCode::Complete {
            self.meter.record_service(server_ms, now);
        } else {
            self.meter.record_cancelled(server_ms, now);
        }
    }

    fn record_cost(&mut self, job: &Job, outcome: &Outcome) {
        let dispatch = &job.dispatch;
        let is_useful = outcome.code == ResultCode::Complete;
        let (organisation, service) = (&dispatch.organisation, dispatch.service.as_str());
        self.costs
            .record(organisation, service, &outcome.cost, is_useful);
        self.are_costs_changed = true;
    }

    fn retain_until(&self, job: &Job, now: SidecarClock) -> SidecarClock {
        if job.is_repeatable() {
            return job.deadline.plus(FETCH_GRACE);
        }
        now.plus(self.runner.limits.ledger.keep_finished)
    }

    fn evict_answers(&mut self, now: SidecarClock) {
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
        // A call that may not be repeated is never cancelled: it would be unknown whether it took
        // effect.
        if job.is_repeatable() {
            job.cancel.notify_one();
        }
    }

    /// Looks up an answer; an evicted one is never reported as "not run".
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
            info!(
                "sidecar: leaving with {} queued attempts",
                self.ledger.queued()
            );
            self.leaving_since = Some(now);
        }
    }

    fn tick(&mut self, now: SidecarClock) {
        if self.latest_tick.until(now) > PAUSED_AFTER {
            self.runner.counters.count("paused");
            warn!(
                "sidecar: process was paused for {} ms",
                self.latest_tick.until(now).as_millis()
            );
        }
        self.latest_tick = now;
        self.refuse_queued_while_leaving(now);
        self.ledger.sweep(now);
        self.evict_answers(now);
    }

    /// Refuses queued attempts after the grace period of leaving.
    ///
    /// Queued attempts may start until then, so that a short queue simply drains. The rest did not
    /// run and is refused, so that its entries send it elsewhere in time: a leaving backend server
    /// gets no new work after a few seconds, and no running request is aborted.
    fn refuse_queued_while_leaving(&mut self, now: SidecarClock) {
        let grace = self.runner.limits.leave_grace;
        if self
            .leaving_since
            .is_none_or(|since| since.until(now) < grace)
        {
            return;
        }
        self.refuse_all_queued(Refusal::new(ResultCode::Leaving, 0), now);
    }

    fn notify_drained(&mut self) {
        if self.ledger.queued() + self.ledger.running() > 0 {
            return;
        }
        for reply in self.drain_waiters.drain(..) {
            send_reply(reply, ());
        }
    }

    fn costs(&mut self) -> Vec<RowWrite> {
        if std::mem::take(&mut self.are_costs_changed) {
            self.costs.rows().collect()
        } else {
            Vec::new()
        }
    }

    fn status(&self) -> SchedulerStatus {
        SchedulerStatus {
            queued: self.ledger.queued(),
            running: self.ledger.running(),
            ledger_entries: self.ledger.len(),
            answers: self.answers.len(),
            kept_result_bytes: self.answers.ended_bytes(),
        }
    }

    fn publish_load(&self, now: SidecarClock) {
        let load = self.meter.report(&self.queue, now);
        self.runner.shared.set_load(load);
    }
}

/// Sends a reply; a receiver that was dropped is ignored.
fn send_reply<T: Send + 'static>(reply: RpcReplyPort<T>, value: T) {
    let _ = reply.send(value);
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
