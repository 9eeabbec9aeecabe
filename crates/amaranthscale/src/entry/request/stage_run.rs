//! One stage of a request: attempts until one gives the result, or nothing more may be tried.

use std::time::Duration;

use amaranthscale_core::id::{AttemptNumber, HostId};
use amaranthscale_core::process::{AttemptEnd, Refusal};
use amaranthscale_core::wire::{ClaimKey, ClaimTicket, Dispatch, StageCost};
use amaranthscale_core::{Ran, ResultCode};
use bytes::Bytes;
use log::debug;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::attempt_run::{AttemptOutcome, AttemptRun, Destination};
use super::attempt_watch::AttemptWatch;
use super::claim_check::{ClaimHolder, ClaimNext, cancel_claim, check_claim};
use super::hedged_attempt::HedgedAttempt;
use super::sent_attempt::{EndedAttempt, SentAttempt};
use super::sidecar_hello::known_sidecar;
use super::stage_task::StageTask;
use super::{Answer, TokenLines, TokenText};
use crate::entry::process::{AttemptKind, EntryParts};

/// Most attempts at one stage, so that a request cannot wander over a whole service.
const MAX_ATTEMPTS: u32 = 5;
/// Least time given to settling a claim, also past the deadline: the answer must be right first.
const SETTLE_PATIENCE: Duration = Duration::from_millis(500);

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
        let kind = self.next_kind();
        let question = self.task.route_question(self.tried.clone(), kind);
        let mut route = match self.parts.decisions.route(question).await {
            Ok(route) => route,
            Err(refusal) => return Verdict::Done(self.no_route(refusal)),
        };
        let mut watch = AttemptWatch::new(self.parts, &self.task, &mut route);
        self.tried.push(route.host.clone());
        let Some(known) = known_sidecar(self.parts, &self.task, &route).await else {
            watch.ended(AttemptEnd::TimedOut, None, StageCost::default());
            self.last_refusal = Some(Answer::of_code(ResultCode::NoBackendServer));
            return Verdict::TryAgain;
        };
        let dispatch = Dispatch {
            claim: self.ticket.clone(),
            resume_token: self.lines.next_token(),
            ..self
                .task
                .dispatch(self.parts, self.number, known, route.stage_due)
        };
        let sent = SentAttempt::new(self.parts, &self.task, &route, dispatch, watch);
        let ended = match route.hedge_after {
            Some(delay) if !self.task.stage.is_streaming => self.hedged(sent, delay).await,
            _ => self.alone(sent).await,
        };
        self.judge(ended).await
    }

    fn next_kind(&mut self) -> AttemptKind {
        match (self.number.get(), std::mem::take(&mut self.is_resend)) {
            (0, _) => AttemptKind::First,
            (_, true) => AttemptKind::Resend,
            (_, false) => AttemptKind::Retry,
        }
    }

    async fn alone(&mut self, sent: SentAttempt<'_>) -> EndedAttempt {
        self.lines.resume();
        let lines = &mut self.lines;
        let (is_streaming, tokens) = (self.task.stage.is_streaming, self.task.tokens);
        sent.run(move |data: &[u8]| take_tokens(is_streaming, lines, tokens, data))
            .await
    }

    async fn hedged(&mut self, sent: SentAttempt<'_>, delay: Duration) -> EndedAttempt {
        let number = self.number.next();
        let tried = self.tried.clone();
        let hedged = HedgedAttempt::new(self.parts, &self.task, number, tried);
        let end = hedged.run(sent, delay).await;
        if let Some(host) = end.hedge_host {
            self.tried.push(host);
            self.number = number;
        }
        self.has_run |= end.has_other_run;
        end.ended
    }

    async fn judge(&mut self, mut ended: EndedAttempt) -> Verdict {
        if let AttemptOutcome::Complete(result, end) = &ended.outcome {
            let answer = self.complete(result.clone(), end.outcome.backend_status);
            let Some(answer) = answer else {
                self.parts.counters.count("result.broken_stream");
                ended.report_unusable();
                self.has_run = true;
                return Verdict::TryAgain;
            };
            ended.report();
            return Verdict::Done(answer);
        }
        ended.report();
        match ended.outcome {
            AttemptOutcome::NotRun(code, retry_after_ms, _) => {
                self.not_run(code, retry_after_ms, &ended.host).await
            }
            AttemptOutcome::Failed(end) => {
                self.failed(end.outcome.code, end.outcome.backend_status)
            }
            AttemptOutcome::TimedOut => self.timed_out(ended.destination).await,
            AttemptOutcome::Unknown | AttemptOutcome::Complete(..) => {
                self.unknown(ended.destination).await
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
    async fn not_run(
        &mut self,
        code: ResultCode,
        retry_after_ms: Option<u64>,
        host: &HostId,
    ) -> Verdict {
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
                self.tried.retain(|tried| tried != host);
                self.again_after(answer)
            }
            ResultCode::AttemptRevoked => {
                // Guards against an idle connection that went silent: each attempt sent on it never
                // arrives, and with the host left out, or the retry budget empty, the caller would
                // see a refusal with most of its deadline left. The sidecar is fine, since it took
                // the attempt back on a new connection, and the attempt has cost it nothing.
                self.tried.retain(|tried| tried != host);
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
