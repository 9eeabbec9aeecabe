//! Forwards an engine's stream event by event.
//!
//! Where the route allows it, a broken stream continues at another engine from the last forwarded
//! event, within the same answer. Otherwise the caller's connection is closed, so that the answer
//! cannot appear complete.

use std::time::Duration;

use amaranthscale_core::id::{ServerIncarnation, SoftwareVersion};
use amaranthscale_core::process::{OptionalNumber, SendEnd, StreamOrigin, VersionBinding};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::CONTENT_TYPE;
use hyper::http::response;
use hyper::{HeaderMap, Response};
use log::info;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::super::clock::ms;
use super::super::connection::ServerConnection;
use super::super::process::{BufferMemory, HeldCopy, JobResults, MovableRun, OpenRequest};
use super::answer::{AnswerBody, TruncatedAnswer, forwarded_response};
use super::engine_run::{EngineAnswer, EngineRun};
use super::event_splitter::{EventSplitter, StreamEvent};
use super::event_steps::EventSteps;
use super::plain_run::MAX_ANSWER_BYTES;
use super::run_move_state::RunMoveState;
use super::run_versions::version_name;
use super::send::{InFlightSend, StartedAnswer};
use super::stream_body::StreamBody;
use crate::connection::{AnswerFraming, BodyEnd, BodyPart};

/// Maximum bytes of events that one caller leaves unread; several times a usual stream. Beyond it
/// the engine has to wait, and ends a stream that nobody reads for some seconds.
const MAX_UNREAD_BYTES: usize = 256 * 1024;

type EventSender = mpsc::UnboundedSender<Result<Bytes, TruncatedAnswer>>;

/// Multiple of the route's longest pause between events after which a silent run continues at its
/// copy. Its answer is late by then, and an engine that is only slow would have sent an event.
const SILENCE_FACTOR: u32 = 3;

/// How one engine's stream ended.
enum EngineStreamEnd {
    /// All events were forwarded.
    Complete,
    /// The engine's stream broke.
    Broken,
    /// The engine stopped the run to move it.
    Moved(Box<HeldCopy>),
    /// The caller disconnected.
    CallerLeft,
    /// The deadline passed.
    TimedOut,
}

/// The answer for a stream that has begun; a task of its own forwards the events.
pub(super) fn relay_stream(
    run: EngineRun,
    answer: EngineAnswer,
    open_request: OpenRequest,
) -> Response<AnswerBody> {
    let (sender, events) = mpsc::unbounded_channel();
    let body = StreamBody { events };
    let head = &answer.answer.head;
    let response = forwarded_response(head.status, &head.headers, body.boxed_unsync());
    let relay = StreamRelay {
        run,
        sender,
        unread: BufferMemory::new(MAX_UNREAD_BYTES),
        last_id: answer.continued_after,
        steps: EventSteps::default(),
        is_engine_forwarded: false,
        begun_at: Instant::now(),
        left: Vec::new(),
        forwarded: 0,
        engine_first_event: None,
        framing: answer.answer.body.framing(),
        software_version: answer.software_version.clone(),
        results: None,
    };
    tokio::spawn(relay.run(answer, open_request));
    response
}

struct StreamRelay {
    run: EngineRun,
    sender: EventSender,
    /// Memory of this caller's share of the answers' memory.
    unread: BufferMemory,
    last_id: Option<u64>,
    steps: EventSteps,
    /// Whether events of the current engine were forwarded.
    is_engine_forwarded: bool,
    /// When the first event arrived.
    begun_at: Instant,
    /// Engines from which moves of the run have begun.
    left: Vec<ServerIncarnation>,
    forwarded: u64,
    /// Time from the send to the first event at the current engine; none for a run that continues
    /// from a copy, which prefills little or nothing.
    engine_first_event: Option<Duration>,
    /// How the current engine states where its answer ends.
    framing: AnswerFraming,
    /// Version of the current engine's software.
    software_version: Option<SoftwareVersion>,
    /// Stage results that the next engine may read: those of a stream that broke before its first
    /// event, and of a run that has a backup.
    results: Option<JobResults>,
}

impl StreamRelay {
    async fn run(mut self, mut answer: EngineAnswer, _open_request: OpenRequest) {
        let first_event_after = self.run.admitted.arrived_at.elapsed();
        self.run
            .context
            .latencies
            .record("begin", first_event_after);
        self.record_first_event_time(first_event_after);
        let reason = loop {
            let server = answer.server.clone();
            match self.forward_stream(answer).await {
                EngineStreamEnd::Complete => {
                    self.run.record_stream_end(false);
                    self.log("whole", &server, first_event_after);
                    return;
                }
                EngineStreamEnd::CallerLeft => {
                    self.log("caller-left", &server, first_event_after);
                    return;
                }
                EngineStreamEnd::TimedOut => {
                    self.log("time-over", &server, first_event_after);
                    break "the deadline passed";
                }
                EngineStreamEnd::Moved(copy) => {
                    self.log("moved", &server, first_event_after);
                    if let Some(moved) = self.continue_moved(copy).await {
                        answer = moved;
                        continue;
                    }
                }
                EngineStreamEnd::Broken => {}
            }
            if self.forwarded > 0 {
                self.run.record_stream_end(true);
            }
            self.log("broken", &server, first_event_after);
            let next = match self.continue_at_copy(&server).await {
                Some(continued) => Some(continued),
                None => self.resume(server).await,
            };
            match next {
                Some(next) => answer = next,
                None => break "the engine's stream broke",
            }
        };
        // Without a receiver the caller has disconnected.
        let _ = self.sender.send(Err(TruncatedAnswer::Early(reason)));
    }

    /// Records the time that the engine took to its first event.
    fn record_first_event_time(&self, first_event_after: Duration) {
        let run = &self.run;
        let sent_at = run.results_at.unwrap_or(run.admitted.arrived_at);
        let took = (run.admitted.arrived_at + first_event_after).saturating_duration_since(sent_at);
        let tokens = run.admitted.attributes.prompt_tokens;
        run.context
            .first_event_estimators
            .record(&run.service, tokens, took);
    }

    /// Forwards one engine's events.
    async fn forward_stream(&mut self, answer: EngineAnswer) -> EngineStreamEnd {
        let StartedAnswer {
            head,
            mut body,
            connection,
            in_flight_send,
        } = answer.answer;
        let is_continued = answer.continued_after.is_some();
        self.software_version = answer.software_version;
        self.results = answer.results;
        self.begin_engine(body.framing());
        let mut splitter = EventSplitter::default();
        let mut has_begun = false;
        let mut run_move = RunMoveState::new(answer.server.clone(), self.last_id);
        let max_pending_bytes = max_pending_bytes(&head.headers);
        let max_silence = self.max_silence();
        let mut heard_at = Instant::now();
        let end = loop {
            if has_begun {
                self.begin_move(&mut run_move);
            }
            // Without ids, the events that the caller has are not known to a copy's engine.
            let has_ids = self.last_id.is_some();
            let was_copying = run_move.is_copying();
            let silence = max_silence.filter(|_| has_begun && has_ids && !was_copying);
            let part = tokio::select! {
                part = body.next() => part,
                is_overdue = run_move.next_step() => {
                    if let Some(copy) = run_move.take_copy(self.last_id, is_overdue) {
                        in_flight_send.end(SendEnd::Abandoned);
                        return EngineStreamEnd::Moved(copy);
                    }
                    if was_copying {
                        heard_at = Instant::now();
                    }
                    continue;
                }
                () = self.sender.closed() => return EngineStreamEnd::CallerLeft,
                () = tokio::time::sleep_until(self.run.admitted.deadline) => return EngineStreamEnd::TimedOut,
                () = tokio::time::sleep_until(heard_at + silence.unwrap_or_default()), if silence.is_some() => {
                    // Without a continuation, a late answer is better than none.
                    if !self.run.reserve_continuation() {
                        heard_at = Instant::now();
                        continue;
                    }
                    self.run.context.counters.count("stream.silent");
                    in_flight_send.end(SendEnd::Failed);
                    return EngineStreamEnd::Broken;
                }
            };
            let data = match part {
                Ok(BodyPart::Data(data)) => data,
                Ok(BodyPart::End(end)) => break end,
                Err(_broken) => return self.end_broken(&mut run_move, in_flight_send).await,
            };
            heard_at = Instant::now();
            self.release_results();
            if !has_begun && !is_continued {
                self.engine_first_event = Some(in_flight_send.since_sent());
            }
            has_begun = true;
            splitter.push(&data);
            let forwarded = self.forward_events(&mut splitter, max_pending_bytes, &in_flight_send);
            match forwarded.await {
                Ok(true) => {}
                Ok(false) => return self.end_broken(&mut run_move, in_flight_send).await,
                Err(end) => return end,
            }
            if let Some(copy) = run_move.take_copy(self.last_id, false) {
                in_flight_send.end(SendEnd::Abandoned);
                return EngineStreamEnd::Moved(copy);
            }
        };
        if end == BodyEnd::ConnectionClosed {
            // An engine that stops a run to move it ends the stream in the same way.
            if let Err(end) = self.settle_move(&mut run_move).await {
                return end;
            }
            if run_move.has_stopped() {
                return self.end_broken(&mut run_move, in_flight_send).await;
            }
        }
        let rest = splitter.rest();
        match self.is_complete(end, &rest, &head, &connection).await {
            Ok(true) => {}
            Ok(false) => return self.end_broken(&mut run_move, in_flight_send).await,
            Err(end) => return end,
        }
        in_flight_send.record_answer(&self.run.admitted);
        let share = self.run.context.connection_share(&self.run.service);
        self.run
            .context
            .pool
            .return_connection(connection, &head, share);
        if !rest.is_empty() && self.sender.send(Ok(rest)).is_err() {
            return EngineStreamEnd::CallerLeft;
        }
        EngineStreamEnd::Complete
    }

    /// Resets what is known of the current engine's stream.
    fn begin_engine(&mut self, framing: AnswerFraming) {
        self.engine_first_event = None;
        self.is_engine_forwarded = false;
        self.framing = framing;
        if framing == AnswerFraming::CloseDelimited {
            self.run.context.counters.count("stream.close-delimited");
        }
    }

    /// Whether a stream whose last bytes are `rest` ended after its last event. An error if the
    /// caller left or the deadline passed before that was known.
    async fn is_complete(
        &self,
        end: BodyEnd,
        rest: &[u8],
        head: &response::Parts,
        connection: &ServerConnection,
    ) -> Result<bool, EngineStreamEnd> {
        let context = &self.run.context;
        let is_inside_event = is_event_stream(&head.headers) && !rest.trim_ascii().is_empty();
        let has_events = self.last_id.is_some() || self.forwarded > 0;
        if is_inside_event || (end == BodyEnd::ConnectionClosed && !has_events) {
            context.counters.count("stream.cut");
            return Ok(false);
        }
        let share = context.connection_share(&self.run.service);
        let is_complete = tokio::select! {
            is_complete = context.pool.is_complete(end, connection, share) => is_complete,
            () = self.sender.closed() => return Err(EngineStreamEnd::CallerLeft),
            () = tokio::time::sleep_until(self.run.admitted.deadline) => return Err(EngineStreamEnd::TimedOut),
        };
        if !is_complete {
            context.counters.count("answer.end-unconfirmed");
        }
        Ok(is_complete)
    }

    /// Waits until a move in progress has ended: the engine closes a stream that it stops, maybe before
    /// it answers the move.
    async fn settle_move(&self, run_move: &mut RunMoveState) -> Result<(), EngineStreamEnd> {
        if run_move.is_copying() {
            tokio::select! {
                _ = run_move.next_step() => {}
                () = self.sender.closed() => return Err(EngineStreamEnd::CallerLeft),
                () = tokio::time::sleep_until(self.run.admitted.deadline) => return Err(EngineStreamEnd::TimedOut),
            }
        }
        Ok(())
    }

    /// Ends an engine's stream that broke off, unless the engine has stopped it to move the run.
    async fn end_broken(
        &self,
        run_move: &mut RunMoveState,
        in_flight_send: InFlightSend,
    ) -> EngineStreamEnd {
        if let Err(end) = self.settle_move(run_move).await {
            return end;
        }
        if run_move.has_stopped_as_told() {
            in_flight_send.end(SendEnd::Abandoned);
        } else {
            in_flight_send.record_lost(&self.run.admitted);
        }
        match run_move.take_copy(self.last_id, true) {
            Some(copy) => EngineStreamEnd::Moved(copy),
            None => EngineStreamEnd::Broken,
        }
    }

    /// Forwards the complete events; false if the incomplete one is too large to be held.
    async fn forward_events(
        &mut self,
        splitter: &mut EventSplitter,
        max_pending_bytes: usize,
        in_flight_send: &InFlightSend,
    ) -> Result<bool, EngineStreamEnd> {
        while let Some(event) = splitter.next_event() {
            in_flight_send.record_event();
            self.forward(event).await?;
        }
        let is_held = splitter.pending_bytes() <= max_pending_bytes;
        if !is_held {
            self.run.context.counters.count("stream.event-too-large");
        }
        Ok(is_held)
    }

    /// Forwards an event if it is the next one.
    ///
    /// An engine that resumes at another event than requested would cause a gap or duplicate
    /// events.
    async fn forward(&mut self, event: StreamEvent) -> Result<(), EngineStreamEnd> {
        if let Some((last, id)) = self.last_id.zip(event.id) {
            let is_next = if self.is_engine_forwarded {
                self.steps.follows(last, id)
            } else {
                self.steps.continues(last, id)
            };
            if !is_next {
                return Err(EngineStreamEnd::Broken);
            }
        }
        self.is_engine_forwarded = true;
        if self.forwarded == 0 {
            self.bind_version();
        }
        self.last_id = event.id.or(self.last_id);
        self.forwarded += 1;
        let held = tokio::select! {
            held = self.hold(event.bytes) => held,
            () = self.sender.closed() => return Err(EngineStreamEnd::CallerLeft),
            () = tokio::time::sleep_until(self.run.admitted.deadline) => return Err(EngineStreamEnd::TimedOut),
        };
        let forwarded = self.sender.send(Ok(held));
        forwarded.map_err(|_left| EngineStreamEnd::CallerLeft)
    }

    /// Binds the stream to the software version of its first event.
    fn bind_version(&mut self) {
        let version = self.software_version.clone();
        let admitted = &mut self.run.admitted;
        admitted.versions = VersionBinding::only(version.clone());
        if !admitted.route.kind.may_repeat() {
            return;
        }
        let resumption = admitted.attributes.resumption.as_ref();
        let first_call = resumption.and_then(|resumption| resumption.first_call.as_ref());
        for call in first_call.into_iter().chain([&admitted.attributes.call]) {
            let origin = StreamOrigin {
                service: self.run.service.clone(),
                version: version.clone(),
            };
            self.run
                .context
                .record_origin(admitted.stream_key(call), origin);
        }
    }

    /// Keeps an event until the caller has read it, once there is memory for it.
    async fn hold(&self, event: Bytes) -> Bytes {
        let own = self.unread.reserve(event.len()).await;
        let shared = self.run.context.answer_memory.reserve(event.len()).await;
        shared.hold(own.hold(event))
    }

    /// Time without an event after which the run continues at its copy; none without a copy.
    fn max_silence(&self) -> Option<Duration> {
        let run = &self.run;
        run.backup.as_ref()?;
        let max_gap = run.admitted.route.max_event_gap?;
        // The copy expires if the engine adds nothing to it.
        let retention = run.context.transfer_spec(&run.service)?.copy_retention;
        Some((max_gap * SILENCE_FACTOR).min(retention * 3 / 4))
    }

    /// Releases the stage results once the engine has sent an event, as it has read them by then,
    /// unless an engine may have to read them to continue the run from its backup.
    fn release_results(&mut self) {
        if self.run.backup.is_none() {
            self.results = None;
        }
    }

    /// Begins to move the run if there is a reason to.
    ///
    /// The engine that continues a run reads its stage results, so a run whose results are released
    /// stays where it is.
    fn begin_move(&mut self, run_move: &mut RunMoveState) {
        if self.results.is_none() && self.run.results_at.is_some() {
            return;
        }
        let admitted = &self.run.admitted;
        // Engines state how far a copy goes by the number of events.
        if !self.steps.may_count_events() {
            return;
        }
        let Some(last_id) = self.last_id.filter(|_| run_move.is_check_due()) else {
            return;
        };
        // A suspected request runs at one engine at a time.
        if self
            .run
            .context
            .crashes
            .requires_single_run(&admitted.request_content)
        {
            return;
        }
        let begun = self.run.context.begin_move(&MovableRun {
            service: &self.run.service,
            zones: &admitted.route.allowed_zones,
            versions: &admitted.versions,
            attributes: &admitted.attributes,
            rank: admitted.rank,
            engine: run_move.engine(),
            max_event_gap: admitted.route.max_event_gap,
            time_left: admitted.remaining(),
            events: last_id,
            event_time: run_move.event_time(last_id),
            age: self.begun_at.elapsed(),
            left: &self.left,
        });
        if let Some((reason, end)) = begun {
            self.left.push(run_move.engine().clone());
            run_move.set_begun(reason, end);
        }
    }

    /// Continues a run that was stopped to move it.
    async fn continue_moved(&mut self, copy: Box<HeldCopy>) -> Option<EngineAnswer> {
        let mut results = self.results.take();
        let continuing = self
            .run
            .continue_moved_run(copy, self.last_id, &mut results);
        let answer = tokio::select! {
            answer = continuing => answer?,
            () = self.sender.closed() => return None,
        };
        self.last_id = answer.continued_after;
        Some(answer)
    }

    /// Continues the stream at the engine that holds a copy of the run, if there is one.
    ///
    /// Before the first event there is no copy, and the request could run anew at an engine that
    /// fails before it looks for one. Without ids, the events that the caller has cannot be told
    /// from those that follow.
    async fn continue_at_copy(&mut self, server: &ServerIncarnation) -> Option<EngineAnswer> {
        let mut results = self.results.take();
        self.last_id?;
        self.run.exclude(server.clone());
        let continuing = self.run.continue_run(server, self.last_id, &mut results);
        let answer = tokio::select! {
            answer = continuing => answer?,
            () = self.sender.closed() => return None,
        };
        self.last_id = answer.continued_after;
        Some(answer)
    }

    /// Continues the stream at another engine, if the route allows it.
    async fn resume(&mut self, server: ServerIncarnation) -> Option<EngineAnswer> {
        if !self.run.try_retry() {
            return None;
        }
        self.run.exclude(server);
        if let Some(last_id) = self.last_id {
            let name = self.run.context.dialect.headers.last_event.clone();
            self.run.outgoing.set_header(&name, &last_id.to_string());
        }
        let start = self.run.start();
        let answer = tokio::select! {
            answer = start => answer.ok()?,
            () = self.sender.closed() => return None,
        };
        if !answer.answer.head.status.is_success() {
            return None;
        }
        self.run.context.counters.count("stream.resumed");
        Some(answer)
    }

    fn log(&self, end: &'static str, server: &ServerIncarnation, first_event_after: Duration) {
        let admitted = &self.run.admitted;
        // Computed only for failed streams, as it takes a hash of the body.
        let (fingerprint, parts) = if end == "whole" {
            ("-".to_owned(), "-".to_owned())
        } else {
            let content = &admitted.request_content;
            (content.fingerprint().to_string(), content.part_names())
        };
        let owner = self.run.owner.as_ref().map_or("-", |owner| owner.as_str());
        let load = self.run.load;
        let expected = self.engine_first_event.and(self.run.expected_first_event);
        let optional_ms = |time: Option<Duration>| {
            time.map_or_else(OptionalNumber::default, OptionalNumber::of_ms)
        };
        let results_at = self.run.results_at.unwrap_or(admitted.arrived_at);
        info!(
            call = admitted.attributes.call.as_str(), fingerprint = fingerprint.as_str(), parts = parts.as_str(),
            route:% = admitted.route.id,
            server:% = server, version = version_name(self.software_version.as_ref()), end, framing:% = self.framing, events = self.forwarded, owner,
            prompt_tokens = admitted.attributes.prompt_tokens,
            in_flight = load.in_flight, told:% = load.reported, told_age_ms:% = load.reported_age_ms,
            host_percent:% = load.host_percent, expected_event_ms:% = optional_ms(expected),
            first_event_ms:% = optional_ms(self.engine_first_event),
            pieces_ms = ms(results_at - admitted.arrived_at),
            aim_ms = ms(admitted.route.target_latency), begun_ms = ms(first_event_after), ms = ms(Instant::now() - admitted.arrived_at);
            "stream: ended"
        );
    }
}

/// Maximum bytes that are held until an event, or an answer without events, is complete.
fn max_pending_bytes(headers: &HeaderMap) -> usize {
    if is_event_stream(headers) {
        MAX_UNREAD_BYTES
    } else {
        MAX_ANSWER_BYTES
    }
}

/// Whether an answer consists of events; without a statement, a stream does.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    content_type.is_none_or(|content_type| {
        let media_type = content_type.as_bytes().split(|byte| *byte == b';').next();
        media_type.is_some_and(|media_type| {
            media_type
                .trim_ascii()
                .eq_ignore_ascii_case(b"text/event-stream")
        })
    })
}
