//! Callers: they send requests at their own rate, and retry after the delay that a refusal states.

use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::process::Refusal;
use rand::RngExt;

use super::super::deployment::SETTLE;
use super::super::event::Event;
use super::super::request::Request;
use super::super::{Mechanism, Scenario};
use super::{END, Simulation};

/// Retry delay of a caller whose answer states none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Retry delay of a caller that ignores stated delays.
const BASELINE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of times that a caller in a storm repeats a failed request.
const MAX_REPEATS: u32 = 5;

impl Simulation {
    /// Schedules the next arrival of an organisation, at its current rate.
    pub(super) fn schedule_arrival(&mut self, organisation: usize, pipeline: usize) {
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
        if self.event_queue.now() + wait < END {
            self.event_queue.after(
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
        self.schedule_arrival(organisation, pipeline);
        let is_long = self.random.random_bool(self.long_share);
        self.new_request(organisation, pipeline, is_long, 0);
    }

    /// Records the final answer of one try; the caller retries, repeats the request or stops.
    pub(super) fn answer(&mut self, request: usize, code: ResultCode, retry_after: Option<u64>) {
        self.close(request, code);
        let now = self.event_queue.now();
        let wait = self.caller_wait(retry_after);
        let asked = &mut self.requests[request];
        let may_retry_later = retry_after.is_some() && now + wait < asked.deadline;
        if may_retry_later {
            self.event_queue.after(wait, Event::Try { request });
            return;
        }
        assert!(asked.answer.is_none(), "a request has one final answer");
        asked.answer = Some((code, now));
        if !asked.is_attained() && self.scenario == Scenario::RetryStorm {
            self.repeat_request(request, wait);
        }
    }

    fn new_request(&mut self, organisation: usize, pipeline: usize, is_long: bool, repeats: u32) {
        let now = self.event_queue.now();
        let deadline = now + self.deployment.pipelines[pipeline].deadline;
        self.requests.push(Request {
            organisation,
            pipeline,
            entry: 0,
            first_sent_at: now,
            deadline,
            is_long,
            try_number: 0,
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
        self.send_try(self.requests.len() - 1);
    }

    /// In a storm, a caller whose request failed sends it again as a new one with a full deadline.
    fn repeat_request(&mut self, request: usize, wait: Duration) {
        if self.requests[request].repeats < MAX_REPEATS {
            self.event_queue.after(wait, Event::Repeat { request });
        }
    }

    /// The new request of [`Self::repeat_request`].
    pub(super) fn arrive_repeat(&mut self, request: usize) {
        let former = &self.requests[request];
        let (organisation, pipeline) = (former.organisation, former.pipeline);
        let (is_long, repeats) = (former.is_long, former.repeats + 1);
        self.new_request(organisation, pipeline, is_long, repeats);
    }

    /// Callers honour the stated retry delay; those of the baseline get none.
    fn caller_wait(&self, retry_after_ms: Option<u64>) -> Duration {
        if !self.mechanisms.has(Mechanism::Admission) {
            return BASELINE_RETRY_DELAY;
        }
        retry_after_ms.map_or(DEFAULT_RETRY_DELAY, Duration::from_millis)
    }

    /// Ends one try at its entry.
    fn close(&mut self, request: usize, code: ResultCode) {
        self.check_answer(request, code);
        let asked = &mut self.requests[request];
        asked.is_open = false;
        if std::mem::take(&mut asked.is_admitted) {
            let organisation = super::name(self.deployment.organisations[asked.organisation].name);
            self.entries[asked.entry].limits.ended(&organisation);
        }
    }

    /// Ends a try with a refusal.
    pub(super) fn refuse(&mut self, request: usize, refusal: Refusal) {
        self.answer(request, refusal.code, Some(refusal.retry_after_ms));
    }
}
