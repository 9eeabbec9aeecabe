//! Kept connections to backend servers.
//!
//! A connection carries one request at a time and goes back only after a whole answer. What the
//! library finds on an idle connection (an end, or bytes that nobody asked for) ends it, so that a
//! late second answer is not taken for the answer to the next request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{ConnectionShare, ServerRecord};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Request, Response};
use tokio::time::Instant;

use crate::connection::{Http1Connection, SendError};

/// Longest wait for a new connection; a host that is up answers within a few milliseconds.
const CONNECT_PATIENCE: Duration = Duration::from_millis(350);
/// How long a connection is kept if its server does not say: below the shortest usual time-out.
const USUAL_IDLE: Duration = Duration::from_secs(4);
/// Margin before the server's own time-out, within which a request could meet its close.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections that are kept to one server, if the entry's share of them is not less: most of
/// its slots, far below its limit.
const MOST_IDLE: usize = 24;
/// Least time in which a server over its limit resets a new connection, beyond the way there and
/// back: the time that servers take for a new connection, and as much again.
const RESET_MARGIN: Duration = Duration::from_millis(2);

/// A connection to a backend server.
#[derive(Debug)]
pub struct ServerConnection {
    server: ServerIncarnation,
    connection: Http1Connection,
    is_kept: bool,
    /// How long it took to open.
    opened_in: Duration,
}

impl ServerConnection {
    /// Waits until a server that takes no more connections would have reset a new one.
    ///
    /// Guards against a request that no server saw and that yet may not be sent again: a server
    /// over its limit accepts a connection and resets it with whatever is on its way there. Nothing
    /// was sent before this returns, so a reset until then means that the request did not run.
    pub async fn prove(&self) -> Result<(), SendError> {
        if !self.is_kept {
            tokio::time::sleep(self.opened_in * 2 + RESET_MARGIN).await;
        }
        self.connection.check_open()
    }

    /// Whether it carried a request before.
    #[must_use]
    pub const fn is_kept(&self) -> bool {
        self.is_kept
    }

    /// Sends one request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.connection.send(request).await
    }
}

#[derive(Debug)]
struct Idle {
    connection: Http1Connection,
    until: Instant,
}

/// Kept connections by server.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<BTreeMap<ServerIncarnation, Vec<Idle>>>,
}

impl ConnectionPool {
    /// A kept connection, or a new one.
    pub async fn connection(&self, server: &ServerRecord) -> Result<ServerConnection, SendError> {
        if let Some(connection) = self.kept(&server.incarnation) {
            return Ok(connection);
        }
        self.fresh(&server.incarnation, server.address).await
    }

    /// A new connection.
    pub async fn fresh(
        &self,
        server: &ServerIncarnation,
        address: SocketAddr,
    ) -> Result<ServerConnection, SendError> {
        let started = Instant::now();
        let connection = Http1Connection::open(address, CONNECT_PATIENCE).await?;
        Ok(ServerConnection {
            server: server.clone(),
            connection,
            is_kept: false,
            opened_in: started.elapsed(),
        })
    }

    /// Keeps a connection whose answer was read whole, within the entry's share of connections.
    pub fn give_back(
        &self,
        connection: ServerConnection,
        answer_head: &HeaderMap,
        share: ConnectionShare,
    ) {
        let Some(keep) = keep_time(answer_head) else {
            return;
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let of_server = idle.entry(connection.server).or_default();
        if of_server.len() < MOST_IDLE.min(share.connections()) {
            of_server.push(Idle {
                connection: connection.connection,
                until: Instant::now() + keep,
            });
        }
    }

    /// Closes connections to servers that are gone, and those that were idle for too long.
    pub fn retain(&self, is_known: impl Fn(&ServerIncarnation) -> bool) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|server, kept| {
            kept.retain(|one| one.until > now);
            is_known(server) && !kept.is_empty()
        });
    }

    /// A kept connection.
    pub fn kept(&self, server: &ServerIncarnation) -> Option<ServerConnection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(server)?;
        // The newest is the least likely to have met its server's time-out.
        while let Some(one) = kept.pop() {
            if one.until > now && one.connection.is_ready() {
                return Some(ServerConnection {
                    server: server.clone(),
                    connection: one.connection,
                    is_kept: true,
                    opened_in: Duration::ZERO,
                });
            }
        }
        None
    }
}

/// How long a connection may be kept by its server's answer; none if it closes.
fn keep_time(head: &HeaderMap) -> Option<Duration> {
    let text = |name| head.get(name).and_then(|value| value.to_str().ok());
    if text(hyper::header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    let Some(told) = text(HeaderName::from_static("keep-alive")) else {
        return Some(USUAL_IDLE);
    };
    let seconds = told
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="));
    match seconds.and_then(|seconds| seconds.trim().parse().ok()) {
        Some(seconds) => {
            let left = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
            (!left.is_zero()).then_some(left)
        }
        None => Some(USUAL_IDLE),
    }
}
