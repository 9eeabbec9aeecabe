//! HTTP/1.1 client of the backend server.
//!
//! Connections are managed here instead of by the HTTP library's pool, which does not report
//! whether a request was sent at all.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::AttemptId;
use amaranthscale_core::process::{InvalidServerBackoff, ServerBackoff};
use amaranthscale_core::unit::Class;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, RETRY_AFTER};
use hyper::http::response;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use log::{debug, warn};
use tokio::time::Instant;

use crate::connection::{BodyEnd, EXIT_TIME, FramedBody, Unanswered, open_stream, try_send};

use super::call_error::CallError;
use super::job::Job;
use super::shared_state::SharedState;

/// Connect timeout; the backend server is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a cancellation, whose answer is only logged.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest idle time of a connection that is reused; backend servers close idle ones later.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// Priority of paid work at an engine; higher runs first.
const PAID_PRIORITY: u16 = 1;
/// Priority of trial work at an engine.
const TRIAL_PRIORITY: u16 = 0;

pub(super) type Sender = SendRequest<Full<Bytes>>;

/// HTTP/1.1 client of the backend server.
#[derive(Debug)]
pub(super) struct BackendClient {
    address: SocketAddr,
    max_idle_connections: usize,
    shared: Arc<SharedState>,
    idle: Mutex<Vec<(Sender, Instant)>>,
}

/// A response whose body is not yet read, and its connection.
#[derive(Debug)]
pub(super) struct BackendReply {
    pub(super) head: response::Parts,
    pub(super) body: FramedBody,
    pub(super) sender: Sender,
    /// The backoff that the server requests with it; recorded already.
    pub(super) backoff: Option<ServerBackoff>,
}

impl BackendClient {
    pub(super) const fn new(
        address: SocketAddr,
        max_idle_connections: usize,
        shared: Arc<SharedState>,
    ) -> Self {
        Self {
            address,
            max_idle_connections,
            shared,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Makes the call of an attempt.
    pub(super) async fn call(&self, job: &Job) -> Result<BackendReply, CallError> {
        let request = self.request(job)?;
        if job.is_repeatable()
            && let Some(sender) = self.take_idle()
        {
            return self.send_reused(sender, request).await;
        }
        // A call that may not be repeated uses a new connection: on an idle one that the server is
        // closing it would be unknown whether the server received the call.
        let sender = self.connect().await?;
        self.send(sender, request).await.map_err(|(error, _)| error)
    }

    /// Whether a body that was read to its end is complete.
    ///
    /// A backend server that crashes ends its connections orderly too, so after such an end it has to
    /// accept a new one.
    pub(super) async fn is_complete(&self, end: BodyEnd) -> bool {
        match end {
            BodyEnd::Stated => true,
            BodyEnd::ConnectionClosed => {
                tokio::time::sleep(EXIT_TIME).await;
                self.connect().await.is_ok()
            }
        }
    }

    /// Returns a connection to the idle ones after its response was read to the end.
    pub(super) async fn return_idle(&self, mut sender: Sender) {
        if sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.max_idle_connections {
            idle.push((sender, Instant::now()));
        }
    }

    /// Asks the backend server to stop working on an attempt whose connection was dropped.
    pub(super) async fn cancel(&self, attempt: AttemptId) {
        let cancelling = async {
            let request = Request::post(format!("/cancel/{attempt}"))
                .header(HOST, self.address.to_string())
                .body(Full::default())
                .map_err(|error| CallError::NotSent(error.to_string()))?;
            let sender = self.connect().await?;
            self.send(sender, request).await.map_err(|(error, _)| error)
        };
        match tokio::time::timeout(CANCEL_TIMEOUT, cancelling).await {
            Ok(Ok(_reply)) => debug!("sidecar: {attempt} cancelled"),
            Ok(Err(error)) => debug!("sidecar: {attempt} not cancelled: {error}"),
            Err(_elapsed) => debug!("sidecar: {attempt} not cancelled in time"),
        }
    }

    fn request(&self, job: &Job) -> Result<Request<Full<Bytes>>, CallError> {
        let dispatch = &job.dispatch;
        let mut request = Request::post(&dispatch.path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header("x-call-id", dispatch.attempt.to_string())
            .header("x-organisation", dispatch.organisation.as_str())
            .header("x-class", dispatch.class.to_string())
            .header("x-priority", priority(dispatch.class));
        if dispatch.resume_token > 0 {
            request = request.header("x-resume-token", dispatch.resume_token);
        }
        request
            .body(Full::new(job.input.clone()))
            .map_err(|error| CallError::NotSent(error.to_string()))
    }

    async fn send_reused(
        &self,
        sender: Sender,
        request: Request<Full<Bytes>>,
    ) -> Result<BackendReply, CallError> {
        match self.send(sender, request).await {
            // The server closed the idle connection before the request was sent.
            Err((CallError::NotSent(_), Some(request))) => {
                let sender = self.connect().await?;
                self.send(sender, *request)
                    .await
                    .map_err(|(error, _)| error)
            }
            Err((error, _)) => Err(error),
            Ok(reply) => Ok(reply),
        }
    }

    /// Sends a request. What the backend server states about itself is recorded here, so that no
    /// call can miss it.
    async fn send(
        &self,
        mut sender: Sender,
        request: Request<Full<Bytes>>,
    ) -> Result<BackendReply, SendFailure> {
        let response =
            try_send(&mut sender, request)
                .await
                .map_err(|unanswered| match unanswered {
                    Unanswered::NotSent(request, reason) => {
                        (CallError::NotSent(reason), Some(request))
                    }
                    Unanswered::NoAnswer(reason) | Unanswered::Lost(reason) => {
                        (CallError::ConnectionLost(reason), None)
                    }
                })?;
        let (head, body) = FramedBody::split(response);
        let backoff = requested_backoff(head.status, &head.headers);
        let backoff = backoff.transpose().unwrap_or_else(|error| {
            warn!("sidecar: invalid backoff requested: {error}");
            None
        });
        if let Some(backoff) = backoff {
            self.shared.record_backoff(backoff);
        }
        Ok(BackendReply {
            head,
            body,
            sender,
            backoff,
        })
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some((sender, since)) = idle.pop() {
            if sender.is_ready() && since.elapsed() < MAX_IDLE_TIME {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Sender, CallError> {
        let not_sent = |reason: String| CallError::NotSent(reason);
        let stream = open_stream(self.address, CONNECT_TIMEOUT)
            .await
            .map_err(not_sent)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!("sidecar: backend connection ended: {error}");
            }
        });
        Ok(sender)
    }
}

/// The backoff that a server requests by turning a call away, in seconds with a fraction.
fn requested_backoff(
    status: StatusCode,
    headers: &HeaderMap,
) -> Option<Result<ServerBackoff, InvalidServerBackoff>> {
    if !is_turned_away(status) {
        return None;
    }
    let value = headers.get(RETRY_AFTER)?;
    Some(String::from_utf8_lossy(value.as_bytes()).parse())
}

/// Whether a status says that a server turned a call away.
pub(super) const fn is_turned_away(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

const fn priority(class: Class) -> u16 {
    match class {
        Class::Paid => PAID_PRIORITY,
        Class::Trial => TRIAL_PRIORITY,
    }
}

type SendFailure = (CallError, Option<Box<Request<Full<Bytes>>>>);
