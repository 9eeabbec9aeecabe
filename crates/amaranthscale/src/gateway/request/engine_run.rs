//! Runs a request at an engine, after the pieces that it needs are made.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{InstanceId, ResultHandle, ServerIncarnation, ServiceId};
use amaranthscale_core::process::{
    ConnectionShare, DEFAULT_ENGINE_TIME, JobFailure, JobSpec, LoadSnapshot, SendingEntry,
    ServerRecord, StageSpec,
};
use hyper::Response;
use log::info;
use tokio::time::Instant;

use super::super::clock::ms;
use super::super::process::{GatewayContext, JobError, JobResults, OpenRequest, run_job};
use super::answer::{AnswerBody, passed_on, whole};
use super::caller::Admitted;
use super::outgoing::Outgoing;
use super::refused::Refused;
use super::send::{BegunAnswer, SendOutcome, Sent, send};
use super::stream_relay::relay;
use crate::connection::read_body;

/// Largest failure of an engine that is passed on.
const MAX_FAILURE_BYTES: usize = 1024 * 1024;
/// Engines that may reject one request, or that it may not reach.
const MOST_REJECTED: u32 = 4;
/// Times that gone results are made anew for one request.
const MOST_REMAKES: u32 = 1;
/// Time kept back from the pieces' deadline, for the engine.
const ENGINE_RESERVE: Duration = Duration::from_millis(150);

/// One request on its way through stages and engine.
#[derive(Debug)]
pub(super) struct EngineRun {
    pub(super) context: Arc<GatewayContext>,
    pub(super) admitted: Admitted,
    pub(super) service: ServiceId,
    pub(super) outgoing: Outgoing,
    tried: BTreeSet<ServerIncarnation>,
    /// Engines at which the request may have run.
    pub(super) ran: u32,
    rejected: u32,
    remakes: u32,
    /// The gateway that had the pieces made.
    pub(super) owner: Option<InstanceId>,
    /// When the pieces were made.
    pub(super) pieces_at: Option<Instant>,
    /// Load that the last engine was chosen by.
    pub(super) seen: LoadSnapshot,
}

/// An engine's answer that has begun, and the results that it still reads.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) begun: BegunAnswer,
    pub(super) pieces: Option<JobResults>,
    pub(super) server: ServerIncarnation,
}

/// The results that a request needs before an engine can run it.
#[derive(Debug)]
enum Pieces {
    /// They are to be made, or to be made anew.
    Unmade,
    /// They are kept; none where the request needs none.
    ///
    /// An engine that turns a request away has not taken them: they go on to the next engine. Made
    /// anew, they would come after the aim, and what was made would be thrown away.
    Made(Option<JobResults>),
}

/// What one try at an engine came to.
#[derive(Debug)]
enum Tried {
    /// Its answer has begun.
    Begun(Box<Running>),
    /// The request may be tried elsewhere.
    MayGoOn(Pieces),
}

/// Runs a request; a begun stream is passed on by a task of its own.
pub(super) async fn run_engine(
    context: &Arc<GatewayContext>,
    admitted: Admitted,
    service: ServiceId,
    outgoing: Outgoing,
    open: OpenRequest,
) -> Result<Response<AnswerBody>, Refused> {
    let mut run = EngineRun {
        context: Arc::clone(context),
        admitted,
        service,
        outgoing,
        tried: BTreeSet::new(),
        ran: 0,
        rejected: 0,
        remakes: 0,
        owner: None,
        pieces_at: None,
        seen: LoadSnapshot::default(),
    };
    let running = run.begin().await?;
    if running.begun.head.status.is_success() {
        return Ok(relay(run, running, open));
    }
    run.pass_failure(running).await
}

impl EngineRun {
    /// Has the pieces made and sends the request until an engine has begun to answer.
    pub(super) async fn begin(&mut self) -> Result<Running, Refused> {
        let mut pieces = Pieces::Unmade;
        loop {
            if let Err(refused) = self.admitted.check_held(&self.context).await {
                return Err(self.refused_held(refused));
            }
            let server = self.choose().ok_or_else(|| {
                Refused::no_server_available(self.context.no_server_available(&self.service))
            })?;
            // Counted from here on, so that requests which wait for pieces spread as well.
            let sent = Sent::new(&self.context, &server);
            let made = match pieces {
                Pieces::Unmade => self.pieces(&server).await?,
                Pieces::Made(made) => made,
            };
            match self.try_at(&server, made, sent).await? {
                Tried::Begun(running) => return Ok(*running),
                Tried::MayGoOn(kept) => pieces = kept,
            }
            self.tried.insert(server.incarnation);
        }
    }

    /// One try at an engine.
    async fn try_at(
        &mut self,
        server: &ServerRecord,
        pieces: Option<JobResults>,
        sent: Sent,
    ) -> Result<Tried, Refused> {
        let left = self.admitted.left();
        let sending = send(&self.context, &self.outgoing, &self.admitted, server, sent);
        let outcome = match tokio::time::timeout(left, sending).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => return Err(Refused::new(ResultCode::DeadlinePassed)),
        };
        match outcome {
            SendOutcome::Answer(begun) => {
                self.ran += 1;
                return Ok(Tried::Begun(Box::new(Running {
                    begun: *begun,
                    pieces,
                    server: server.incarnation.clone(),
                })));
            }
            SendOutcome::NotSent => self.not_sent("not-sent", server)?,
            // It began to leave, its zone was evacuated or its share used up since it was chosen.
            SendOutcome::Withheld(availability) => self.not_sent(availability.name(), server)?,
            // Asked again at the head of the loop, which says why.
            SendOutcome::Held => {}
            SendOutcome::NotRun => self.rejected("not-run", server)?,
            SendOutcome::InputGone => {
                self.remakes += 1;
                if self.remakes > MOST_REMAKES {
                    return Err(Refused::new(ResultCode::DeadlineUnreachable));
                }
                self.rejected("input-gone", server)?;
                return Ok(Tried::MayGoOn(Pieces::Unmade));
            }
            SendOutcome::Lost => self.lost(server)?,
        }
        Ok(Tried::MayGoOn(Pieces::Made(pieces)))
    }

    /// The answer to a request that is held back: one that an engine began has run.
    const fn refused_held(&self, refused: Refused) -> Refused {
        if self.ran == 0 {
            refused
        } else {
            Refused::new(ResultCode::AnswerLost)
        }
    }

    /// Takes a rejection; an error if nothing more may be tried.
    fn rejected(&mut self, end: &'static str, server: &ServerRecord) -> Result<(), Refused> {
        self.not_sent(end, server)?;
        if !self.context.try_retry(&self.service) {
            return Err(Refused::new(ResultCode::QueueFull));
        }
        Ok(())
    }

    /// Takes a send that never left; an error if too many servers were tried.
    ///
    /// It takes nothing from the repeat budget, as no server has seen it: a quarter of the engines
    /// that crash at once would use the budget up, and requests whose pieces are made be refused.
    fn not_sent(&mut self, end: &'static str, server: &ServerRecord) -> Result<(), Refused> {
        self.log_end(end, server);
        self.rejected += 1;
        if self.rejected >= MOST_REJECTED {
            return Err(Refused::new(ResultCode::QueueFull));
        }
        Ok(())
    }

    /// Takes a lost answer; an error if the request may not be repeated.
    fn lost(&mut self, server: &ServerRecord) -> Result<(), Refused> {
        self.log_end("lost", server);
        self.ran += 1;
        if !self.may_repeat() {
            return Err(Refused::new(ResultCode::AnswerLost));
        }
        Ok(())
    }

    /// Whether a request that may have run may go to another engine.
    pub(super) fn may_repeat(&self) -> bool {
        let route = &self.admitted.route;
        route.kind.may_repeat()
            && self.ran < route.max_attempts
            && !self
                .context
                .crashes
                .requires_single_run(&self.admitted.request_content)
            && self.context.try_retry(&self.service)
    }

    /// Leaves an engine out for the rest of the request.
    pub(super) fn leave_out(&mut self, server: ServerIncarnation) {
        self.tried.insert(server);
    }

    fn choose(&mut self) -> Option<ServerRecord> {
        let (id, zone) = (&self.context.instance, &self.context.zone);
        let entry = SendingEntry::new(id, zone, ConnectionShare::UNLIMITED);
        let part = self.admitted.work.shared_prefix.as_deref();
        let chosen = self
            .context
            .choose_server(&self.service, |server_selector, usable, now| match part {
                Some(part) => server_selector.select_engine(usable, &self.tried, part, now),
                None => server_selector.select_plain(usable, &self.tried, entry, now),
            });
        let (server, seen) = chosen?;
        self.seen = seen;
        Some(server)
    }

    async fn pieces(&mut self, reader: &ServerRecord) -> Result<Option<JobResults>, Refused> {
        let route = Arc::clone(&self.admitted.route);
        if route.stages.is_empty() {
            return Ok(None);
        }
        let stages = self.stage_orders();
        let made = if stages.iter().all(|stage| stage.pieces == 0) {
            None
        } else {
            let spec = JobSpec {
                call: self.admitted.work.call.clone(),
                route: route.id.clone(),
                cell: self.context.cluster_view.cell_of(&self.admitted.work.call),
                piece_key: self.admitted.work.piece_key.clone(),
                stages,
                rank: self.admitted.rank,
                value_tokens: self.admitted.work.worth_tokens,
                target_latency: route.target_latency,
                target_latency_left: route
                    .target_latency
                    .saturating_sub(self.admitted.arrived.elapsed()),
                deadline_left: self.admitted.left().saturating_sub(ENGINE_RESERVE),
                engine_time: self.engine_time(),
                reader_zone: reader.zone.clone(),
                retained: Vec::new(),
            };
            let making = run_job(&self.context, &self.admitted.request_content, spec);
            // Guards against a caller that waits for pieces when the process ends: cut off, it
            // could not tell that its request never ran.
            let made = tokio::select! {
                made = tokio::time::timeout(self.admitted.left(), making) => made,
                crashed = self.context.crashes.wait_until_quarantined(&self.admitted.request_content) => {
                    let code = self.admitted.held_back(crashed);
                    return Err(self.refused_held(Refused::new(code)));
                }
                () = self.context.shutdown.unsent_aborted() => {
                    return Err(Refused::new(ResultCode::NotReady).closing());
                }
            };
            let made = made.map_err(|_elapsed| Refused::new(ResultCode::DeadlineUnreachable))?;
            Some(made.map_err(|error| self.no_pieces(&error))?)
        };
        if let Some(made) = &made {
            self.owner = Some(made.owner.clone());
            self.pieces_at = Some(Instant::now());
            let took = self.admitted.arrived.elapsed();
            self.context.latencies.record("pieces", took);
        }
        let handles = made.iter().flat_map(|made| &made.handles);
        let handles: Vec<_> = handles.map(ResultHandle::as_str).collect();
        let inputs = self.context.dialect.headers.inputs.clone();
        self.outgoing.set(&inputs, &handles.join(","));
        Ok(made)
    }

    /// Time that an engine is likely to take to the first event of this prompt.
    fn engine_time(&self) -> Duration {
        let tokens = self.admitted.work.prompt_tokens;
        let expected = self
            .context
            .first_event_estimators
            .expected(&self.service, tokens);
        // A prompt that takes all of the aim cannot be in time whatever its pieces take.
        let most = self.admitted.route.target_latency / 2;
        expected.unwrap_or(DEFAULT_ENGINE_TIME).min(most)
    }

    fn stage_orders(&self) -> Vec<StageSpec> {
        let pieces = &self.admitted.work.pieces;
        let stages = self.admitted.route.stages.iter().enumerate();
        stages
            .map(|(index, stage)| StageSpec {
                service: stage.service.clone(),
                depends_on: stage.after.clone(),
                pieces: pieces.get(index).copied().unwrap_or(0),
                result_bytes: stage.result_bytes,
            })
            .collect()
    }

    fn no_pieces(&self, error: &JobError) -> Refused {
        info!(
            call = self.admitted.work.call.as_str(), reason:% = error,
            ms = ms(self.admitted.arrived.elapsed());
            "request: pieces not made"
        );
        // The request itself never left for an engine, so it has not run.
        let code = match error {
            JobError::Refused(_, JobFailure::NoServer) => ResultCode::NoBackendServer,
            JobError::Refused(_, JobFailure::Overloaded) => ResultCode::QueueFull,
            JobError::Refused(_, JobFailure::Malformed) => ResultCode::MalformedRequest,
            _ => ResultCode::DeadlineUnreachable,
        };
        match error {
            JobError::Refused(retry_after, _) => Refused::new(code).come_back_in(*retry_after),
            JobError::Failed(_) => Refused::new(code),
        }
    }

    async fn pass_failure(&self, running: Running) -> Result<Response<AnswerBody>, Refused> {
        let BegunAnswer {
            head,
            body,
            connection,
            sent,
        } = running.begun;
        let body = match read_body(body, MAX_FAILURE_BYTES, self.admitted.left()).await {
            Ok(body) => body,
            Err(error) => {
                sent.read_failed(&error, &self.admitted);
                return Err(Refused::new(ResultCode::AnswerLost));
            }
        };
        sent.answered(&self.admitted);
        let share = self.context.connection_share(&self.service);
        self.context
            .pool
            .give_back(connection, &head.headers, share);
        Ok(passed_on(head.status, &head.headers, whole(body)))
    }

    fn log_end(&self, end: &'static str, server: &ServerRecord) {
        info!(
            call = self.admitted.work.call.as_str(), fingerprint:% = self.admitted.request_content.fingerprint(),
            server:% = server.incarnation, end,
            in_flight = self.seen.in_flight, told:% = self.seen.reported,
            told_age_ms:% = self.seen.reported_age_ms,
            ms = ms(self.admitted.arrived.elapsed());
            "request: send without answer"
        );
    }
}
