//! Runs a request at a plain service.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::ServiceId;
use amaranthscale_core::process::{
    ConnectionShare, LoadSnapshot, SendingEntry, ServerAvailability, ServerRecord, VersionBinding,
};
use hyper::{HeaderMap, Response, StatusCode};
use log::info;
use tokio::time::Instant;

use super::super::clock::ms;
use super::super::process::GatewayContext;
use super::answer::{AnswerBody, forwarded_response, full_body};
use super::caller::AdmittedRequest;
use super::outgoing::OutgoingRequest;
use super::refusal::Refusal;
use super::send::{InFlightSend, SendOutcome, StartedAnswer, send};

/// Maximum size of an answer, which is buffered before it is forwarded; usual ones are some
/// kilobytes.
pub(super) const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of sends that are rejected or not sent, in addition to those that may run.
const MAX_REJECTIONS: u32 = 4;
/// Timeout of an attempt at a retryable request, in multiples of the target latency.
const TIMEOUT_TARGET_LATENCIES: u32 = 2;
/// Minimum timeout of an attempt, above any usual answer time.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);

/// A server's complete answer.
struct BufferedAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: bytes::Bytes,
}

/// Outcome of one attempt.
enum AttemptOutcome {
    Answered(BufferedAnswer),
    NotSent,
    Withheld(ServerAvailability),
    Quarantined,
    NotRun,
    Lost,
    TimedOut,
}

/// Sends a request until a server has answered or no further attempt is allowed.
pub(super) async fn run_plain(
    context: &Arc<GatewayContext>,
    admitted: &AdmittedRequest,
    service: &ServiceId,
    outgoing: &OutgoingRequest,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut run = PlainRun {
        context,
        admitted,
        service,
        tried_servers: BTreeSet::new(),
        possible_runs: 0,
        rejections: 0,
        server_failure: None,
        load: LoadSnapshot::default(),
        share: context.connection_share(service),
    };
    run.run(outgoing).await
}

struct PlainRun<'a> {
    context: &'a Arc<GatewayContext>,
    admitted: &'a AdmittedRequest,
    service: &'a ServiceId,
    tried_servers: BTreeSet<amaranthscale_core::id::ServerIncarnation>,
    possible_runs: u32,
    rejections: u32,
    /// A server's error answer, forwarded if no other server succeeds.
    server_failure: Option<BufferedAnswer>,
    /// Load on which the choice of the last server was based.
    load: LoadSnapshot,
    share: ConnectionShare,
}

impl PlainRun<'_> {
    async fn run(&mut self, outgoing: &OutgoingRequest) -> Result<Response<AnswerBody>, Refusal> {
        loop {
            if let Err(refusal) = self.admitted.check_quarantine(self.context).await {
                return self.finish_unanswered(refusal);
            }
            let Some(server) = self.choose_server(outgoing.body_bytes()) else {
                let call = &self.admitted.attributes.call;
                let zones = &self.admitted.route.allowed_zones;
                let none = self.context.no_server_available(self.service, zones, call);
                return self.finish_unanswered(Refusal::no_server_available(none));
            };
            let outcome = self.attempt(&server, outgoing).await;
            let may_continue = match outcome {
                AttemptOutcome::Answered(answer) => {
                    if !answer.status.is_server_error() || !self.try_retry() {
                        self.log_answer(&answer, &server);
                        let admitted = self.admitted;
                        admitted.check_promise(self.context, answer.status, &server.incarnation)?;
                        return Ok(forwarded_response(
                            answer.status,
                            &answer.headers,
                            full_body(answer.body),
                        ));
                    }
                    self.server_failure = Some(answer);
                    true
                }
                AttemptOutcome::NotSent | AttemptOutcome::Withheld(_) => self.may_try_another(),
                // Checked again at the start of the loop, which returns the refusal.
                AttemptOutcome::Quarantined => true,
                AttemptOutcome::NotRun => {
                    self.may_try_another() && self.context.try_retry(self.service)
                }
                AttemptOutcome::Lost => {
                    self.context.counters.count("answer.lost");
                    self.try_retry()
                }
                AttemptOutcome::TimedOut => {
                    let has_time = !self.admitted.remaining().is_zero();
                    has_time && self.try_retry()
                }
            };
            self.tried_servers.insert(server.incarnation);
            if !may_continue {
                return self.finish_unanswered(Refusal::new(ResultCode::QueueFull));
            }
        }
    }

    fn choose_server(&mut self, body_bytes: usize) -> Option<ServerRecord> {
        let entry = SendingEntry::new(&self.context.instance, &self.context.zone, self.share);
        let chosen = self.context.choose_server(
            self.service,
            &self.admitted.route.allowed_zones,
            &VersionBinding::ANY,
            body_bytes,
            |server_selector, usable, now| {
                server_selector.select_plain(usable, &self.tried_servers, entry, now)
            },
        );
        let (server, load) = chosen?;
        self.load = load;
        Some(server)
    }

    async fn attempt(
        &mut self,
        server: &ServerRecord,
        outgoing: &OutgoingRequest,
    ) -> AttemptOutcome {
        let remaining = self.admitted.remaining();
        let in_flight_send = InFlightSend::new(self.context, server, outgoing.body_bytes());
        let call = &self.admitted.attributes.call;
        let buffered_answer = async {
            match send(
                self.context,
                outgoing,
                self.admitted,
                server,
                in_flight_send,
            )
            .await
            {
                SendOutcome::Answer(answer) => self.read_answer(*answer).await,
                SendOutcome::NotSent | SendOutcome::OtherVersion => AttemptOutcome::NotSent,
                SendOutcome::Withheld(availability) => AttemptOutcome::Withheld(availability),
                SendOutcome::Quarantined => AttemptOutcome::Quarantined,
                SendOutcome::NotRun | SendOutcome::InputMissing => AttemptOutcome::NotRun,
                SendOutcome::Lost => AttemptOutcome::Lost,
            }
        };
        let started = Instant::now();
        let outcome = tokio::time::timeout(self.attempt_timeout(remaining), buffered_answer).await;
        let outcome = outcome.unwrap_or(AttemptOutcome::TimedOut);
        if matches!(
            outcome,
            AttemptOutcome::Answered(_) | AttemptOutcome::Lost | AttemptOutcome::TimedOut
        ) {
            self.possible_runs += 1;
        } else {
            self.rejections += 1;
        }
        if !matches!(outcome, AttemptOutcome::Answered(_)) {
            let ms = ms(started.elapsed());
            info!(
                call = call.as_str(), fingerprint:% = self.admitted.request_content.fingerprint(),
                server:% = server.incarnation, end = outcome.name(),
                in_flight = self.load.in_flight, told:% = self.load.reported,
                told_age_ms:% = self.load.reported_age_ms, ms;
                "request: send without answer"
            );
        }
        outcome
    }

    async fn read_answer(&self, answer: StartedAnswer) -> AttemptOutcome {
        let read = answer
            .read_whole(self.context, self.admitted, MAX_ANSWER_BYTES, self.share)
            .await;
        match read {
            Ok((head, body)) => AttemptOutcome::Answered(BufferedAnswer {
                status: head.status,
                headers: head.headers,
                body,
            }),
            Err(_recorded) => AttemptOutcome::Lost,
        }
    }

    /// Timeout of an attempt: all remaining time, unless another server may be tried.
    fn attempt_timeout(&self, remaining: Duration) -> Duration {
        let route = &self.admitted.route;
        let is_last = self.possible_runs + 1 >= route.max_attempts;
        if !route.kind.may_repeat() || is_last {
            return remaining;
        }
        let attempt_timeout = route.target_latency * TIMEOUT_TARGET_LATENCIES;
        attempt_timeout.max(MIN_ATTEMPT_TIMEOUT).min(remaining)
    }

    /// Whether a request that may have run may be sent again; takes a retry from the budget.
    fn try_retry(&self) -> bool {
        let route = &self.admitted.route;
        if !route.kind.may_repeat() || self.possible_runs >= route.max_attempts {
            return false;
        }
        if self
            .context
            .crashes
            .requires_single_run(&self.admitted.request_content)
        {
            return false;
        }
        self.context.try_retry(self.service)
    }

    /// Whether a request that did not run may be sent to another server. One that was not sent does
    /// not count against the retry budget, as no server received it.
    fn may_try_another(&self) -> bool {
        self.rejections < MAX_REJECTIONS && !self.admitted.remaining().is_zero()
    }

    /// Logs an answer that is late, retried or an error; others are only counted.
    fn log_answer(&self, answer: &BufferedAnswer, server: &ServerRecord) {
        let (admitted, elapsed) = (self.admitted, self.admitted.arrived_at.elapsed());
        let sends = self.possible_runs + self.rejections;
        if sends == 1
            && elapsed <= admitted.route.target_latency
            && !answer.status.is_server_error()
        {
            return;
        }
        info!(
            call = admitted.attributes.call.as_str(), fingerprint:% = admitted.request_content.fingerprint(),
            route:% = admitted.route.id,
            server:% = server.incarnation, status = answer.status.as_u16(), sends,
            in_flight = self.load.in_flight, told:% = self.load.reported,
            told_age_ms:% = self.load.reported_age_ms,
            aim_ms = ms(admitted.route.target_latency), ms = ms(elapsed);
            "request: answered"
        );
    }

    fn finish_unanswered(&mut self, refusal: Refusal) -> Result<Response<AnswerBody>, Refusal> {
        if let Some(failure) = self.server_failure.take() {
            return Ok(forwarded_response(
                failure.status,
                &failure.headers,
                full_body(failure.body),
            ));
        }
        let is_over = self.admitted.remaining().is_zero();
        Err(match (self.possible_runs, is_over) {
            (0, true) => Refusal::new(ResultCode::DeadlineUnreachable),
            (0, false) => refusal,
            (_, true) => Refusal::new(ResultCode::DeadlinePassed),
            (_, false) => Refusal::new(ResultCode::AnswerLost),
        })
    }
}

impl AttemptOutcome {
    const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotSent => "not-sent",
            Self::Withheld(availability) => availability.name(),
            Self::Quarantined => "held",
            Self::NotRun => "not-run",
            Self::Lost => "lost",
            Self::TimedOut => "time-over",
        }
    }
}
