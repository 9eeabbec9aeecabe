//! Passes an engine's stream on, event by event.
//!
//! A stream that breaks may go on at another engine from the last event that was passed on, within
//! the same answer, where its route allows it. Otherwise the caller's connection ends early, so
//! that the answer cannot look whole.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Frame};
use log::info;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::super::clock::ms;
use super::super::process::OpenRequest;
use super::answer::{AnswerBody, BrokenOff, passed_on};
use super::engine_run::{EngineRun, Running};
use super::event_splitter::{EventSplitter, StreamEvent};
use super::send::BegunAnswer;

/// Events that wait for the caller; a slow caller holds the engine's stream back.
const EVENTS_AHEAD: usize = 16;

type EventSender = mpsc::Sender<Result<Bytes, BrokenOff>>;

/// How one engine's part of a stream ended.
enum PartEnd {
    /// All events are passed on.
    Whole,
    /// The engine broke off.
    Broken,
    /// The caller has left.
    CallerLeft,
    /// The route's or the caller's time is over.
    TimeOver,
}

/// The answer for a begun stream; a task of its own passes the events on.
pub(super) fn relay(run: EngineRun, running: Running, open: OpenRequest) -> Response<AnswerBody> {
    let (events, received) = mpsc::channel(EVENTS_AHEAD);
    let body = RelayBody { received };
    let head = &running.begun.head;
    let response = passed_on(head.status, &head.headers, body.boxed_unsync());
    let relay = Relay {
        run,
        events,
        last_id: None,
        passed: 0,
    };
    tokio::spawn(relay.go(running, open));
    response
}

struct Relay {
    run: EngineRun,
    events: EventSender,
    last_id: Option<u64>,
    passed: u64,
}

impl Relay {
    async fn go(mut self, mut running: Running, _open: OpenRequest) {
        let first_at = self.run.admitted.arrived.elapsed();
        self.run.context.latencies.record("begin", first_at);
        self.note_prompt_time(first_at);
        let reason = loop {
            let server = running.server.clone();
            match self.pass_part(running).await {
                PartEnd::Whole => {
                    self.log("whole", &server, first_at);
                    return;
                }
                PartEnd::CallerLeft => {
                    self.log("caller-left", &server, first_at);
                    return;
                }
                PartEnd::TimeOver => {
                    self.log("time-over", &server, first_at);
                    break "the time is over";
                }
                PartEnd::Broken => {}
            }
            self.log("broken", &server, first_at);
            match self.resume(server).await {
                Some(resumed) => running = resumed,
                None => break "the engine broke off",
            }
        };
        // Without a receiver the caller has left, and nothing is owed.
        let _ = self.events.send(Err(BrokenOff::Early(reason))).await;
    }

    /// Learns how long the engine took to its first event.
    fn note_prompt_time(&self, first_at: Duration) {
        let run = &self.run;
        let sent_at = run.pieces_at.unwrap_or(run.admitted.arrived);
        let took = (run.admitted.arrived + first_at).saturating_duration_since(sent_at);
        let tokens = run.admitted.work.prompt_tokens;
        run.context
            .first_event_estimators
            .record(&run.service, tokens, took);
    }

    /// Passes on what one engine sends.
    async fn pass_part(&mut self, running: Running) -> PartEnd {
        let BegunAnswer {
            head,
            mut body,
            connection,
            sent,
        } = running.begun;
        let mut pieces = running.pieces;
        let mut splitter = EventSplitter::default();
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.events.closed() => return PartEnd::CallerLeft,
                () = tokio::time::sleep_until(self.run.admitted.until) => return PartEnd::TimeOver,
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_broken)) => {
                    sent.cut_off(&self.run.admitted);
                    return PartEnd::Broken;
                }
                None => break,
            };
            // The engine has read its inputs before it makes its first event.
            pieces.take();
            splitter.push(&data);
            while let Some(event) = splitter.next_event() {
                if let Err(end) = self.pass(event).await {
                    return end;
                }
            }
        }
        sent.answered(&self.run.admitted);
        let share = self.run.context.connection_share(&self.run.service);
        self.run
            .context
            .pool
            .give_back(connection, &head.headers, share);
        let rest = splitter.rest();
        if !rest.is_empty() && self.events.send(Ok(rest)).await.is_err() {
            return PartEnd::CallerLeft;
        }
        PartEnd::Whole
    }

    /// Passes one event on, if it is the next one.
    ///
    /// Guards against an engine that goes on elsewhere than asked: the stream would have a gap or
    /// say something twice.
    async fn pass(&mut self, event: StreamEvent) -> Result<(), PartEnd> {
        if let (Some(last), Some(id)) = (self.last_id, event.id)
            && id != last + 1
        {
            return Err(PartEnd::Broken);
        }
        self.last_id = event.id.or(self.last_id);
        self.passed += 1;
        let passed = self.events.send(Ok(event.bytes)).await;
        passed.map_err(|_left| PartEnd::CallerLeft)
    }

    /// Goes on at another engine, if the route allows it.
    async fn resume(&mut self, server: ServerIncarnation) -> Option<Running> {
        if !self.run.may_repeat() {
            return None;
        }
        self.run.leave_out(server);
        if let Some(last_id) = self.last_id {
            let name = self.run.context.dialect.headers.last_event.clone();
            self.run.outgoing.set(&name, &last_id.to_string());
        }
        let begin = self.run.begin();
        let running = tokio::select! {
            running = begin => running.ok()?,
            () = self.events.closed() => return None,
        };
        if !running.begun.head.status.is_success() {
            return None;
        }
        self.run.context.counters.count("stream.resumed");
        Some(running)
    }

    fn log(&self, end: &'static str, server: &ServerIncarnation, first_at: Duration) {
        let admitted = &self.run.admitted;
        // Named only where something went wrong, as a name costs a hash of the body.
        let fingerprint = if end == "whole" {
            "-".to_owned()
        } else {
            admitted.request_content.fingerprint().to_string()
        };
        let owner = self.run.owner.as_ref().map_or("-", |owner| owner.as_str());
        let seen = self.run.seen;
        let pieces_at = self.run.pieces_at.unwrap_or(admitted.arrived);
        info!(
            call = admitted.work.call.as_str(), fingerprint = fingerprint.as_str(),
            route:% = admitted.route.id,
            server:% = server, end, events = self.passed, owner,
            prompt_tokens = admitted.work.prompt_tokens,
            in_flight = seen.in_flight, told:% = seen.reported, told_age_ms:% = seen.reported_age_ms,
            pieces_ms = ms(pieces_at - admitted.arrived),
            aim_ms = ms(admitted.route.target_latency), begun_ms = ms(first_at), ms = ms(Instant::now() - admitted.arrived);
            "stream: ended"
        );
    }
}

/// A body fed by the relay's task.
struct RelayBody {
    received: mpsc::Receiver<Result<Bytes, BrokenOff>>,
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let received = self.received.poll_recv(context);
        received.map(|event| event.map(|event| event.map(Frame::data)))
    }
}
