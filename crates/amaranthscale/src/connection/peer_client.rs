//! Connections from this process to other processes of the system.
//!
//! One HTTP/2 connection per peer carries all requests to it. The client never retries a request by
//! itself: whether a request may be sent again is the caller's decision.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use log::debug;
use quick_error::quick_error;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::Instant;

use super::open_stream::open_stream;
use crate::process::{ControlKind, ControlTraffic};

quick_error! {
    /// A request to a peer that got no response.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PeerError {
        /// No connection was established, so the peer never received the request.
        NotSent(address: SocketAddr, reason: String) {
            display("{address} was not reached: {reason}")
        }
        /// The connection ended after the request may have arrived.
        Lost(address: SocketAddr, reason: String) {
            display("the connection to {address} was lost: {reason}")
        }
        /// The connection timed out after the request may have arrived.
        TimedOut(address: SocketAddr) {
            display("the connection to {address} timed out")
        }
    }
}

impl PeerError {
    /// Whether the peer may have received the request.
    #[must_use]
    pub const fn may_have_arrived(&self) -> bool {
        matches!(self, Self::Lost(..) | Self::TimedOut(..))
    }
}

/// Numbers the connections of one client in the order they were opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(u64);

/// Bounds of the client.
#[derive(Debug, Clone, Copy)]
pub struct PeerClientLimits {
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Time in which a dead connection with open streams is detected; one ping is sent and missed
    /// in it.
    pub dead_peer_timeout: Duration,
}

impl Default for PeerClientLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            dead_peer_timeout: Duration::from_secs(1),
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;
type Slot = Arc<AsyncMutex<PeerSlot>>;

/// An open connection to a peer.
#[derive(Debug, Clone)]
pub struct PeerConnection {
    address: SocketAddr,
    number: ConnectionNumber,
    sender: Sender,
}

impl PeerConnection {
    /// Number of the connection.
    #[must_use]
    pub const fn number(&self) -> ConnectionNumber {
        self.number
    }

    /// Posts a body to a path of the peer; the response's body may be a long stream.
    pub async fn post(
        mut self,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, PeerError> {
        let request = Request::post(format!("http://{}{path}", self.address))
            .body(Full::new(body.into()))
            .map_err(|error| PeerError::NotSent(self.address, error.to_string()))?;
        self.sender.send_request(request).await.map_err(|error| {
            debug!("peer: request to {} was lost: {error}", self.address);
            if error.is_timeout() {
                PeerError::TimedOut(self.address)
            } else {
                PeerError::Lost(self.address, error.to_string())
            }
        })
    }
}

/// A peer's connection, and when the last attempt to open one failed.
#[derive(Debug, Default)]
struct PeerSlot {
    open: Option<PeerConnection>,
    last_failure: Option<(Instant, PeerError)>,
}

/// Connects to other processes of the system.
#[derive(Debug)]
pub struct PeerClient {
    limits: PeerClientLimits,
    traffic: ControlTraffic,
    opened: AtomicU64,
    slots: Mutex<BTreeMap<SocketAddr, Slot>>,
}

impl PeerClient {
    /// A client without connections.
    #[must_use]
    pub fn new(limits: PeerClientLimits) -> Self {
        Self {
            limits,
            traffic: ControlTraffic::default(),
            opened: AtomicU64::new(0),
            slots: Mutex::new(BTreeMap::new()),
        }
    }

    /// Counts requests by their kind.
    #[must_use]
    pub fn with_traffic(mut self, traffic: ControlTraffic) -> Self {
        self.traffic = traffic;
        self
    }

    /// Counts one request and its answer's body; only callers know the sizes of both.
    pub fn count(&self, kind: ControlKind, sent_bytes: usize, received_bytes: usize) {
        self.traffic.count_message(kind);
        self.traffic.count_sent(kind, sent_bytes);
        self.traffic.count_received(kind, received_bytes);
    }

    /// The connection to a peer, opened if there is none.
    pub async fn connection(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        self.connection_after(address, None).await
    }

    /// A connection to a peer that is newer than one that timed out.
    ///
    /// Many requests may time out on the same connection at once; they share the new one, or the
    /// failure to open it.
    pub async fn connection_after(
        &self,
        address: SocketAddr,
        timed_out: Option<ConnectionNumber>,
    ) -> Result<PeerConnection, PeerError> {
        let requested_at = Instant::now();
        let slot = self.slot(address);
        let mut slot = slot.lock().await;
        let is_usable = |connection: &&PeerConnection| {
            Some(connection.number) > timed_out && !connection.sender.is_closed()
        };
        if let Some(connection) = slot.open.as_ref().filter(is_usable) {
            return Ok(connection.clone());
        }
        slot.open = None;
        // Guards against a peer without power: each request that waits here would make its own
        // attempt after the previous one, and the last of some dozen would wait for many seconds.
        if let Some((failed_at, error)) = &slot.last_failure
            && *failed_at >= requested_at
        {
            return Err(error.clone());
        }
        match self.connect(address).await {
            Ok(connection) => {
                slot.last_failure = None;
                slot.open = Some(connection.clone());
                Ok(connection)
            }
            Err(error) => {
                slot.last_failure = Some((Instant::now(), error.clone()));
                Err(error)
            }
        }
    }

    /// Posts a body on the open connection and returns the response.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, PeerError> {
        self.connection(address).await?.post(path, body).await
    }

    /// Drops the connections to peers that are no longer known.
    ///
    /// Guards against a process that keeps a slot for every host that ever existed: with 170 hosts
    /// replaced a day, it would grow by each of them.
    pub fn retain(&self, is_known: impl Fn(&SocketAddr) -> bool) {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.retain(|address, _slot| is_known(address));
    }

    /// Number of peers that have a slot for a connection.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    fn slot(&self, address: SocketAddr) -> Slot {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(address).or_default())
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        let not_sent = |reason: String| PeerError::NotSent(address, reason);
        let stream = open_stream(address, self.limits.connect_timeout)
            .await
            .map_err(not_sent)?;
        let handshake = self.builder().handshake(TokioIo::new(stream));
        let (mut sender, connection) = handshake
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!("peer: connection to {address} ended: {error}");
            }
        });
        sender
            .ready()
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        let number = ConnectionNumber(self.opened.fetch_add(1, Ordering::Relaxed));
        Ok(PeerConnection {
            address,
            number,
            sender,
        })
    }

    /// Pings are sent only while streams are open, so that idle connections cost nothing.
    ///
    /// Guards against a connection that dies without being closed: requests on it would wait until
    /// their deadlines. A missed ping ends the connection and with it every open stream, so that
    /// each request queries its attempt on a new connection.
    fn builder(&self) -> Builder<TokioExecutor> {
        let half = self.limits.dead_peer_timeout / 2;
        let mut builder = Builder::new(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .adaptive_window(false)
            .keep_alive_while_idle(false)
            .keep_alive_interval(half)
            .keep_alive_timeout(half);
        builder
    }
}
