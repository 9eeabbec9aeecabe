//! Callers: they ask at their own pace, and come back when told to.

use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::process::Refusal;
use rand::RngExt;

use super::super::deployment::SETTLE;
use super::super::event::Event;
use super::super::request::Request;
use super::super::{Mechanism, Scenario};
use super::{Bench, END};

/// Pause of a caller that was given no time to come back.
const PAUSE: Duration = Duration::from_millis(500);
/// Pause of a caller that asks again at will.
const NO_PAUSE: Duration = Duration::from_millis(10);
/// Times that a caller in a storm asks anew.
const MAX_REPEATS: u32 = 5;

impl Bench {
    /// Plans the next arrival of an organisation, at its present rate.
    pub(super) fn plan_arrival(&mut self, organisation: usize, pipeline: usize) {
        let spec = &self.deployment.organisations[organisation];
        let rate = if pipeline == SETTLE {
            spec.settle_rate
        } else {
            spec.rate
        };
        let per_s = rate.get() * self.demand_factors[organisation];
        if per_s <= 0.0 {
            return;
        }
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        let wait = Duration::from_secs_f64(-draw.ln() / per_s);
        if self.agenda.now() + wait < END {
            self.agenda.after(
                wait,
                Event::Arrival {
                    organisation,
                    pipeline,
                },
            );
        }
    }

    /// A new request; the organisation's next one does not wait for its answer.
    pub(super) fn arrive(&mut self, organisation: usize, pipeline: usize) {
        self.plan_arrival(organisation, pipeline);
        let is_long = self.random.random_bool(self.long_share);
        self.new_request(organisation, pipeline, is_long, 0);
    }

    /// Takes the final answer to one ask, and lets the caller decide what to do.
    pub(super) fn answer(&mut self, request: usize, code: ResultCode, retry_after: Option<u64>) {
        self.close(request, code);
        let now = self.agenda.now();
        let wait = self.caller_wait(retry_after);
        let asked = &mut self.requests[request];
        let may_ask_again = retry_after.is_some() && now + wait < asked.deadline;
        if may_ask_again {
            self.agenda.after(wait, Event::Ask { request });
            return;
        }
        assert!(asked.answer.is_none(), "a request has one final answer");
        asked.answer = Some((code, now));
        if !asked.is_attained() && self.scenario == Scenario::RetryStorm {
            self.ask_anew(request, wait);
        }
    }

    fn new_request(&mut self, organisation: usize, pipeline: usize, is_long: bool, repeats: u32) {
        let now = self.agenda.now();
        let deadline = now + self.deployment.pipelines[pipeline].deadline;
        self.requests.push(Request {
            organisation,
            pipeline,
            entry: 0,
            asked_at: now,
            deadline,
            is_long,
            ask: 0,
            is_open: false,
            is_admitted: false,
            stage: 0,
            attempts: Vec::new(),
            waiting: Vec::new(),
            tried: Vec::new(),
            attempts_made: 0,
            repeats,
            answer: None,
        });
        self.ask(self.requests.len() - 1);
    }

    /// In a storm, a caller whose request failed asks the same anew, with a whole deadline.
    fn ask_anew(&mut self, request: usize, wait: Duration) {
        if self.requests[request].repeats < MAX_REPEATS {
            self.agenda.after(wait, Event::AskAnew { request });
        }
    }

    /// The fresh request of [`ask_anew`](Self::ask_anew).
    pub(super) fn arrive_anew(&mut self, request: usize) {
        let former = &self.requests[request];
        let (organisation, pipeline) = (former.organisation, former.pipeline);
        let (is_long, repeats) = (former.is_long, former.repeats + 1);
        self.new_request(organisation, pipeline, is_long, repeats);
    }

    /// Callers honour the time to come back; those of the baseline get none and ask at will.
    fn caller_wait(&self, retry_after_ms: Option<u64>) -> Duration {
        if !self.mechanisms.has(Mechanism::Admission) {
            return NO_PAUSE;
        }
        retry_after_ms.map_or(PAUSE, Duration::from_millis)
    }

    /// Closes one ask at its entry.
    fn close(&mut self, request: usize, code: ResultCode) {
        self.check_answer(request, code);
        let asked = &mut self.requests[request];
        asked.is_open = false;
        if std::mem::take(&mut asked.is_admitted) {
            let organisation = super::name(self.deployment.organisations[asked.organisation].name);
            self.entries[asked.entry].limits.ended(&organisation);
        }
    }

    /// Ends an ask as refused.
    pub(super) fn refuse(&mut self, request: usize, refusal: Refusal) {
        self.answer(request, refusal.code, Some(refusal.retry_after_ms));
    }
}
