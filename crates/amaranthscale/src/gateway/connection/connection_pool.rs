//! Idle connections to backend servers.
//!
//! A connection carries one request at a time and is returned only after a complete answer. The
//! HTTP library closes an idle connection that ends or receives unexpected bytes, so that a late
//! second answer is not mistaken for the answer to the next request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{
    AnswerOrigin, BatchEnd, ConnectionShare, RecentResults, ServerRecord, ServerStatement,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderName;
use hyper::http::response;
use tokio::time::Instant;

use super::super::process::{SendPermit, StatementRecorder};
use super::CallsInFlight;
use crate::connection::{
    AnswerFraming, BodyEnd, EXIT_TIME, FramedBody, Http1Connection, SendError,
};

/// Timeout for opening a connection; a host that is up answers within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Idle timeout if the server does not state one; below the shortest usual timeout of servers.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin before the server's own timeout, as a request could otherwise arrive while the server
/// closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections to one server, unless the gateway's share is smaller; covers
/// most of the server's slots and is far below its limit.
const MAX_IDLE_PER_SERVER: usize = 24;
/// Time beyond the round trip within which a server over its limit resets a new connection: twice
/// the time that servers take for a new connection.
const RESET_MARGIN: Duration = Duration::from_millis(2);

/// A connection to a backend server.
#[derive(Debug)]
pub struct ServerConnection {
    server: ServerIncarnation,
    connection: Http1Connection,
    is_reused: bool,
    /// Time that opening the connection took.
    connect_time: Duration,
    /// Results that its answers to batches have named.
    recent_results: RecentResults,
    statements: Arc<StatementRecorder>,
}

/// A server's answer, whose body is not read yet.
#[derive(Debug)]
pub struct ServerAnswer {
    /// Its head.
    pub head: response::Parts,
    /// Its body.
    pub body: FramedBody,
    /// What the server states about itself; recorded already.
    pub statement: ServerStatement,
}

impl ServerConnection {
    /// Waits until a server over its connection limit would have reset a new connection.
    ///
    /// Such a server accepts a connection and then resets it together with any request on its way.
    /// That request would not have run, but could not be retried safely. Nothing is sent before
    /// this returns, so a reset until then means that the request did not run.
    pub async fn wait_until_accepted(&self) -> Result<(), SendError> {
        if !self.is_reused {
            tokio::time::sleep(self.connect_time * 2 + RESET_MARGIN).await;
        }
        self.connection.check_open()
    }

    /// Whether the connection carried a request before.
    #[must_use]
    pub const fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Records an answer to a batch; returns which call on this connection it belongs to.
    pub fn record_batch_answer(&mut self, answer: &BatchEnd) -> AnswerOrigin {
        self.recent_results.record(answer)
    }

    /// Sends one request and waits for the head of its answer. What the server states about itself
    /// is recorded here, so that no sender can miss it.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        _permit: SendPermit,
    ) -> Result<ServerAnswer, SendError> {
        let response = self.connection.send(request).await?;
        let (head, body) = FramedBody::split(response);
        let statement = self.statements.record(&self.server, &head);
        Ok(ServerAnswer {
            head,
            body,
            statement,
        })
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: ServerConnection,
    expires_at: Instant,
}

/// Idle connections by server.
#[derive(Debug)]
pub struct ConnectionPool {
    idle: Mutex<BTreeMap<ServerIncarnation, Vec<IdleConnection>>>,
    statements: Arc<StatementRecorder>,
    calls_in_flight: Arc<CallsInFlight>,
}

impl ConnectionPool {
    /// Creates an empty pool; all its connections record servers' statements.
    #[must_use]
    pub fn new(statements: Arc<StatementRecorder>) -> Self {
        Self {
            idle: Mutex::default(),
            statements,
            calls_in_flight: Arc::default(),
        }
    }

    /// Batch calls in flight over the pool's connections.
    #[must_use]
    pub const fn calls_in_flight(&self) -> &Arc<CallsInFlight> {
        &self.calls_in_flight
    }

    /// An idle connection, or a new one.
    pub async fn connection(&self, server: &ServerRecord) -> Result<ServerConnection, SendError> {
        if let Some(connection) = self.take_idle(&server.incarnation) {
            return Ok(connection);
        }
        self.open(&server.incarnation, server.address).await
    }

    /// Opens a new connection.
    pub async fn open(
        &self,
        server: &ServerIncarnation,
        address: SocketAddr,
    ) -> Result<ServerConnection, SendError> {
        let started = Instant::now();
        let connection = Http1Connection::open(address, CONNECT_TIMEOUT).await?;
        Ok(ServerConnection {
            server: server.clone(),
            connection,
            is_reused: false,
            connect_time: started.elapsed(),
            recent_results: RecentResults::default(),
            statements: Arc::clone(&self.statements),
        })
    }

    /// Returns a connection after a complete answer; it is retained within the gateway's share of
    /// connections, unless it ended with the answer.
    pub fn return_connection(
        &self,
        mut connection: ServerConnection,
        answer_head: &response::Parts,
        share: ConnectionShare,
    ) {
        if let Some(idle_timeout) = parse_idle_timeout(answer_head) {
            connection.is_reused = true;
            self.retain_idle(connection, idle_timeout, share);
        }
    }

    /// Whether an answer that was read to its end is complete.
    ///
    /// A server that crashes ends its connections orderly too. After such an end, a new connection
    /// shows whether the server still runs; the next request to it uses that connection.
    pub async fn is_complete(
        &self,
        end: BodyEnd,
        connection: &ServerConnection,
        share: ConnectionShare,
    ) -> bool {
        match end {
            BodyEnd::Stated => true,
            BodyEnd::ConnectionClosed => {
                tokio::time::sleep(EXIT_TIME).await;
                let address = connection.connection.address();
                let Ok(opened) = self.open(&connection.server, address).await else {
                    return false;
                };
                self.retain_idle(opened, DEFAULT_IDLE_TIMEOUT, share);
                true
            }
        }
    }

    fn retain_idle(
        &self,
        connection: ServerConnection,
        idle_timeout: Duration,
        share: ConnectionShare,
    ) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let of_server = idle.entry(connection.server.clone()).or_default();
        if of_server.len() < MAX_IDLE_PER_SERVER.min(share.connections()) {
            of_server.push(IdleConnection {
                connection,
                expires_at: Instant::now() + idle_timeout,
            });
        }
    }

    /// Closes connections to unknown servers and those whose idle timeout passed.
    pub fn retain(&self, is_known: impl Fn(&ServerIncarnation) -> bool) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|server, connections| {
            connections.retain(|one| one.expires_at > now);
            is_known(server) && !connections.is_empty()
        });
    }

    /// Takes an idle connection, if there is one.
    pub fn take_idle(&self, server: &ServerIncarnation) -> Option<ServerConnection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(server)?;
        // The newest one is the least likely to have reached its server's timeout.
        while let Some(one) = connections.pop() {
            if one.expires_at > now && one.connection.connection.is_ready() {
                return Some(one.connection);
            }
        }
        None
    }
}

/// Idle timeout according to the server's answer; `None` if the server closes the connection.
fn parse_idle_timeout(head: &response::Parts) -> Option<Duration> {
    if AnswerFraming::of(head) == AnswerFraming::CloseDelimited {
        return None;
    }
    let text = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
    if text(hyper::header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    let Some(keep_alive) = text(HeaderName::from_static("keep-alive")) else {
        return Some(DEFAULT_IDLE_TIMEOUT);
    };
    let seconds = keep_alive
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="));
    match seconds.and_then(|seconds| seconds.trim().parse().ok()) {
        Some(seconds) => {
            let remaining = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
            (!remaining.is_zero()).then_some(remaining)
        }
        None => Some(DEFAULT_IDLE_TIMEOUT),
    }
}
