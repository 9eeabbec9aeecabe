//! Handling of requests at an entry, with the core's decision code.

use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{AttemptId, AttemptNumber, RequestId, StageIndex};
use amaranthscale_core::process::{Admission, AttemptEnd, Refusal, StageEstimate};
use amaranthscale_core::unit::TimeBudget;
use amaranthscale_core::wire::Stamp;
use rand::RngExt;

use super::super::Mechanism;
use super::super::attempt::Attempt;
use super::super::event::Event;
use super::super::fake_server::Condition;
use super::{MESSAGE_DELAY, Simulation, name};

/// Interval of connection checks; an attempt whose connection does not answer has timed out.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Maximum attempts of one stage with a retry budget, and without one.
const MAX_TRIES: usize = 4;
const MAX_TRIES_WITHOUT_BUDGET: usize = 10;
/// Without a retry budget an attempt times out after the whole deadline divided by this.
const TIMEOUTS_PER_DEADLINE: u32 = 2;
/// Retry delay while the table is unavailable.
const TABLE_RETRY_AFTER_MS: u64 = 1_000;

impl Simulation {
    /// A caller sends a try to an entry that the balancer chooses.
    pub(super) fn send_try(&mut self, request: usize) {
        let entry = self.random.random_range(0..self.entries.len());
        let asked = &mut self.requests[request];
        asked.entry = entry;
        asked.try_number += 1;
        asked.is_open = true;
        asked.stage = 0;
        asked.attempts.clear();
        asked.waiting.clear();
        let deadline = Event::Deadline {
            request,
            try_number: asked.try_number,
        };
        self.event_queue
            .at(self.requests[request].deadline, deadline);
        match self.admit(request) {
            Ok(()) => self.start_stage(request),
            Err(refusal) => self.refuse(request, refusal),
        }
    }

    /// The deadline has passed: the work is no longer needed.
    pub(super) fn deadline(&mut self, request: usize, try_number: u32) {
        let asked = &self.requests[request];
        if !asked.is_open || asked.try_number != try_number {
            return;
        }
        self.cancel_waiting(request);
        let code = self.failure_code(request, ResultCode::ExpiredInQueue);
        self.answer(request, code, None);
    }

    /// An answer has arrived at the entry.
    pub(super) fn reply(&mut self, attempt: usize, end: AttemptEnd, stamp: &Stamp) {
        let now = self.event_queue.now();
        let entry = self.requests[self.attempts[attempt].request].entry;
        let host = self.attempts[attempt].host.clone();
        self.entries[entry].router.observe(&host, stamp, now);
        self.end_attempt(attempt, end);
    }

    /// The connection to a dead process was reset.
    pub(super) fn reset(&mut self, attempt: usize) {
        self.end_attempt(attempt, AttemptEnd::Failed);
    }

    /// The first attempt is slow: sends a second one in parallel, if the budget allows.
    pub(super) fn hedge(&mut self, attempt: usize) {
        let Attempt {
            request, is_ended, ..
        } = self.attempts[attempt];
        let entry = self.requests[request].entry;
        if is_ended || !self.entries[entry].hedges.try_retry() {
            return;
        }
        // Without a second host the first attempt just continues.
        let _ = self.dispatch(request);
    }

    /// Checks whether an attempt's connection still answers.
    pub(super) fn keep_alive(&mut self, attempt: usize) {
        if self.attempts[attempt].is_ended {
            return;
        }
        if !self.mechanisms.has(Mechanism::RetryBudget) {
            self.time_out(attempt);
            return;
        }
        match self.servers[self.attempts[attempt].server].condition {
            Condition::Up | Condition::Dead => {
                self.event_queue
                    .after(KEEP_ALIVE, Event::KeepAlive { attempt });
            }
            Condition::Frozen | Condition::Gone => self.end_attempt(attempt, AttemptEnd::TimedOut),
        }
    }

    fn admit(&mut self, request: usize) -> Result<(), Refusal> {
        let now = self.event_queue.now();
        let estimates = self.estimates(request, 0);
        let entries = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        let asked = &mut self.requests[request];
        let spec = &self.deployment.organisations[asked.organisation];
        let entry = &mut self.entries[asked.entry];
        if self.mechanisms.has(Mechanism::Admission) {
            let budget = TimeBudget::new(asked.deadline.saturating_sub(now));
            entry
                .admission
                .decide(budget, &estimates, spec.class, now)?;
        }
        if self.mechanisms.has(Mechanism::Limits) {
            let limit = Some(spec.limit);
            entry
                .limits
                .admit(&name(spec.name), limit, None, entries, now)?;
            asked.is_admitted = true;
        }
        Ok(())
    }

    fn estimates(&self, request: usize, from_stage: usize) -> Vec<StageEstimate> {
        let now = self.event_queue.now();
        let asked = &self.requests[request];
        let class = self.deployment.organisations[asked.organisation].class;
        let stages = &self.deployment.pipelines[asked.pipeline].stages;
        let router = &self.entries[asked.entry].router;
        let services = stages
            .iter()
            .skip(from_stage)
            .map(|&service| self.service_id(service));
        services
            .map(|service| router.estimate(&service, class, now))
            .collect()
    }

    fn start_stage(&mut self, request: usize) {
        let asked = &mut self.requests[request];
        asked.tried.clear();
        let entry = &mut self.entries[asked.entry];
        entry.retries.first_try();
        entry.hedges.first_try();
        match self.dispatch(request) {
            Ok(attempt) => self.schedule_hedge(attempt),
            Err(refusal) => self.end_with_failure(request, refusal),
        }
    }

    fn dispatch(&mut self, request: usize) -> Result<usize, Refusal> {
        let now = self.event_queue.now();
        let expiry = self.expiry(request);
        let asked = &mut self.requests[request];
        let pipeline = &self.deployment.pipelines[asked.pipeline];
        let service = name(self.deployment.services[pipeline.stages[asked.stage]].name);
        let is_repeatable = pipeline.is_repeatable;
        let router = &mut self.entries[asked.entry].router;
        let host = router.choose_for(&service, &asked.tried, None, is_repeatable, now)?;
        router.started(&host, now);
        let server = self
            .servers
            .iter()
            .position(|server| *server.host() == host);
        let id = AttemptId {
            request: RequestId::from_random_bits(request as u128),
            stage: StageIndex::new(u8::try_from(asked.stage).unwrap_or(u8::MAX)),
            number: AttemptNumber::new(asked.attempts_made),
        };
        asked.attempts_made += 1;
        asked.tried.push(host.clone());
        let attempt = self.attempts.len();
        asked.attempts.push(attempt);
        asked.waiting.push(attempt);
        self.by_id.insert(id, attempt);
        self.attempts.push(Attempt {
            id,
            request,
            try_number: asked.try_number,
            server: server.expect("a listed host has a server"),
            host,
            sent_at: now,
            expiry,
            is_ended: false,
            queued_at: now,
            started_at: None,
            stopped_at: None,
            is_used: false,
        });
        self.event_queue
            .after(MESSAGE_DELAY, Event::Dispatched { attempt });
        let timeout = self.attempt_timeout(request);
        self.event_queue
            .after(timeout, Event::KeepAlive { attempt });
        Ok(attempt)
    }

    fn expiry(&self, request: usize) -> Duration {
        let now = self.event_queue.now();
        let asked = &self.requests[request];
        let later = self.estimates(request, asked.stage + 1);
        let budget = TimeBudget::new(asked.deadline.saturating_sub(now));
        now + Admission::stage_budget(budget, &later).duration()
    }

    fn attempt_timeout(&self, request: usize) -> Duration {
        if self.mechanisms.has(Mechanism::RetryBudget) {
            return KEEP_ALIVE;
        }
        let pipeline = self.requests[request].pipeline;
        self.deployment.pipelines[pipeline].deadline / TIMEOUTS_PER_DEADLINE
    }

    fn schedule_hedge(&mut self, attempt: usize) {
        let asked = &self.requests[self.attempts[attempt].request];
        let pipeline = &self.deployment.pipelines[asked.pipeline];
        if !self.mechanisms.has(Mechanism::Hedges) || !pipeline.is_repeatable {
            return;
        }
        let service = pipeline.stages[asked.stage];
        if let Some(delay) = self.entries[asked.entry].hedge_delay(service) {
            self.event_queue.after(delay, Event::Hedge { attempt });
        }
    }

    fn end_attempt(&mut self, attempt: usize, end: AttemptEnd) {
        // An answer to an attempt that has ended only updates the stamp.
        if self.attempts[attempt].is_ended {
            return;
        }
        self.record_attempt_end(attempt, end);
        match end {
            AttemptEnd::Complete => self.stage_done(attempt),
            AttemptEnd::Refused(code) => self.retry(attempt, code),
            AttemptEnd::Failed => self.retry(attempt, ResultCode::BackendUnreachable),
            AttemptEnd::TimedOut => self.retry(attempt, ResultCode::NoBackendServer),
            AttemptEnd::Cancelled => {}
        }
    }

    /// The entry no longer waits for an attempt, and its router records the reason.
    fn record_attempt_end(&mut self, attempt: usize, end: AttemptEnd) {
        let now = self.event_queue.now();
        let ended = &mut self.attempts[attempt];
        ended.is_ended = true;
        let asked = &mut self.requests[ended.request];
        asked.waiting.retain(|waiting| *waiting != attempt);
        let elapsed = now.saturating_sub(ended.sent_at);
        let (entry, server, host) = (asked.entry, ended.server, ended.host.clone());
        self.entries[entry].router.ended(&host, end, elapsed, now);
        self.check_ejected(entry, server);
    }

    fn stage_done(&mut self, attempt: usize) {
        let now = self.event_queue.now();
        let done = &mut self.attempts[attempt];
        done.is_used = true;
        let elapsed = now.saturating_sub(done.sent_at);
        let (request, service) = (done.request, self.servers[done.server].service);
        self.cancel_waiting(request);
        let asked = &mut self.requests[request];
        self.entries[asked.entry].record(service, elapsed);
        asked.stage += 1;
        let stages = self.deployment.pipelines[asked.pipeline].stages.len();
        if asked.stage < stages {
            self.start_stage(request);
        } else {
            self.answer(request, ResultCode::Complete, None);
        }
    }

    fn retry(&mut self, attempt: usize, code: ResultCode) {
        let Attempt {
            request,
            started_at,
            ..
        } = self.attempts[attempt];
        if !self.requests[request].waiting.is_empty() {
            return;
        }
        let refusal = Refusal::new(code, TABLE_RETRY_AFTER_MS);
        let asked = &self.requests[request];
        let is_repeatable = self.deployment.pipelines[asked.pipeline].is_repeatable;
        if started_at.is_some() && !is_repeatable {
            self.answer(request, ResultCode::OutcomeUnknown, None);
            return;
        }
        // Another sidecar would use the same table.
        if code == ResultCode::TableAway || !self.may_retry(request) {
            self.end_with_failure(request, refusal);
            return;
        }
        self.retries += 1;
        if let Err(refusal) = self.dispatch(request) {
            self.end_with_failure(request, refusal);
        }
    }

    fn may_retry(&mut self, request: usize) -> bool {
        let asked = &self.requests[request];
        if !self.mechanisms.has(Mechanism::RetryBudget) {
            return asked.tried.len() < MAX_TRIES_WITHOUT_BUDGET;
        }
        asked.tried.len() < MAX_TRIES && self.entries[asked.entry].retries.try_retry()
    }

    /// Without a retry budget: after a timeout another attempt is sent, and the first continues.
    fn time_out(&mut self, attempt: usize) {
        let request = self.attempts[attempt].request;
        let is_repeatable =
            self.deployment.pipelines[self.requests[request].pipeline].is_repeatable;
        if is_repeatable && self.may_retry(request) && self.dispatch(request).is_ok() {
            self.retries += 1;
        }
    }

    fn end_with_failure(&mut self, request: usize, refusal: Refusal) {
        let code = self.failure_code(request, refusal.code);
        if code == refusal.code {
            self.refuse(request, refusal);
        } else {
            self.answer(request, code, None);
        }
    }

    /// The result code that states correctly whether the request ran.
    fn failure_code(&self, request: usize, if_not_run: ResultCode) -> ResultCode {
        let asked = &self.requests[request];
        let has_run = asked
            .attempts
            .iter()
            .any(|&attempt| self.attempts[attempt].ran());
        let is_repeatable = self.deployment.pipelines[asked.pipeline].is_repeatable;
        match (has_run, is_repeatable) {
            (false, _) => if_not_run,
            (true, true) => ResultCode::StageRefused,
            (true, false) => ResultCode::OutcomeUnknown,
        }
    }

    fn cancel_waiting(&mut self, request: usize) {
        for attempt in std::mem::take(&mut self.requests[request].waiting) {
            self.record_attempt_end(attempt, AttemptEnd::Cancelled);
            if self.mechanisms.has(Mechanism::Cancel) {
                self.event_queue
                    .after(MESSAGE_DELAY, Event::Revoked { attempt });
            }
        }
    }
}
