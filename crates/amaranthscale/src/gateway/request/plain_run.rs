//! Runs a request at a plain service.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::ServiceId;
use amaranthscale_core::process::{
    ConnectionShare, LoadSnapshot, SendingEntry, ServerAvailability, ServerRecord,
};
use hyper::{HeaderMap, Response, StatusCode};
use log::info;
use tokio::time::Instant;

use super::super::clock::ms;
use super::super::process::GatewayContext;
use super::answer::{AnswerBody, passed_on, whole};
use super::caller::Admitted;
use super::outgoing::Outgoing;
use super::refused::Refused;
use super::send::{BegunAnswer, SendOutcome, Sent, send};
use crate::connection::read_body;

/// Largest body that is held before it is passed on; plain answers are some kilobytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Sends that servers may reject or that never leave, beyond those that may run.
const MOST_REJECTED: u32 = 4;
/// Times the aim after which a repeatable request is tried elsewhere.
const PATIENCE_AIMS: u32 = 2;
/// Shortest patience with a server, above any usual answer time.
const SHORTEST_PATIENCE: Duration = Duration::from_millis(150);

/// A server's whole answer.
struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: bytes::Bytes,
}

/// What one try came to.
enum Tried {
    Answered(WholeAnswer),
    NotSent,
    Withheld(ServerAvailability),
    Held,
    NotRun,
    Lost,
    TimeOver,
}

/// Sends a request until one server has answered or nothing more may be tried.
pub(super) async fn run_plain(
    context: &Arc<GatewayContext>,
    admitted: &Admitted,
    service: &ServiceId,
    outgoing: &Outgoing,
) -> Result<Response<AnswerBody>, Refused> {
    let mut run = PlainRun {
        context,
        admitted,
        service,
        tried: BTreeSet::new(),
        may_have_run: 0,
        rejected: 0,
        kept_failure: None,
        seen: LoadSnapshot::default(),
        share: context.connection_share(service),
    };
    run.go(outgoing).await
}

struct PlainRun<'a> {
    context: &'a Arc<GatewayContext>,
    admitted: &'a Admitted,
    service: &'a ServiceId,
    tried: BTreeSet<amaranthscale_core::id::ServerIncarnation>,
    may_have_run: u32,
    rejected: u32,
    /// A server's failure that is passed on if no other server does better.
    kept_failure: Option<WholeAnswer>,
    /// Load that the last server was chosen by.
    seen: LoadSnapshot,
    share: ConnectionShare,
}

impl PlainRun<'_> {
    async fn go(&mut self, outgoing: &Outgoing) -> Result<Response<AnswerBody>, Refused> {
        loop {
            if let Err(refused) = self.admitted.check_held(self.context).await {
                return self.give_up(refused);
            }
            let Some(server) = self.choose() else {
                let none = self.context.no_server_available(self.service);
                return self.give_up(Refused::no_server_available(none));
            };
            let tried = self.try_at(&server, outgoing).await;
            let has_more = match tried {
                Tried::Answered(answer) => {
                    if !answer.status.is_server_error() || !self.may_repeat() {
                        self.log_answer(&answer, &server);
                        return Ok(passed_on(
                            answer.status,
                            &answer.headers,
                            whole(answer.body),
                        ));
                    }
                    self.kept_failure = Some(answer);
                    true
                }
                Tried::NotSent | Tried::Withheld(_) => self.may_send_on(),
                // Asked again at the head of the loop, which says why.
                Tried::Held => true,
                Tried::NotRun => self.may_send_on() && self.context.try_retry(self.service),
                Tried::Lost => {
                    self.context.counters.count("answer.lost");
                    self.may_repeat()
                }
                Tried::TimeOver => {
                    let has_time = !self.admitted.left().is_zero();
                    has_time && self.may_repeat()
                }
            };
            self.tried.insert(server.incarnation);
            if !has_more {
                return self.give_up(Refused::new(ResultCode::QueueFull));
            }
        }
    }

    fn choose(&mut self) -> Option<ServerRecord> {
        let entry = SendingEntry::new(&self.context.instance, &self.context.zone, self.share);
        let chosen = self
            .context
            .choose_server(self.service, |server_selector, usable, now| {
                server_selector.select_plain(usable, &self.tried, entry, now)
            });
        let (server, seen) = chosen?;
        self.seen = seen;
        Some(server)
    }

    async fn try_at(&mut self, server: &ServerRecord, outgoing: &Outgoing) -> Tried {
        let left = self.admitted.left();
        let sent = Sent::new(self.context, server);
        let call = &self.admitted.work.call;
        let whole_answer = async {
            match send(self.context, outgoing, self.admitted, server, sent).await {
                SendOutcome::Answer(begun) => self.read(*begun).await,
                SendOutcome::NotSent => Tried::NotSent,
                SendOutcome::Withheld(availability) => Tried::Withheld(availability),
                SendOutcome::Held => Tried::Held,
                SendOutcome::NotRun | SendOutcome::InputGone => Tried::NotRun,
                SendOutcome::Lost => Tried::Lost,
            }
        };
        let started = Instant::now();
        let tried = tokio::time::timeout(self.patience(left), whole_answer).await;
        let tried = tried.unwrap_or(Tried::TimeOver);
        if matches!(tried, Tried::Answered(_) | Tried::Lost | Tried::TimeOver) {
            self.may_have_run += 1;
        } else {
            self.rejected += 1;
        }
        if !matches!(tried, Tried::Answered(_)) {
            let ms = ms(started.elapsed());
            info!(
                call = call.as_str(), fingerprint:% = self.admitted.request_content.fingerprint(),
                server:% = server.incarnation, end = tried.name(),
                in_flight = self.seen.in_flight, told:% = self.seen.reported,
                told_age_ms:% = self.seen.reported_age_ms, ms;
                "request: send without answer"
            );
        }
        tried
    }

    async fn read(&self, begun: BegunAnswer) -> Tried {
        let BegunAnswer {
            head,
            body,
            connection,
            sent,
        } = begun;
        match read_body(body, MAX_ANSWER_BYTES, self.admitted.left()).await {
            Ok(body) => {
                sent.answered(self.admitted);
                self.context
                    .pool
                    .give_back(connection, &head.headers, self.share);
                Tried::Answered(WholeAnswer {
                    status: head.status,
                    headers: head.headers,
                    body,
                })
            }
            Err(error) => {
                sent.read_failed(&error, self.admitted);
                Tried::Lost
            }
        }
    }

    /// How long one server may take: all the time, unless another one may be tried.
    fn patience(&self, left: Duration) -> Duration {
        let route = &self.admitted.route;
        let is_last = self.may_have_run + 1 >= route.max_attempts;
        if !route.kind.may_repeat() || is_last {
            return left;
        }
        let patience = route.target_latency * PATIENCE_AIMS;
        patience.max(SHORTEST_PATIENCE).min(left)
    }

    /// Whether a request that may have run may be sent again; takes a repeat from the budget.
    fn may_repeat(&self) -> bool {
        let route = &self.admitted.route;
        if !route.kind.may_repeat() || self.may_have_run >= route.max_attempts {
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

    /// Whether a request that did not run may go to another server. One that never left takes
    /// nothing from the repeat budget: no server has seen it.
    fn may_send_on(&self) -> bool {
        self.rejected < MOST_REJECTED && !self.admitted.left().is_zero()
    }

    /// One line for an answer that is late, repeated or a failure; the others are counted only.
    fn log_answer(&self, answer: &WholeAnswer, server: &ServerRecord) {
        let (admitted, elapsed) = (self.admitted, self.admitted.arrived.elapsed());
        let sends = self.may_have_run + self.rejected;
        if sends == 1
            && elapsed <= admitted.route.target_latency
            && !answer.status.is_server_error()
        {
            return;
        }
        info!(
            call = admitted.work.call.as_str(), fingerprint:% = admitted.request_content.fingerprint(),
            route:% = admitted.route.id,
            server:% = server.incarnation, status = answer.status.as_u16(), sends,
            in_flight = self.seen.in_flight, told:% = self.seen.reported,
            told_age_ms:% = self.seen.reported_age_ms,
            aim_ms = ms(admitted.route.target_latency), ms = ms(elapsed);
            "request: answered"
        );
    }

    fn give_up(&mut self, unsent: Refused) -> Result<Response<AnswerBody>, Refused> {
        if let Some(failure) = self.kept_failure.take() {
            return Ok(passed_on(
                failure.status,
                &failure.headers,
                whole(failure.body),
            ));
        }
        let is_over = self.admitted.left().is_zero();
        Err(match (self.may_have_run, is_over) {
            (0, true) => Refused::new(ResultCode::DeadlineUnreachable),
            (0, false) => unsent,
            (_, true) => Refused::new(ResultCode::DeadlinePassed),
            (_, false) => Refused::new(ResultCode::AnswerLost),
        })
    }
}

impl Tried {
    const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotSent => "not-sent",
            Self::Withheld(availability) => availability.name(),
            Self::Held => "held",
            Self::NotRun => "not-run",
            Self::Lost => "lost",
            Self::TimeOver => "time-over",
        }
    }
}
