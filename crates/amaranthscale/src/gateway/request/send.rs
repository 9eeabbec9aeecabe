//! One send of a request to one server.

use std::net::SocketAddr;

use amaranthscale_core::id::CallId;
use amaranthscale_core::process::{
    ConnectionShare, HealthChange, PromptHomes, SendEnd, ServerAvailability, ServerRecord,
};
use bytes::Bytes;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response;
use log::info;
use tokio::time::Instant;

use super::super::connection::{ServerAnswer, ServerConnection};
use super::super::process::{EngineRunTimes, GatewayContext};
use super::buffered_body::read_answer_body;
use super::caller::AdmittedRequest;
use super::outgoing::OutgoingRequest;
use crate::connection::{FramedBody, ReadBodyError, SendError};

/// Outcome of a send up to the head of its answer.
#[derive(Debug)]
pub(super) enum SendOutcome {
    /// The server's answer has begun.
    Answer(Box<StartedAnswer>),
    /// The request was not sent.
    NotSent,
    /// The request was not sent, as the server may not be used now.
    Withheld(ServerAvailability),
    /// The request was not sent, as the server's software is of another version than began it.
    OtherVersion,
    /// The request was not sent, as it is quarantined.
    Quarantined,
    /// The server stated that it did not run the request.
    NotRun,
    /// A stage result that the request needs is missing; the request did not run.
    InputMissing,
    /// The request may have run, and its answer is lost.
    Lost,
}

impl SendOutcome {
    /// Name in log lines.
    pub(super) const fn name(&self) -> &'static str {
        match self {
            Self::Answer(_) => "answered",
            Self::NotSent => "not-sent",
            Self::Withheld(availability) => availability.name(),
            Self::OtherVersion => "other-version",
            Self::Quarantined => "quarantined",
            Self::NotRun => "not-run",
            Self::InputMissing => "input-gone",
            Self::Lost => "lost",
        }
    }
}

/// An answer whose head was received.
#[derive(Debug)]
pub(super) struct StartedAnswer {
    pub(super) head: response::Parts,
    pub(super) body: FramedBody,
    pub(super) connection: ServerConnection,
    pub(super) in_flight_send: InFlightSend,
}

impl StartedAnswer {
    /// Reads the whole body, records how the send ended and returns the connection.
    pub(super) async fn read_whole(
        self,
        context: &GatewayContext,
        admitted: &AdmittedRequest,
        max_bytes: usize,
        share: ConnectionShare,
    ) -> Result<(response::Parts, Bytes), ReadBodyError> {
        let Self {
            head,
            body,
            connection,
            in_flight_send,
        } = self;
        let memory = &context.answer_memory;
        let read = read_answer_body(memory, body, max_bytes, admitted.remaining()).await;
        let (body, end) = match read {
            Ok(read) => read,
            Err(error) => {
                in_flight_send.record_read_failure(&error, admitted);
                return Err(error);
            }
        };
        if !context.pool.is_complete(end, &connection, share).await {
            context.counters.count("answer.end-unconfirmed");
            in_flight_send.record_lost(admitted);
            let reason = "the server ended together with its answer".to_owned();
            return Err(ReadBodyError::Broken(reason));
        }
        in_flight_send.record_answer(admitted);
        context.pool.return_connection(connection, &head, share);
        Ok((head, body))
    }
}

/// A send, counted as in flight at its server until this is dropped.
#[derive(Debug)]
pub(super) struct InFlightSend {
    context: std::sync::Arc<GatewayContext>,
    server: amaranthscale_core::id::ServerIncarnation,
    body_bytes: usize,
    address: SocketAddr,
    started: Instant,
    /// When the request was about to be sent; before that, when the server was chosen.
    sent_at: Instant,
    /// Engines that held the shared parts of the prompt when the server was chosen; none for a plain
    /// request and for a run that continues from a copy.
    homes: std::sync::Arc<PromptHomes>,
    /// Measures the run; none before it is sent, and where the speed is not used.
    run_times: Option<EngineRunTimes>,
    end: SendEnd,
}

impl InFlightSend {
    pub(super) fn new(
        context: &std::sync::Arc<GatewayContext>,
        server: &ServerRecord,
        body_bytes: usize,
    ) -> Self {
        let mut server_selector = context.server_selector();
        server_selector.record_send(&server.incarnation);
        server_selector.record_body_sent(&server.incarnation, body_bytes);
        drop(server_selector);
        Self {
            context: std::sync::Arc::clone(context),
            server: server.incarnation.clone(),
            body_bytes,
            address: server.address,
            started: Instant::now(),
            sent_at: Instant::now(),
            homes: std::sync::Arc::default(),
            run_times: None,
            end: SendEnd::Abandoned,
        }
    }

    /// Sets the engines that held the shared parts of the prompt when the server was chosen.
    pub(super) fn with_homes(mut self, homes: std::sync::Arc<PromptHomes>) -> Self {
        self.homes = homes;
        self
    }

    /// Records that an event of the answer has arrived.
    pub(super) fn record_event(&self) {
        if let Some(run_times) = &self.run_times {
            run_times.record_event();
        }
    }

    /// Time since the request was sent.
    pub(super) fn since_sent(&self) -> std::time::Duration {
        self.sent_at.elapsed()
    }

    /// Records that the complete answer was received.
    pub(super) fn record_answer(self, admitted: &AdmittedRequest) {
        admitted.record_completion(&self.context);
        self.end(SendEnd::Answered);
    }

    /// Records that the connection ended before the answer did.
    pub(super) fn record_lost(self, admitted: &AdmittedRequest) {
        let crashes = &self.context.crashes;
        crashes.record_lost_run(&self.server, self.address, &admitted.request_content);
        self.end(SendEnd::Failed);
    }

    /// Records that no answer was received.
    fn end_unanswered(
        self,
        error: &SendError,
        is_reused: bool,
        admitted: &AdmittedRequest,
    ) -> SendOutcome {
        match error {
            SendError::NotSent(..) => {
                // A reused connection that has ended does not indicate a failed server.
                self.end(if is_reused {
                    SendEnd::Abandoned
                } else {
                    SendEnd::Failed
                });
                SendOutcome::NotSent
            }
            SendError::Lost(..) => {
                self.record_lost(admitted);
                SendOutcome::Lost
            }
            SendError::NoAnswer(..) => {
                self.context.counters.count("answer.malformed");
                self.end(SendEnd::Failed);
                SendOutcome::Lost
            }
        }
    }

    /// Records that the body of the answer could not be read.
    fn record_read_failure(self, error: &ReadBodyError, admitted: &AdmittedRequest) {
        match error {
            ReadBodyError::Broken(_) => self.record_lost(admitted),
            ReadBodyError::TooLarge(_)
            | ReadBodyError::TimedOut(..)
            | ReadBodyError::Malformed(_) => self.end(SendEnd::Failed),
            ReadBodyError::NoMemory(_) => {
                self.context.counters.count("answer.no-memory");
                self.end(SendEnd::Abandoned);
            }
        }
    }

    /// Records how the send ended.
    pub(super) fn end(mut self, end: SendEnd) {
        self.end = end;
    }
}

impl Drop for InFlightSend {
    fn drop(&mut self) {
        let now = self.context.cluster_view.clock().now();
        let elapsed = self.started.elapsed();
        let mut server_selector = self.context.server_selector();
        server_selector.record_body_done(&self.server, self.body_bytes);
        let change = server_selector.record_end(&self.server, self.end, elapsed, now);
        drop(server_selector);
        match change {
            Some(HealthChange::Ejected) => info!(server:% = self.server; "servers: ejected"),
            Some(HealthChange::Readmitted) => info!(server:% = self.server; "servers: readmitted"),
            None => {}
        }
    }
}

/// Sends a request and reads the head of the answer.
pub(super) async fn send(
    context: &GatewayContext,
    outgoing: &OutgoingRequest,
    admitted: &AdmittedRequest,
    server: &ServerRecord,
    mut in_flight_send: InFlightSend,
) -> SendOutcome {
    let call = &admitted.attributes.call;
    let Ok(mut connection) = context.pool.connection(server).await else {
        context.counters.count("servers.unreached");
        in_flight_send.end(SendEnd::Unreachable);
        return SendOutcome::NotSent;
    };
    if !admitted.route.kind.may_repeat() && connection.wait_until_accepted().await.is_err() {
        // The server accepts no more connections: it is full, not failed.
        context.counters.count("connection.reset-unused");
        in_flight_send.end(SendEnd::Rejected);
        return SendOutcome::NotSent;
    }
    if admitted.check_quarantine(context).await.is_err() {
        in_flight_send.end(SendEnd::Abandoned);
        return SendOutcome::Quarantined;
    }
    let request = outgoing.request(
        &context.dialect,
        server.incarnation.id(),
        admitted.remaining(),
    );
    if !context.allows_version(&admitted.versions, server) {
        context.counters.count("servers.withheld.other-version");
        in_flight_send.end(SendEnd::Abandoned);
        return SendOutcome::OtherVersion;
    }
    let permit = match context.try_reserve_send(server) {
        Ok(permit) => permit,
        Err(availability) => {
            in_flight_send.end(SendEnd::Abandoned);
            return SendOutcome::Withheld(availability);
        }
    };
    let run_times = context.begin_engine_run(server, &admitted.attributes, &in_flight_send.homes);
    in_flight_send.run_times = run_times;
    let sent_at = Instant::now();
    in_flight_send.sent_at = sent_at;
    let ServerAnswer {
        head,
        body,
        statement,
    } = match connection.send(request, permit).await {
        Ok(answer) => answer,
        Err(error) => {
            let is_reused = connection.is_reused();
            return in_flight_send.end_unanswered(&error, is_reused, admitted);
        }
    };
    let dialect = &context.dialect;
    if let Some(load) = statement.load {
        let now = context.cluster_view.clock().now();
        let mut server_selector = context.server_selector();
        server_selector.record_load(&server.incarnation, load, now);
        server_selector.record_work_percent(&server.incarnation, statement.work_percent);
    }
    if !belongs_to_request(context, call, &head) {
        in_flight_send.end(SendEnd::Failed);
        return SendOutcome::Lost;
    }
    let has_run = !(dialect.did_not_run)(head.status, &head.headers);
    context
        .limits
        .record_answer(&server.incarnation, statement, has_run, sent_at);
    if !has_run {
        let is_other = (dialect.is_other_server)(head.status);
        in_flight_send.end(if is_other {
            SendEnd::Failed
        } else {
            SendEnd::Rejected
        });
        return if (dialect.is_input_gone)(head.status) {
            SendOutcome::InputMissing
        } else {
            SendOutcome::NotRun
        };
    }
    let now = context.cluster_view.clock().now();
    context
        .server_selector()
        .record_accepted(&server.incarnation, now);
    SendOutcome::Answer(Box::new(StartedAnswer {
        head,
        body,
        connection,
        in_flight_send,
    }))
}

/// Whether an answer belongs to the request and is from the server itself.
///
/// A late or second answer to an earlier request arrives in place of the next answer; it has
/// another call id. A successful answer without a stamp, or with an encoding that was not
/// requested, is not the server's own.
fn belongs_to_request(context: &GatewayContext, call: &CallId, head: &response::Parts) -> bool {
    let names = &context.dialect.headers;
    let answered_call = head
        .headers
        .get(&names.call)
        .and_then(|value| value.to_str().ok());
    if answered_call.is_some_and(|answered_call| answered_call != call.as_str()) {
        return false;
    }
    let is_success = head.status.is_success();
    let is_stamped = head.headers.contains_key(&names.stamp);
    let is_encoded = head.headers.contains_key(CONTENT_ENCODING);
    !is_success || (answered_call.is_some() && is_stamped && !is_encoded)
}
