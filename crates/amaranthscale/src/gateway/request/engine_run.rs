//! Runs a request at an engine, once its stage results are computed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::{
    InstanceId, ResultHandle, ServerIncarnation, ServiceId, SoftwareVersion,
};
use amaranthscale_core::process::{
    ConnectionShare, DEFAULT_ENGINE_TIME, EnginePrompt, JobFailure, JobSpec, LoadSnapshot,
    PromptHomes, SendingEntry, ServerRecord, StageSpec,
};
use amaranthscale_core::{Ran, ResultCode};
use hyper::Response;
use log::info;
use tokio::time::Instant;

use super::super::Feature;
use super::super::clock::ms;
use super::super::process::{GatewayContext, JobError, JobResults, OpenRequest, run_job};
use super::answer::{AnswerBody, forwarded_response, full_body};
use super::caller::AdmittedRequest;
use super::outgoing::OutgoingRequest;
use super::refusal::Refusal;
use super::send::{InFlightSend, SendOutcome, StartedAnswer, send};
use super::stream_relay::relay_stream;

/// Maximum size of an engine's error answer that is forwarded.
const MAX_FAILURE_BYTES: usize = 1024 * 1024;
/// Maximum number of engines that reject one request or cannot be reached.
const MAX_REJECTIONS: u32 = 4;
/// Maximum number of times that missing results are recomputed for one request.
const MAX_RECOMPUTATIONS: u32 = 1;
/// Part of the target latency within which an engine that begins to answer needs no replacement by a
/// faster one; the stages before it take most of the rest.
const ACCEPTABLE_TARGET_DIVISOR: u32 = 5;
/// Time reserved for the engine between the job's deadline and the request's.
const ENGINE_RESERVE: Duration = Duration::from_millis(150);

/// One request's run through its stages and at engines.
#[derive(Debug)]
pub(super) struct EngineRun {
    pub(super) context: Arc<GatewayContext>,
    pub(super) admitted: AdmittedRequest,
    pub(super) service: ServiceId,
    pub(super) outgoing: OutgoingRequest,
    tried_servers: BTreeSet<ServerIncarnation>,
    /// Number of engines at which the request may have run.
    pub(super) possible_runs: u32,
    rejections: u32,
    recomputations: u32,
    /// The gateway that ran the job.
    pub(super) owner: Option<InstanceId>,
    /// When the stage results were computed.
    pub(super) results_at: Option<Instant>,
    /// The engine that holds a copy of the run, if one was requested with the last send.
    pub(super) backup: Option<ServerRecord>,
    /// Engines that may have continued the run from a copy.
    pub(super) continuations: u32,
    /// Whether a retry was taken from the budget for the next continuation.
    pub(super) is_continuation_reserved: bool,
    /// Engines that held the shared parts of the prompt when the last engine was chosen.
    prompt_homes: Arc<PromptHomes>,
    /// Load on which the choice of the last engine was based.
    pub(super) load: LoadSnapshot,
    /// Expected time from the send to the first event at the last engine that was chosen; none where
    /// no engine is measured.
    pub(super) expected_first_event: Option<Duration>,
}

/// An engine's answer that has begun, and the stage results that the engine may still read.
#[derive(Debug)]
pub(super) struct EngineAnswer {
    pub(super) answer: StartedAnswer,
    pub(super) results: Option<JobResults>,
    pub(super) server: ServerIncarnation,
    /// Version of the engine's software.
    pub(super) software_version: Option<SoftwareVersion>,
    /// Event after which a run continues at a copy; none if it began at this engine.
    pub(super) continued_after: Option<u64>,
}

/// The stage results that a request needs before an engine can run it.
#[derive(Debug)]
enum StageResults {
    /// To be computed or recomputed.
    Missing,
    /// Retained by their servers; `None` where the request needs none.
    ///
    /// An engine that rejects a request has not consumed them, so the next engine uses them.
    /// If they were recomputed, they would be ready only after the target latency, and the first
    /// ones would be wasted.
    Retained(Option<JobResults>),
}

/// Outcome of one attempt at an engine.
#[derive(Debug)]
enum AttemptOutcome {
    /// The engine's answer has begun.
    Started(Box<EngineAnswer>),
    /// The request may be sent to another engine.
    Retry(StageResults),
}

/// Runs a request; a task of its own forwards the stream once it has begun.
pub(super) async fn run_engine(
    context: &Arc<GatewayContext>,
    admitted: AdmittedRequest,
    service: ServiceId,
    outgoing: OutgoingRequest,
    open_request: OpenRequest,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut run = EngineRun {
        context: Arc::clone(context),
        admitted,
        service,
        outgoing,
        tried_servers: BTreeSet::new(),
        possible_runs: 0,
        rejections: 0,
        recomputations: 0,
        owner: None,
        results_at: None,
        backup: None,
        continuations: 0,
        is_continuation_reserved: false,
        prompt_homes: Arc::default(),
        load: LoadSnapshot::default(),
        expected_first_event: None,
    };
    run.set_urgency();
    run.bind_version().await?;
    let answer = run.start().await?;
    if answer.answer.head.status.is_success() {
        return Ok(relay_stream(run, answer, open_request));
    }
    run.forward_failure(answer).await
}

impl EngineRun {
    /// States the request's urgency to the engines of all its sends.
    fn set_urgency(&mut self) {
        let routing = self.context.cluster_view.routing();
        let pool = routing
            .as_ref()
            .and_then(|routing| routing.pool(&self.service));
        let is_engine = pool.is_some_and(|pool| pool.engine.is_some());
        if is_engine && self.context.features.is_enabled(Feature::EngineUrgency) {
            let class = self.admitted.rank.urgency_class().to_string();
            let name = &self.context.dialect.headers.urgency_class;
            self.outgoing.set_header(name, &class);
        }
    }

    /// Runs the job and sends the request until an engine has begun to answer.
    pub(super) async fn start(&mut self) -> Result<EngineAnswer, Refusal> {
        let answer = self.run_until_answered().await;
        // Whatever prevents a further run, an engine may have run the request before.
        answer.map_err(|refusal| {
            if self.possible_runs > 0 && refusal.code.ran() == Ran::No {
                Refusal::new(ResultCode::AnswerLost)
            } else {
                refusal
            }
        })
    }

    async fn run_until_answered(&mut self) -> Result<EngineAnswer, Refusal> {
        let mut stage_results = StageResults::Missing;
        loop {
            self.admitted.check_quarantine(&self.context).await?;
            let server = self.choose_server().ok_or_else(|| {
                let call = &self.admitted.attributes.call;
                let zones = &self.admitted.route.allowed_zones;
                let none = self.context.no_server_available(&self.service, zones, call);
                Refusal::no_server_available(none)
            })?;
            // Counted from here on, so that requests which wait for their jobs are spread over
            // engines as well.
            let body_bytes = self.outgoing.body_bytes();
            let in_flight_send = InFlightSend::new(&self.context, &server, body_bytes)
                .with_homes(Arc::clone(&self.prompt_homes));
            let results = match stage_results {
                StageResults::Missing => self.stage_results(&server).await?,
                StageResults::Retained(results) => results,
            };
            match self.attempt(&server, results, in_flight_send).await? {
                AttemptOutcome::Started(answer) => return Ok(*answer),
                AttemptOutcome::Retry(results) => stage_results = results,
            }
            self.tried_servers.insert(server.incarnation);
        }
    }

    /// One attempt at an engine.
    async fn attempt(
        &mut self,
        server: &ServerRecord,
        results: Option<JobResults>,
        in_flight_send: InFlightSend,
    ) -> Result<AttemptOutcome, Refusal> {
        // Left if the caller disconnected during a continuation.
        let run_source = &self.context.dialect.headers.run_source;
        self.outgoing.replace_header(run_source, None);
        let prompt_source = self.set_prompt_source(server);
        let backup = self.set_backup_target(server);
        let remaining = self.admitted.remaining();
        let sending = send(
            &self.context,
            &self.outgoing,
            &self.admitted,
            server,
            in_flight_send,
        );
        let outcome = match tokio::time::timeout(remaining, sending).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => return Err(Refusal::new(ResultCode::DeadlinePassed)),
        };
        match outcome {
            SendOutcome::Answer(answer) => {
                self.possible_runs += 1;
                self.record_begun(&answer, server, prompt_source.as_ref());
                let backup = backup.filter(|_| answer.head.status.is_success());
                self.set_backup(backup, server);
                return Ok(AttemptOutcome::Started(Box::new(EngineAnswer {
                    answer: *answer,
                    results,
                    server: server.incarnation.clone(),
                    software_version: server.software_version.clone(),
                    continued_after: None,
                })));
            }
            SendOutcome::NotSent => self.add_unsent("not-sent", server)?,
            SendOutcome::OtherVersion => self.add_unsent("other-version", server)?,
            // Since the server was chosen, it began to leave, its zone was evacuated or the share
            // of sends to it was used up.
            SendOutcome::Withheld(availability) => self.add_unsent(availability.name(), server)?,
            // Checked again at the start of the loop, which returns the refusal.
            SendOutcome::Quarantined => {}
            SendOutcome::NotRun => self.add_rejection("not-run", server)?,
            SendOutcome::InputMissing => {
                self.recomputations += 1;
                if self.recomputations > MAX_RECOMPUTATIONS {
                    return Err(Refusal::new(ResultCode::DeadlineUnreachable));
                }
                self.add_rejection("input-gone", server)?;
                return Ok(AttemptOutcome::Retry(StageResults::Missing));
            }
            SendOutcome::Lost => {
                self.log_unanswered("lost", server);
                self.possible_runs += 1;
                // An engine copies a run from its first event on, so there is no copy yet.
                if !self.try_retry() {
                    return Err(Refusal::new(ResultCode::AnswerLost));
                }
            }
        }
        Ok(AttemptOutcome::Retry(StageResults::Retained(results)))
    }

    /// Sets or removes the header with the engine from which `server` fetches the shared parts of
    /// the prompt, and returns that engine.
    fn set_prompt_source(&mut self, server: &ServerRecord) -> Option<ServerRecord> {
        let attributes = &self.admitted.attributes;
        let source = self.context.prompt_source(
            &self.service,
            &self.admitted.route.allowed_zones,
            attributes,
            &self.prompt_homes,
            server,
        );
        let address = source.as_ref().map(|source| source.address.to_string());
        let name = &self.context.dialect.headers.prompt_source;
        self.outgoing.replace_header(name, address.as_deref());
        source
    }

    /// Records what a successful answer shows of the prompt's shared parts.
    fn record_begun(
        &self,
        answer: &StartedAnswer,
        server: &ServerRecord,
        prompt_source: Option<&ServerRecord>,
    ) {
        if !answer.head.status.is_success() {
            return;
        }
        let attributes = &self.admitted.attributes;
        self.context.record_prefill(attributes, &server.incarnation);
        if let Some(source) = prompt_source {
            self.context.counters.count("prompts.fetched");
            info!(
                call = attributes.call.as_str(), from:% = source.incarnation,
                to:% = server.incarnation, tokens = attributes.shared_tokens();
                "prompt: fetched"
            );
        }
    }

    /// Records a rejection; an error if no further attempt is allowed.
    fn add_rejection(&mut self, end: &'static str, server: &ServerRecord) -> Result<(), Refusal> {
        self.add_unsent(end, server)?;
        if !self.context.try_retry(&self.service) {
            return Err(Refusal::new(ResultCode::QueueFull));
        }
        Ok(())
    }

    /// Records a request that was not sent; an error if too many servers were tried.
    ///
    /// It does not count against the retry budget, as no server received it. Otherwise, when a
    /// quarter of the engines crash at once, the budget would be used up and requests with computed
    /// stage results would be refused.
    fn add_unsent(&mut self, end: &'static str, server: &ServerRecord) -> Result<(), Refusal> {
        self.log_unanswered(end, server);
        self.rejections += 1;
        if self.rejections >= MAX_REJECTIONS {
            return Err(Refusal::new(ResultCode::QueueFull));
        }
        Ok(())
    }

    /// Whether a request that may have run may be sent to another engine; takes a retry from the
    /// budget.
    pub(super) fn try_retry(&self) -> bool {
        let route = &self.admitted.route;
        route.kind.may_repeat()
            && self.possible_engines() < route.max_attempts
            && !self
                .context
                .crashes
                .requires_single_run(&self.admitted.request_content)
            && self.context.try_retry(&self.service)
    }

    /// Excludes an engine for the rest of the request.
    pub(super) fn exclude(&mut self, server: ServerIncarnation) {
        self.tried_servers.insert(server);
    }

    fn choose_server(&mut self) -> Option<ServerRecord> {
        let (id, zone) = (&self.context.instance, &self.context.zone);
        let entry = SendingEntry::new(id, zone, ConnectionShare::UNLIMITED);
        let attributes = &self.admitted.attributes;
        let shared_prefix = attributes.shared_prefix.as_deref();
        self.prompt_homes = Arc::new(self.context.prompt_homes(
            &self.service,
            &self.admitted.route.allowed_zones,
            attributes,
        ));
        let prompt = self.engine_prompt();
        let chosen = self.context.choose_server(
            &self.service,
            &self.admitted.route.allowed_zones,
            &self.admitted.versions,
            self.outgoing.body_bytes(),
            |server_selector, usable, now| match (&prompt, shared_prefix) {
                (Some(prompt), _) => {
                    server_selector.select_engine_by_speed(usable, &self.tried_servers, prompt, now)
                }
                (None, Some(shared_prefix)) => {
                    server_selector.select_engine(usable, &self.tried_servers, shared_prefix, now)
                }
                (None, None) => {
                    server_selector.select_plain(usable, &self.tried_servers, entry, now)
                }
            },
        );
        let (server, load) = chosen?;
        self.expected_first_event =
            prompt.and_then(|prompt| self.context.estimated_first_event(&server, &prompt));
        self.load = load;
        Some(server)
    }

    async fn stage_results(
        &mut self,
        engine: &ServerRecord,
    ) -> Result<Option<JobResults>, Refusal> {
        let route = Arc::clone(&self.admitted.route);
        if route.stages.is_empty() {
            return Ok(None);
        }
        let stages = self.stage_specs();
        let results = if stages.iter().all(|stage| stage.pieces == 0) {
            None
        } else {
            let spec = JobSpec {
                call: self.admitted.attributes.call.clone(),
                route: route.id.clone(),
                cell: self
                    .context
                    .cluster_view
                    .cell_of(&self.admitted.attributes.call),
                piece_key: self.admitted.attributes.piece_key.clone(),
                stages,
                rank: self.admitted.rank,
                organisation: self.admitted.organisation.clone(),
                was_admitted: false,
                value_tokens: self.admitted.attributes.value_tokens,
                target_latency: route.target_latency,
                target_latency_left: route
                    .target_latency
                    .saturating_sub(self.admitted.arrived_at.elapsed()),
                deadline_left: self.admitted.remaining().saturating_sub(ENGINE_RESERVE),
                engine_time: self.engine_time(engine),
                reader_zone: engine.zone.clone(),
                allowed_zones: route.allowed_zones.clone(),
                retained: Vec::new(),
            };
            let job = run_job(&self.context, &self.admitted.request_content, spec);
            // Refused before the process exits: a caller whose connection just ended could not know
            // that its request never ran.
            let results = tokio::select! {
                results = tokio::time::timeout(self.admitted.remaining(), job) => results,
                cause = self.context.crashes.wait_until_quarantined(&self.admitted.request_content) => {
                    let code = self.admitted.record_quarantined(&cause);
                    return Err(Refusal::new(code));
                }
                () = self.context.shutdown.unsent_aborted() => {
                    return Err(Refusal::new(ResultCode::NotReady).closing());
                }
            };
            let results =
                results.map_err(|_elapsed| Refusal::new(ResultCode::DeadlineUnreachable))?;
            Some(results.map_err(|error| self.job_refusal(&error))?)
        };
        if let Some(results) = &results {
            self.owner = Some(results.owner.clone());
            self.results_at = Some(Instant::now());
            let took = self.admitted.arrived_at.elapsed();
            self.context.latencies.record("pieces", took);
            self.context.stage_times.record(&route.id, took);
        }
        let handles = results.iter().flat_map(|results| &results.handles);
        let handles: Vec<_> = handles.map(ResultHandle::as_str).collect();
        let inputs = self.context.dialect.headers.inputs.clone();
        self.outgoing.set_header(&inputs, &handles.join(","));
        Ok(results)
    }

    /// The prompt, where engines are chosen by their speed.
    fn engine_prompt(&self) -> Option<EnginePrompt<'_>> {
        let attributes = &self.admitted.attributes;
        let route = &self.admitted.route;
        let prompt = self.context.engine_prompt(
            &self.service,
            attributes,
            &self.prompt_homes,
            route.max_event_gap,
        )?;
        Some(EnginePrompt {
            acceptable_time: route.target_latency / ACCEPTABLE_TARGET_DIVISOR,
            time_left: self.engine_time_left(),
            ..prompt
        })
    }

    /// Part of the target latency that the stages are expected to leave for the engine; nothing
    /// before any request of the route has run its stages.
    fn engine_time_left(&self) -> Duration {
        let route = &self.admitted.route;
        let left = route
            .target_latency
            .saturating_sub(self.admitted.arrived_at.elapsed());
        if self.results_at.is_some() || route.stages.is_empty() {
            return left;
        }
        let stages = self.context.stage_times.upper(&route.id);
        stages.map_or(Duration::ZERO, |stages| left.saturating_sub(stages))
    }

    /// Expected time of an engine to the first event of this prompt.
    fn engine_time(&self, engine: &ServerRecord) -> Duration {
        let tokens = self.admitted.attributes.prompt_tokens;
        let estimators = &self.context.first_event_estimators;
        let prompt = self.engine_prompt();
        let expected = prompt
            .and_then(|prompt| self.context.expected_first_event(engine, &prompt))
            .or_else(|| estimators.expected(&self.service, tokens));
        // A prompt that alone takes the whole target latency misses it however fast the stages are.
        let max = self.admitted.route.target_latency / 2;
        expected.unwrap_or(DEFAULT_ENGINE_TIME).min(max)
    }

    fn stage_specs(&self) -> Vec<StageSpec> {
        let pieces = &self.admitted.attributes.pieces;
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

    fn job_refusal(&self, error: &JobError) -> Refusal {
        info!(
            call = self.admitted.attributes.call.as_str(), reason:% = error,
            ms = ms(self.admitted.arrived_at.elapsed());
            "request: pieces not made"
        );
        // The request was not sent to an engine, so it has not run.
        let code = match error {
            JobError::Refused(_, JobFailure::NoServer) => ResultCode::NoBackendServer,
            JobError::Refused(_, JobFailure::Overloaded) => ResultCode::QueueFull,
            JobError::Refused(_, JobFailure::Malformed) => ResultCode::MalformedRequest,
            _ => ResultCode::DeadlineUnreachable,
        };
        match error {
            JobError::Refused(retry_after, _) => Refusal::new(code).with_retry_after(*retry_after),
            JobError::Failed(_) => Refusal::new(code),
        }
    }

    async fn forward_failure(&self, answer: EngineAnswer) -> Result<Response<AnswerBody>, Refusal> {
        let status = answer.answer.head.status;
        self.admitted
            .check_promise(&self.context, status, &answer.server)?;
        let share = self.context.connection_share(&self.service);
        let read = answer
            .answer
            .read_whole(&self.context, &self.admitted, MAX_FAILURE_BYTES, share)
            .await;
        let (head, body) = read.map_err(|_recorded| Refusal::new(ResultCode::AnswerLost))?;
        Ok(forwarded_response(
            head.status,
            &head.headers,
            full_body(body),
        ))
    }

    pub(super) fn log_unanswered(&self, end: &'static str, server: &ServerRecord) {
        info!(
            call = self.admitted.attributes.call.as_str(), fingerprint:% = self.admitted.request_content.fingerprint(),
            parts = self.admitted.request_content.part_names().as_str(), server:% = server.incarnation, end,
            in_flight = self.load.in_flight, told:% = self.load.reported,
            told_age_ms:% = self.load.reported_age_ms,
            ms = ms(self.admitted.arrived_at.elapsed());
            "request: send without answer"
        );
    }
}
