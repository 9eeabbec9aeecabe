//! One stage of a request: attempts until one gives the result, or nothing more may be tried.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::{AttemptId, AttemptNumber, HostId, RequestId, ServiceId, StageIndex};
use amaranthscale_core::process::{AttemptEnd, Refusal};
use amaranthscale_core::unit::Budget;
use amaranthscale_core::version::Stage;
use amaranthscale_core::wire::{self, ClaimKey, ClaimTicket, Dispatch, Hello, StageCost, Stamp};
use amaranthscale_core::{Ran, ResultCode};
use bytes::Bytes;
use hyper::Response;
use hyper::body::Incoming;
use log::debug;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, timeout_at};

use super::attempt_run::{AttemptOutcome, AttemptRun, Destination};
use super::claim_check::{ClaimHolder, ClaimNext, cancel_claim, check_claim};
use super::{Answer, CallerRequest, TokenLines, TokenText};
use crate::connection::read_body;
use crate::entry::process::{
    AttemptReport, Decision, EntryParts, KnownSidecar, Route, RouteQuestion,
};
use crate::process::ControlKind;

/// Most attempts at one stage, so that a request cannot wander over a whole service.
const MAX_ATTEMPTS: u32 = 5;
/// Longest stamp that a sidecar answers with.
const MAX_STAMP_BYTES: usize = 16 * 1024;
/// Part of the remaining time that an attempt may not use, so that its own end arrives before the
/// request's deadline and says whether it ran.
const MARGIN_DIVISOR: u32 = 20;
/// Longest time kept back for an attempt's own end.
const LONGEST_MARGIN: Duration = Duration::from_millis(50);
/// Least time given to settling a claim, also past the deadline: the answer must be right first.
const SETTLE_PATIENCE: Duration = Duration::from_millis(500);

/// What a stage works on.
#[derive(Debug, Clone)]
pub struct StageTask<'a> {
    /// Request that the stage belongs to.
    pub request: &'a CallerRequest,
    /// Id of that request.
    pub request_id: RequestId,
    /// Position of the stage.
    pub index: StageIndex,
    /// The stage.
    pub stage: &'a Stage,
    /// The stages after it.
    pub later: &'a [Stage],
    /// Body for the backend server.
    pub input: Bytes,
    /// When the request's answer is due.
    pub due: Instant,
    /// Host of this entry.
    pub entry: &'a HostId,
    /// Takes tokens as they come, if the caller wants them.
    pub tokens: Option<&'a UnboundedSender<TokenText>>,
}

/// Runs one stage.
#[derive(Debug)]
pub struct StageRun<'a> {
    parts: &'a EntryParts,
    task: StageTask<'a>,
    number: AttemptNumber,
    tried: Vec<HostId>,
    lines: TokenLines,
    ticket: Option<ClaimTicket>,
    last_refusal: Option<Answer>,
    has_run: bool,
    is_resend: bool,
}

/// What one attempt means for the stage.
enum Verdict {
    Done(Answer),
    TryAgain,
}

impl<'a> StageRun<'a> {
    /// Prepares a stage.
    #[must_use]
    pub fn new(parts: &'a EntryParts, task: StageTask<'a>) -> Self {
        Self {
            parts,
            task,
            number: AttemptNumber::default(),
            tried: Vec::new(),
            lines: TokenLines::default(),
            ticket: None,
            last_refusal: None,
            has_run: false,
            is_resend: false,
        }
    }

    /// Runs the stage to its one answer.
    pub async fn run(mut self) -> Answer {
        if !self.task.stage.is_repeatable {
            match self.check_claim().await {
                ClaimNext::Dispatch(ticket) => self.ticket = Some(ticket),
                ClaimNext::Follow(holder) => return self.follow(holder).await,
                ClaimNext::Final(answer) => return answer,
            }
        }
        while self.number.get() < MAX_ATTEMPTS {
            match self.attempt().await {
                Verdict::Done(answer) => return answer,
                Verdict::TryAgain => self.number = self.number.next(),
            }
        }
        self.out_of_tries()
    }

    async fn attempt(&mut self) -> Verdict {
        let question = RouteQuestion {
            service: self.task.stage.service.clone(),
            later: self.later_services(),
            class: self.task.request.class,
            exclude: self.tried.clone(),
            affinity: self.task.request.affinity,
            is_retry: self.number.get() > 0 && !std::mem::take(&mut self.is_resend),
            is_repeatable: self.task.stage.is_repeatable,
            due: self.task.due,
        };
        let route = match self.parts.decisions.route(question).await {
            Ok(route) => route,
            Err(refusal) => return Verdict::Done(self.no_route(refusal)),
        };
        let mut watch = AttemptWatch::new(self.parts, &self.task, &route);
        let Some(known) = self.known_sidecar(&route).await else {
            watch.ended(AttemptEnd::Silent, None, StageCost::default());
            self.tried.push(route.host);
            self.last_refusal = Some(Answer::of_code(ResultCode::NoBackendServer));
            return Verdict::TryAgain;
        };
        self.tried.push(route.host.clone());
        self.dispatch(&route, known, watch).await
    }

    async fn dispatch(
        &mut self,
        route: &Route,
        known: KnownSidecar,
        mut watch: AttemptWatch,
    ) -> Verdict {
        let dispatch = self.dispatch_message(known, route.stage_due);
        let destination = Destination {
            address: route.address,
            attempt: dispatch.attempt,
            incarnation: dispatch.incarnation,
            expiry: dispatch.expiry,
            is_repeatable: self.task.stage.is_repeatable,
            due: self.task.due,
        };
        watch.sent(destination);
        self.lines.resume();
        let outcome = {
            let lines = &mut self.lines;
            let (is_streaming, tokens) = (self.task.stage.is_streaming, self.task.tokens);
            let on_data = move |data: &[u8]| take_tokens(is_streaming, lines, tokens, data);
            AttemptRun::new(self.parts, destination, on_data)
                .dispatch(&dispatch)
                .await
        };
        self.judge(outcome, destination, watch).await
    }

    async fn judge(
        &mut self,
        outcome: AttemptOutcome,
        destination: Destination,
        mut watch: AttemptWatch,
    ) -> Verdict {
        match outcome {
            AttemptOutcome::Complete(result, end) => {
                let Some(answer) = self.complete(result, end.outcome.backend_status) else {
                    self.parts.counters.count("result.broken_stream");
                    watch.ended(AttemptEnd::Failed, Some(end.stamp), end.outcome.cost);
                    self.has_run = true;
                    return Verdict::TryAgain;
                };
                watch.ended(AttemptEnd::Complete, Some(end.stamp), end.outcome.cost);
                Verdict::Done(answer)
            }
            AttemptOutcome::NotRun(code, retry_after_ms, stamp) => {
                let stamp = stamp.map(|stamp| *stamp);
                watch.ended(AttemptEnd::Refused(code), stamp, StageCost::default());
                self.not_run(code, retry_after_ms).await
            }
            AttemptOutcome::Failed(end) => {
                watch.ended(AttemptEnd::Failed, Some(end.stamp), end.outcome.cost);
                self.failed(end.outcome.code, end.outcome.backend_status)
            }
            AttemptOutcome::Unknown => {
                watch.ended(AttemptEnd::Silent, None, StageCost::default());
                self.unknown(destination).await
            }
            AttemptOutcome::TimedOut => {
                watch.ended(AttemptEnd::Silent, None, StageCost::default());
                self.timed_out(destination).await
            }
        }
    }

    fn complete(&self, result: Bytes, backend_status: u16) -> Option<Answer> {
        let result = if self.task.stage.is_streaming {
            self.lines.whole()?
        } else {
            result
        };
        Some(Answer {
            backend_status,
            ..Answer::complete(result)
        })
    }

    /// A refusal that is proven not run: another sidecar may take the work.
    async fn not_run(&mut self, code: ResultCode, retry_after_ms: Option<u64>) -> Verdict {
        self.parts
            .counters
            .count_reason("attempt.refused", code.name());
        let answer = Answer {
            retry_after_ms,
            ..Answer::of_code(code)
        };
        match code {
            ResultCode::ClaimLost => self.claim_lost().await,
            ResultCode::WrongIncarnation | ResultCode::AttemptExpired => {
                // The sidecar is fine; only our knowledge of it was old.
                self.tried.pop();
                self.again_after(answer)
            }
            ResultCode::AttemptRevoked => {
                // Guards against an idle connection that went silent: each attempt sent on it never
                // arrives, and with the host left out, or the retry budget empty, the caller would
                // see a refusal with most of its deadline left. The sidecar is fine, since it took
                // the attempt back on a new connection, and the attempt has cost it nothing.
                self.tried.pop();
                self.is_resend = true;
                self.again_after(answer)
            }
            _ => self.again_after(answer),
        }
    }

    fn failed(&mut self, code: ResultCode, backend_status: u16) -> Verdict {
        self.parts
            .counters
            .count_reason("attempt.failed", code.name());
        self.has_run = true;
        let is_broken = code == ResultCode::BackendBroke || backend_status >= 500;
        let answer = Answer {
            backend_status,
            ..Answer::of_code(code)
        };
        if self.task.stage.is_repeatable && is_broken {
            return self.again_after(answer);
        }
        Verdict::Done(answer)
    }

    /// Whether the attempt ran cannot be told from its sidecar.
    async fn unknown(&mut self, destination: Destination) -> Verdict {
        self.parts.counters.count("attempt.unknown");
        if self.task.stage.is_repeatable {
            self.has_run = true;
            return self.again_after(Answer::of_code(ResultCode::BackendBroke));
        }
        self.settle_claim(destination).await
    }

    async fn timed_out(&mut self, destination: Destination) -> Verdict {
        self.parts.counters.count("attempt.timed_out");
        if self.task.stage.is_repeatable {
            return Verdict::Done(Answer::of_code(ResultCode::DeadlinePassed));
        }
        match self.settle_claim(destination).await {
            // The call goes on, and its outcome is kept: the same key brings it later.
            Verdict::Done(answer) if answer.code == ResultCode::OutcomeUnknown => {
                Verdict::Done(Answer::of_code(ResultCode::StillRunning))
            }
            verdict => verdict,
        }
    }

    async fn settle_claim(&mut self, destination: Destination) -> Verdict {
        let Some(ticket) = self.ticket.clone() else {
            return Verdict::Done(Answer::of_code(ResultCode::OutcomeUnknown));
        };
        let until = self.task.due.max(Instant::now() + SETTLE_PATIENCE);
        let attempt = destination.attempt;
        let next = cancel_claim(self.parts, &ticket, attempt, self.task.entry, until).await;
        match next {
            ClaimNext::Dispatch(ticket) => {
                self.ticket = Some(ticket);
                self.again_after(Answer::of_code(ResultCode::NoBackendServer))
            }
            // The holder was asked already and did not answer.
            ClaimNext::Follow(holder) if holder.attempt == attempt => {
                Verdict::Done(Answer::of_code(ResultCode::OutcomeUnknown))
            }
            ClaimNext::Follow(holder) => Verdict::Done(self.follow(holder).await),
            ClaimNext::Final(answer) => Verdict::Done(answer),
        }
    }

    async fn claim_lost(&mut self) -> Verdict {
        match self.check_claim().await {
            ClaimNext::Dispatch(ticket) => {
                self.ticket = Some(ticket);
                self.again_after(Answer::of_code(ResultCode::ClaimLost))
            }
            ClaimNext::Follow(holder) => Verdict::Done(self.follow(holder).await),
            ClaimNext::Final(answer) => Verdict::Done(answer),
        }
    }

    async fn check_claim(&self) -> ClaimNext {
        let Some(key) = self.task.request.key.clone() else {
            return ClaimNext::Final(Answer::of_code(ResultCode::MissingIdempotencyKey));
        };
        let organisation = self.task.request.organisation.clone();
        let key = ClaimKey {
            organisation,
            key,
            stage: self.task.index,
        };
        check_claim(self.parts, &key, self.task.request.fingerprint).await
    }

    /// Asks the sidecar that holds the claim for the answer.
    async fn follow(&self, holder: ClaimHolder) -> Answer {
        let unknown = Answer::of_code(ResultCode::OutcomeUnknown);
        let Some(address) = self.parts.decisions.address(&holder.host).await else {
            return unknown;
        };
        let destination = Destination {
            address,
            attempt: holder.attempt,
            incarnation: holder.incarnation,
            expiry: amaranthscale_core::unit::SidecarClock::default(),
            is_repeatable: false,
            due: self.task.due,
        };
        match AttemptRun::new(self.parts, destination, |_data: &[u8]| {})
            .follow()
            .await
        {
            AttemptOutcome::Complete(result, end) => {
                let backend_status = end.outcome.backend_status;
                Answer {
                    backend_status,
                    ..Answer::complete(result)
                }
            }
            AttemptOutcome::Failed(end) => Answer {
                backend_status: end.outcome.backend_status,
                ..Answer::of_code(end.outcome.code)
            },
            AttemptOutcome::TimedOut => Answer::of_code(ResultCode::StillRunning),
            // The holder is proven not to have made the call, and its row is being freed.
            AttemptOutcome::NotRun(code, retry_after_ms, _) => Answer {
                retry_after_ms,
                ..Answer::of_code(code)
            },
            AttemptOutcome::Unknown => unknown,
        }
    }

    fn again_after(&mut self, answer: Answer) -> Verdict {
        if Instant::now() >= self.task.due {
            return Verdict::Done(self.final_refusal(answer));
        }
        self.last_refusal = Some(answer);
        Verdict::TryAgain
    }

    fn no_route(&mut self, refusal: Refusal) -> Answer {
        self.parts
            .counters
            .count_reason("route.refused", refusal.code.name());
        let answer = self.last_refusal.take().unwrap_or_else(|| refusal.into());
        let retry_after_ms = answer.retry_after_ms.or(Some(refusal.retry_after_ms));
        self.final_refusal(Answer {
            retry_after_ms,
            ..answer
        })
    }

    fn out_of_tries(mut self) -> Answer {
        let last = self.last_refusal.take();
        let answer = last.unwrap_or_else(|| Answer::of_code(ResultCode::NoBackendServer));
        self.final_refusal(answer)
    }

    /// Guards against saying "not run" of repeatable work whose earlier attempt ran.
    fn final_refusal(&self, answer: Answer) -> Answer {
        if self.has_run && answer.code.ran() == Ran::No {
            return Answer {
                code: ResultCode::StageRefused,
                ..answer
            };
        }
        answer
    }

    fn later_services(&self) -> Vec<ServiceId> {
        let services = self.task.later.iter().map(|stage| &stage.service);
        services.cloned().collect()
    }

    /// The message of the next attempt.
    ///
    /// Its expiry leaves the later stages their time, so that the sidecar's queue starts nothing
    /// whose answer would come too late for them. What has started may use the whole rest: the
    /// later stages may turn out quicker than estimated.
    fn dispatch_message(&self, known: KnownSidecar, stage_due: Instant) -> Dispatch {
        let now = Instant::now();
        let left = self.task.due.saturating_duration_since(now);
        let margin = LONGEST_MARGIN.min(left / MARGIN_DIVISOR);
        let budget = Budget::new(left.saturating_sub(margin));
        let stage_left = stage_due.saturating_duration_since(now);
        let request = self.task.request;
        Dispatch {
            attempt: AttemptId {
                request: self.task.request_id,
                stage: self.task.index,
                number: self.number,
            },
            incarnation: known.incarnation,
            expiry: known.clock.plus(budget.duration().min(stage_left)),
            budget,
            organisation: request.organisation.clone(),
            class: request.class,
            weight: request.weight,
            service: self.task.stage.service.clone(),
            path: self.task.stage.path.clone(),
            claim: self.ticket.clone(),
            resume_token: self.lines.next_token(),
            tree_version: self.parts.tree.borrow().version(),
            input: self.task.input.to_vec(),
        }
    }

    /// The sidecar's present life, asked for if this entry has not heard of it yet.
    async fn known_sidecar(&self, route: &Route) -> Option<KnownSidecar> {
        if let Some(known) = route.known {
            return Some(known);
        }
        let hello = Hello {
            from: self.task.entry.clone(),
            tree_version: self.parts.tree.borrow().version(),
        };
        let message = wire::encode(&hello);
        let sent_bytes = message.len();
        let asking = self.ask_hello(route.address, message);
        let response = timeout_at(self.task.due, asking).await.ok()??;
        let left = self.task.due.saturating_duration_since(Instant::now());
        let body = read_body(response.into_body(), MAX_STAMP_BYTES, left)
            .await
            .ok()?;
        let peers = &self.parts.peers;
        peers.count(ControlKind::Hello, sent_bytes, body.len());
        let stamp: Stamp = wire::decode(body).ok()?;
        let known = KnownSidecar {
            incarnation: stamp.incarnation,
            clock: stamp.clock,
        };
        self.parts
            .decisions
            .tell(Decision::Observe(Box::new(stamp)));
        Some(known)
    }

    /// Asks on the open connection, and once more on a new one if it was lost: the question may
    /// be repeated, and an idle connection that went silent says nothing about the sidecar.
    async fn ask_hello(&self, address: SocketAddr, hello: Vec<u8>) -> Option<Response<Incoming>> {
        let peers = &self.parts.peers;
        let connection = peers.connection(address).await.ok()?;
        let number = connection.number();
        match connection.post("/hello", hello.clone()).await {
            Ok(response) => Some(response),
            Err(_lost) => {
                self.parts.counters.count("hello.connection_lost");
                let connection = peers.connection_after(address, Some(number)).await.ok()?;
                connection.post("/hello", hello).await.ok()
            }
        }
    }
}

fn take_tokens(
    is_streaming: bool,
    lines: &mut TokenLines,
    tokens: Option<&UnboundedSender<TokenText>>,
    data: &[u8],
) {
    if !is_streaming {
        return;
    }
    let Some(new) = lines.take(data) else {
        debug!("entry: a stream skipped a token");
        return;
    };
    if let Some(tokens) = tokens {
        for token in new {
            // The caller may have gone; the run notices by itself.
            let _ = tokens.send(token);
        }
    }
}

/// Reports how an attempt ended, also when its request is dropped because the caller went away.
struct AttemptWatch {
    parts: EntryParts,
    report: Option<AttemptReport>,
    sent: Option<Destination>,
    started: Instant,
}

impl AttemptWatch {
    fn new(parts: &EntryParts, task: &StageTask<'_>, route: &Route) -> Self {
        let report = AttemptReport {
            host: route.host.clone(),
            end: AttemptEnd::Cancelled,
            elapsed: Duration::ZERO,
            stamp: None,
            organisation: task.request.organisation.clone(),
            stage: task.stage.name.to_string(),
            cost: StageCost::default(),
        };
        Self {
            parts: parts.clone(),
            report: Some(report),
            sent: None,
            started: Instant::now(),
        }
    }

    const fn sent(&mut self, destination: Destination) {
        self.sent = Some(destination);
    }

    fn ended(&mut self, end: AttemptEnd, stamp: Option<Stamp>, cost: StageCost) {
        if let Some(report) = self.report.take() {
            let elapsed = self.started.elapsed();
            let report = AttemptReport {
                end,
                elapsed,
                stamp,
                cost,
                ..report
            };
            self.parts
                .decisions
                .tell(Decision::AttemptEnded(Box::new(report)));
        }
    }
}

impl Drop for AttemptWatch {
    /// Guards against work for a caller who is gone: its attempt would hold a slot until its
    /// budget ends, and the router would count it as in flight for good.
    fn drop(&mut self) {
        if self.report.is_none() {
            return;
        }
        self.ended(AttemptEnd::Cancelled, None, StageCost::default());
        if let Some(destination) = self.sent {
            self.parts.counters.count("attempt.cancelled");
            super::attempt_run::give_up(&self.parts, destination);
        }
    }
}
