//! One send of a request to one server.

use std::net::SocketAddr;

use amaranthscale_core::id::CallId;
use amaranthscale_core::process::{HealthChange, SendEnd, ServerAvailability, ServerRecord};
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response;
use log::info;
use tokio::time::Instant;

use super::super::connection::ServerConnection;
use super::super::process::GatewayContext;
use super::caller::Admitted;
use super::outgoing::Outgoing;
use crate::connection::{ReadBodyError, SendError};

/// How a send ended before the body of an answer.
#[derive(Debug)]
pub(super) enum SendOutcome {
    /// A server's answer has begun.
    Answer(Box<BegunAnswer>),
    /// The request never left.
    NotSent,
    /// The request never left, as the server may not be used now.
    Withheld(ServerAvailability),
    /// The request never left, as servers crash under it.
    Held,
    /// The server says that it did not run it.
    NotRun,
    /// A result that the request needs is gone; it did not run.
    InputGone,
    /// The request may have run, and no answer can be had.
    Lost,
}

/// An answer whose head is in.
#[derive(Debug)]
pub(super) struct BegunAnswer {
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) connection: ServerConnection,
    pub(super) sent: Sent,
}

/// A send that counts as in flight at its server until this is dropped.
#[derive(Debug)]
pub(super) struct Sent {
    context: std::sync::Arc<GatewayContext>,
    server: amaranthscale_core::id::ServerIncarnation,
    address: SocketAddr,
    started: Instant,
    end: SendEnd,
}

impl Sent {
    pub(super) fn new(context: &std::sync::Arc<GatewayContext>, server: &ServerRecord) -> Self {
        context.server_selector().record_send(&server.incarnation);
        Self {
            context: std::sync::Arc::clone(context),
            server: server.incarnation.clone(),
            address: server.address,
            started: Instant::now(),
            end: SendEnd::Abandoned,
        }
    }

    /// Says that the whole answer came.
    pub(super) fn answered(self, admitted: &Admitted) {
        admitted.completed(&self.context);
        self.end(SendEnd::Answered);
    }

    /// Says that the connection ended before the answer did.
    pub(super) fn cut_off(self, admitted: &Admitted) {
        let crashes = &self.context.crashes;
        crashes.record_lost_run(&self.server, self.address, &admitted.request_content);
        self.end(SendEnd::Failed);
    }

    /// Says that the body of the answer could not be read.
    pub(super) fn read_failed(self, error: &ReadBodyError, admitted: &Admitted) {
        match error {
            ReadBodyError::Broken(_) => self.cut_off(admitted),
            ReadBodyError::TooLarge(_) | ReadBodyError::TimedOut(..) => self.end(SendEnd::Failed),
        }
    }

    /// Says how the send ended.
    pub(super) fn end(mut self, end: SendEnd) {
        self.end = end;
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        let now = self.context.cluster_view.clock().now();
        let elapsed = self.started.elapsed();
        let change =
            self.context
                .server_selector()
                .record_end(&self.server, self.end, elapsed, now);
        match change {
            Some(HealthChange::Ejected) => info!(server:% = self.server; "servers: left out"),
            Some(HealthChange::Readmitted) => info!(server:% = self.server; "servers: taken back"),
            None => {}
        }
    }
}

/// Sends a request and reads the head of the answer.
pub(super) async fn send(
    context: &GatewayContext,
    outgoing: &Outgoing,
    admitted: &Admitted,
    server: &ServerRecord,
    sent: Sent,
) -> SendOutcome {
    let call = &admitted.work.call;
    let Ok(mut connection) = context.pool.connection(server).await else {
        context.counters.count("servers.unreached");
        sent.end(SendEnd::Unreachable);
        return SendOutcome::NotSent;
    };
    if !admitted.route.kind.may_repeat() && connection.prove().await.is_err() {
        // It takes no more connections now: full, but not sick.
        context.counters.count("connection.reset-unused");
        sent.end(SendEnd::Rejected);
        return SendOutcome::NotSent;
    }
    if admitted.check_held(context).await.is_err() {
        sent.end(SendEnd::Abandoned);
        return SendOutcome::Held;
    }
    if let Err(availability) = context.try_reserve_send(server) {
        sent.end(SendEnd::Abandoned);
        return SendOutcome::Withheld(availability);
    }
    let sent_at = Instant::now();
    let request = outgoing.request(&context.dialect, server.incarnation.id(), admitted.left());
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(SendError::NotSent(..)) => {
            // A kept connection that has ended says nothing of its server.
            let end = if connection.is_kept() {
                SendEnd::Abandoned
            } else {
                SendEnd::Failed
            };
            sent.end(end);
            return SendOutcome::NotSent;
        }
        Err(SendError::Lost(..)) => {
            sent.cut_off(admitted);
            return SendOutcome::Lost;
        }
    };
    let (head, body) = response.into_parts();
    let dialect = &context.dialect;
    if let Some(load) = (dialect.reported_load)(&head.headers) {
        let now = context.cluster_view.clock().now();
        context
            .server_selector()
            .record_load(&server.incarnation, load, now);
    }
    if !is_own(context, call, &head) {
        sent.end(SendEnd::Failed);
        return SendOutcome::Lost;
    }
    context
        .limits
        .record_answer(dialect, &server.incarnation, &head, sent_at);
    if (dialect.did_not_run)(head.status, &head.headers) {
        let is_other = (dialect.is_other_server)(head.status);
        sent.end(if is_other {
            SendEnd::Failed
        } else {
            SendEnd::Rejected
        });
        return if (dialect.is_input_gone)(head.status) {
            SendOutcome::InputGone
        } else {
            SendOutcome::NotRun
        };
    }
    SendOutcome::Answer(Box::new(BegunAnswer {
        head,
        body,
        connection,
        sent,
    }))
}

/// Whether an answer belongs to the request and is the server's own.
///
/// Guards against a late or second answer of an earlier request, which arrives where the next
/// answer is due: it names another call. A success without a stamp, or encoded though nobody asked
/// for it, is not the server's body.
fn is_own(context: &GatewayContext, call: &CallId, head: &response::Parts) -> bool {
    let names = &context.dialect.headers;
    let told = head
        .headers
        .get(&names.call)
        .and_then(|value| value.to_str().ok());
    if told.is_some_and(|told| told != call.as_str()) {
        return false;
    }
    let is_success = head.status.is_success();
    let is_stamped = head.headers.contains_key(&names.stamp);
    let is_encoded = head.headers.contains_key(CONTENT_ENCODING);
    !is_success || (told.is_some() && is_stamped && !is_encoded)
}
