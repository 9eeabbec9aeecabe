//! One stage of a request: attempts until one succeeds or no further attempt is allowed.

use std::time::Duration;

use amaranthscale_core::id::{AttemptNumber, HostId};
use amaranthscale_core::process::{AttemptEnd, Refusal};
use amaranthscale_core::wire::{ClaimKey, ClaimTicket, Dispatch, StageCost};
use amaranthscale_core::{Ran, ResultCode};
use bytes::Bytes;
use log::debug;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::attempt_guard::AttemptGuard;
use super::attempt_run::{AttemptOutcome, AttemptRun, Destination};
use super::claim_check::{ClaimAction, ClaimHolder, cancel_claim, check_claim};
use super::hedged_attempt::HedgedAttempt;
use super::sent_attempt::{EndedAttempt, SentAttempt};
use super::sidecar_hello::observed_sidecar;
use super::stage_task::StageTask;
use super::{Answer, TokenCollector, TokenText};
use crate::entry::process::{AttemptKind, EntryContext};

/// Maximum number of attempts at one stage, so that a request cannot try every host of a service.
const MAX_ATTEMPTS: u32 = 5;
/// Minimum time for settling a claim, even past the deadline: a correct answer comes before a
/// timely one.
const MIN_SETTLE_TIME: Duration = Duration::from_millis(500);

/// Runs one stage.
#[derive(Debug)]
pub struct StageRun<'a> {
    context: &'a EntryContext,
    task: StageTask<'a>,
    number: AttemptNumber,
    tried: Vec<HostId>,
    collector: TokenCollector,
    ticket: Option<ClaimTicket>,
    last_refusal: Option<Answer>,
    has_run: bool,
    is_resend: bool,
}

/// How a stage proceeds after an attempt.
enum StageStep {
    Finish(Answer),
    Retry,
}

impl<'a> StageRun<'a> {
    /// Prepares the run of a stage.
    #[must_use]
    pub fn new(context: &'a EntryContext, task: StageTask<'a>) -> Self {
        Self {
            context,
            task,
            number: AttemptNumber::default(),
            tried: Vec::new(),
            collector: TokenCollector::default(),
            ticket: None,
            last_refusal: None,
            has_run: false,
            is_resend: false,
        }
    }

    /// Runs the stage to its answer.
    pub async fn run(mut self) -> Answer {
        if !self.task.stage.is_repeatable {
            match self.check_claim().await {
                ClaimAction::Dispatch(ticket) => self.ticket = Some(ticket),
                ClaimAction::Follow(holder) => return self.follow(holder).await,
                ClaimAction::Final(answer) => return answer,
            }
        }
        while self.number.get() < MAX_ATTEMPTS {
            match self.attempt().await {
                StageStep::Finish(answer) => return answer,
                StageStep::Retry => self.number = self.number.next(),
            }
        }
        self.attempts_exhausted()
    }

    async fn attempt(&mut self) -> StageStep {
        let kind = self.next_attempt_kind();
        let query = self.task.route_query(self.tried.clone(), kind);
        let mut route = match self.context.decisions.route(query).await {
            Ok(route) => route,
            Err(refusal) => return StageStep::Finish(self.route_refused(refusal)),
        };
        let mut guard = AttemptGuard::new(self.context, &self.task, &mut route);
        self.tried.push(route.host.clone());
        let Some(observed) = observed_sidecar(self.context, &self.task, &route).await else {
            guard.report_end(AttemptEnd::TimedOut, None, StageCost::default());
            self.last_refusal = Some(Answer::from_code(ResultCode::NoBackendServer));
            return StageStep::Retry;
        };
        let dispatch = Dispatch {
            claim: self.ticket.clone(),
            resume_token: self.collector.next_token(),
            ..self
                .task
                .dispatch(self.context, self.number, observed, route.stage_deadline)
        };
        let sent = SentAttempt::new(self.context, &self.task, &route, dispatch, guard);
        let ended = match route.hedge_after {
            Some(delay) if !self.task.stage.is_streaming => self.run_hedged(sent, delay).await,
            _ => self.run_single(sent).await,
        };
        self.evaluate(ended).await
    }

    fn next_attempt_kind(&mut self) -> AttemptKind {
        match (self.number.get(), std::mem::take(&mut self.is_resend)) {
            (0, _) => AttemptKind::First,
            (_, true) => AttemptKind::Resend,
            (_, false) => AttemptKind::Retry,
        }
    }

    async fn run_single(&mut self, sent: SentAttempt<'_>) -> EndedAttempt {
        self.collector.discard_partial_line();
        let collector = &mut self.collector;
        let (is_streaming, tokens) = (self.task.stage.is_streaming, self.task.tokens);
        sent.run(move |data: &[u8]| collect_tokens(is_streaming, collector, tokens, data))
            .await
    }

    async fn run_hedged(&mut self, sent: SentAttempt<'_>, delay: Duration) -> EndedAttempt {
        let number = self.number.next();
        let tried = self.tried.clone();
        let hedged = HedgedAttempt::new(self.context, &self.task, number, tried);
        let end = hedged.run(sent, delay).await;
        if let Some(host) = end.hedge_host {
            self.tried.push(host);
            self.number = number;
        }
        self.has_run |= end.has_other_run;
        end.ended
    }

    async fn evaluate(&mut self, mut ended: EndedAttempt) -> StageStep {
        if let AttemptOutcome::Complete(result, end) = &ended.outcome {
            let answer = self.complete(result.clone(), end.outcome.backend_status);
            let Some(answer) = answer else {
                self.context.counters.count("result.broken_stream");
                ended.report_unusable();
                self.has_run = true;
                return StageStep::Retry;
            };
            ended.report();
            return StageStep::Finish(answer);
        }
        ended.report();
        match ended.outcome {
            AttemptOutcome::NotRun(code, retry_after_ms, _) => {
                self.handle_not_run(code, retry_after_ms, &ended.host).await
            }
            AttemptOutcome::Failed(end) => {
                self.handle_failure(end.outcome.code, end.outcome.backend_status)
            }
            AttemptOutcome::TimedOut => self.handle_timeout(ended.destination).await,
            AttemptOutcome::Unknown | AttemptOutcome::Complete(..) => {
                self.handle_unknown(ended.destination).await
            }
        }
    }

    fn complete(&self, result: Bytes, backend_status: u16) -> Option<Answer> {
        let result = if self.task.stage.is_streaming {
            self.collector.full_text()?
        } else {
            result
        };
        Some(Answer {
            backend_status,
            ..Answer::complete(result)
        })
    }

    /// Handles a refusal whose attempt provably did not run: another sidecar may do the work.
    async fn handle_not_run(
        &mut self,
        code: ResultCode,
        retry_after_ms: Option<u64>,
        host: &HostId,
    ) -> StageStep {
        self.context
            .counters
            .count_reason("attempt.refused", code.name());
        let answer = Answer {
            retry_after_ms,
            ..Answer::from_code(code)
        };
        match code {
            ResultCode::ClaimLost => self.handle_lost_claim().await,
            ResultCode::WrongIncarnation | ResultCode::AttemptExpired => {
                // The sidecar is healthy; only this entry's view of it was stale.
                self.tried.retain(|tried| tried != host);
                self.retry_or_finish(answer)
            }
            ResultCode::AttemptRevoked => {
                // An attempt sent on a dead idle connection never arrives. Excluding the host or
                // charging the retry budget could refuse the caller with most of its deadline left,
                // although the sidecar is healthy: it revoked the attempt on a new connection, and
                // the attempt has cost it nothing.
                self.tried.retain(|tried| tried != host);
                self.is_resend = true;
                self.retry_or_finish(answer)
            }
            _ => self.retry_or_finish(answer),
        }
    }

    fn handle_failure(&mut self, code: ResultCode, backend_status: u16) -> StageStep {
        self.context
            .counters
            .count_reason("attempt.failed", code.name());
        self.has_run = true;
        let is_broken = code == ResultCode::BackendBroke || backend_status >= 500;
        let answer = Answer {
            backend_status,
            ..Answer::from_code(code)
        };
        if self.task.stage.is_repeatable && is_broken {
            return self.retry_or_finish(answer);
        }
        StageStep::Finish(answer)
    }

    /// Handles an attempt whose sidecar does not show whether it ran.
    async fn handle_unknown(&mut self, destination: Destination) -> StageStep {
        self.context.counters.count("attempt.unknown");
        if self.task.stage.is_repeatable {
            self.has_run = true;
            return self.retry_or_finish(Answer::from_code(ResultCode::BackendBroke));
        }
        self.settle_claim(destination).await
    }

    async fn handle_timeout(&mut self, destination: Destination) -> StageStep {
        self.context.counters.count("attempt.timed_out");
        if self.task.stage.is_repeatable {
            return StageStep::Finish(Answer::from_code(ResultCode::DeadlinePassed));
        }
        match self.settle_claim(destination).await {
            // The call continues and its outcome is stored; a request with the same key returns it.
            StageStep::Finish(answer) if answer.code == ResultCode::OutcomeUnknown => {
                StageStep::Finish(Answer::from_code(ResultCode::StillRunning))
            }
            verdict => verdict,
        }
    }

    async fn settle_claim(&mut self, destination: Destination) -> StageStep {
        let Some(ticket) = self.ticket.clone() else {
            return StageStep::Finish(Answer::from_code(ResultCode::OutcomeUnknown));
        };
        let until = self.task.deadline.max(Instant::now() + MIN_SETTLE_TIME);
        let attempt = destination.attempt;
        let action = cancel_claim(self.context, &ticket, attempt, self.task.entry, until).await;
        match action {
            ClaimAction::Dispatch(ticket) => {
                self.ticket = Some(ticket);
                self.retry_or_finish(Answer::from_code(ResultCode::NoBackendServer))
            }
            // The holder was already queried and did not answer.
            ClaimAction::Follow(holder) if holder.attempt == attempt => {
                StageStep::Finish(Answer::from_code(ResultCode::OutcomeUnknown))
            }
            ClaimAction::Follow(holder) => StageStep::Finish(self.follow(holder).await),
            ClaimAction::Final(answer) => StageStep::Finish(answer),
        }
    }

    async fn handle_lost_claim(&mut self) -> StageStep {
        match self.check_claim().await {
            ClaimAction::Dispatch(ticket) => {
                self.ticket = Some(ticket);
                self.retry_or_finish(Answer::from_code(ResultCode::ClaimLost))
            }
            ClaimAction::Follow(holder) => StageStep::Finish(self.follow(holder).await),
            ClaimAction::Final(answer) => StageStep::Finish(answer),
        }
    }

    async fn check_claim(&self) -> ClaimAction {
        let Some(key) = self.task.request.key.clone() else {
            return ClaimAction::Final(Answer::from_code(ResultCode::MissingIdempotencyKey));
        };
        let organisation = self.task.request.organisation.clone();
        let key = ClaimKey {
            organisation,
            key,
            stage: self.task.index,
        };
        check_claim(self.context, &key, self.task.request.fingerprint).await
    }

    /// Fetches the answer from the sidecar that holds the claim.
    async fn follow(&self, holder: ClaimHolder) -> Answer {
        let unknown = Answer::from_code(ResultCode::OutcomeUnknown);
        let Some(address) = self.context.decisions.address(&holder.host).await else {
            return unknown;
        };
        let destination = Destination {
            address,
            attempt: holder.attempt,
            incarnation: holder.incarnation,
            expiry: amaranthscale_core::unit::SidecarClock::default(),
            is_repeatable: false,
            deadline: self.task.deadline,
        };
        match AttemptRun::new(self.context, destination, |_data: &[u8]| {})
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
                ..Answer::from_code(end.outcome.code)
            },
            AttemptOutcome::TimedOut => Answer::from_code(ResultCode::StillRunning),
            // The holder provably did not make the call, and its row is being freed.
            AttemptOutcome::NotRun(code, retry_after_ms, _) => Answer {
                retry_after_ms,
                ..Answer::from_code(code)
            },
            AttemptOutcome::Unknown => unknown,
        }
    }

    fn retry_or_finish(&mut self, answer: Answer) -> StageStep {
        if Instant::now() >= self.task.deadline {
            return StageStep::Finish(self.final_refusal(answer));
        }
        self.last_refusal = Some(answer);
        StageStep::Retry
    }

    fn route_refused(&mut self, refusal: Refusal) -> Answer {
        self.context
            .counters
            .count_reason("route.refused", refusal.code.name());
        let answer = self.last_refusal.take().unwrap_or_else(|| refusal.into());
        let retry_after_ms = answer.retry_after_ms.or(Some(refusal.retry_after_ms));
        self.final_refusal(Answer {
            retry_after_ms,
            ..answer
        })
    }

    fn attempts_exhausted(mut self) -> Answer {
        let last = self.last_refusal.take();
        let answer = last.unwrap_or_else(|| Answer::from_code(ResultCode::NoBackendServer));
        self.final_refusal(answer)
    }

    /// Replaces a code that means "not run" if an earlier attempt of the stage ran.
    fn final_refusal(&self, answer: Answer) -> Answer {
        if self.has_run && answer.code.ran() == Ran::No {
            return Answer {
                code: ResultCode::StageRefused,
                ..answer
            };
        }
        answer
    }
}

fn collect_tokens(
    is_streaming: bool,
    collector: &mut TokenCollector,
    tokens: Option<&UnboundedSender<TokenText>>,
    data: &[u8],
) {
    if !is_streaming {
        return;
    }
    let Some(new_tokens) = collector.push(data) else {
        debug!("entry: a stream has a missing or invalid token line");
        return;
    };
    if let Some(tokens) = tokens {
        for token in new_tokens {
            // If the caller has disconnected, the run is dropped by its owner.
            let _ = tokens.send(token);
        }
    }
}
