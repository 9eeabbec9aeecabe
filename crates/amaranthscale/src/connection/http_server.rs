//! A server for HTTP/1.1, and for processes of the system also HTTP/2, on one address.

use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use log::debug;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::client_limits::{ClientLimits, USUAL_FIELDS};
use super::connection_slots::{ConnectionSlot, ConnectionSlots, until_head_overdue};
use super::slot_stream::SlotStream;
use super::stall_guard::{StallGuard, StallLimit};
use super::tracked_body::TrackedBody;

/// Pause after a failed accept, so that a process out of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Streams that one peer may have open on one HTTP/2 connection.
/// An entry sends all its attempts for a sidecar over one connection.
const MAX_STREAMS: u32 = 4096;

/// Bounds that protect a server from its clients.
#[derive(Debug, Clone)]
pub struct HttpServerLimits {
    /// Most bytes of headers.
    pub max_header_bytes: usize,
    /// Longest wait for a request's headers.
    pub header_timeout: Duration,
    /// When to end a connection whose client reads nothing of its answer.
    pub stall: Option<StallLimit>,
    /// Bounds for clients outside the system, which are served HTTP/1.1 only; none for its own
    /// processes.
    pub clients: Option<ClientLimits>,
}

impl Default for HttpServerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(10),
            stall: None,
            clients: None,
        }
    }
}

/// A running server.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    accepting: JoinHandle<GracefulShutdown>,
}

impl HttpServer {
    /// Listens at an address and answers each request by a function.
    pub async fn start<H, F, B>(
        listen: SocketAddr,
        limits: HttpServerLimits,
        handle: H,
    ) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let listener = TcpListener::bind(listen).await?;
        Self::start_on(listener, move || Some(limits.clone()), handle)
    }

    /// Like [`Self::start`], on a listener that is already bound, with limits that are read for
    /// each new connection. A connection without limits is closed before anything is read from it.
    pub fn start_on<L, H, F, B>(listener: TcpListener, limits: L, handle: H) -> io::Result<Self>
    where
        L: Fn() -> Option<HttpServerLimits> + Send + 'static,
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let accepting = tokio::spawn(accept(listener, limits, handle, stopped));
        Ok(Self {
            address,
            stop,
            accepting,
        })
    }

    /// The address that the server listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, lets open requests end, and returns whether all did within the bound.
    pub async fn stop(self, bound: Duration) -> bool {
        self.stop.send_replace(true);
        let Ok(connections) = self.accepting.await else {
            return false;
        };
        tokio::time::timeout(bound, connections.shutdown())
            .await
            .is_ok()
    }
}

async fn accept<L, H, F, B>(
    listener: TcpListener,
    limits: L,
    handle: H,
    mut stopped: watch::Receiver<bool>,
) -> GracefulShutdown
where
    L: Fn() -> Option<HttpServerLimits> + Send + 'static,
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let connections = GracefulShutdown::new();
    let slots = Arc::<ConnectionSlots>::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => return connections,
        };
        match accepted {
            Ok((stream, _peer)) => {
                let Some(limits) = limits() else {
                    continue;
                };
                // Small frames would otherwise wait for an acknowledgement, some 40 ms a stage.
                let _ = stream.set_nodelay(true);
                match limits.clients {
                    Some(clients) => {
                        if let Some(slot) = slots.admit(clients.max_connections) {
                            serve_client(
                                stream,
                                slot,
                                clients,
                                &limits,
                                handle.clone(),
                                &connections,
                            );
                        }
                    }
                    None => serve(stream, &limits, handle.clone(), &connections),
                }
            }
            Err(error) => {
                debug!("server: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a process of the system.
fn serve<H, F, B>(
    stream: TcpStream,
    limits: &HttpServerLimits,
    handle: H,
    connections: &GracefulShutdown,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let service = service_fn(move |request| {
        let answer = handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let stream = StallGuard::new(stream, limits.stall.clone());
    let connection = builder(limits)
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let connection = connections.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!("server: connection ended: {error}");
        }
    });
}

/// Serves a client outside the system, within limits.
fn serve_client<H, F, B>(
    stream: TcpStream,
    slot: Arc<ConnectionSlot>,
    clients: ClientLimits,
    limits: &HttpServerLimits,
    handle: H,
    connections: &GracefulShutdown,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let request_slot = Arc::clone(&slot);
    let service = service_fn(move |request: Request<Incoming>| {
        let open = request_slot.begin_request();
        let is_unusual = request.headers().len() > USUAL_FIELDS;
        if is_unusual {
            request_slot.record_unusual_head();
        }
        let handle = handle.clone();
        async move {
            open.until_turn().await;
            let mut answer = handle(request).await;
            if is_unusual {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer.map(|body| TrackedBody::new(body, open)))
        }
    });
    let max_fields = slot.max_fields(clients.max_fields);
    let stream = StallGuard::new(stream, limits.stall.clone());
    let stream = SlotStream::new(stream, Arc::clone(&slot));
    let connection =
        http1_builder(limits, max_fields).serve_connection(TokioIo::new(stream), service);
    let connection = connections.watch(connection);
    tokio::spawn(async move {
        tokio::select! {
            // The connection reads first, so that a request that has arrived is not closed.
            biased;
            ended = connection => {
                if let Err(error) = ended {
                    debug!("server: connection ended: {error}");
                }
            }
            () = slot.until_closed() => {}
            () = until_head_overdue(&slot, clients.head_timeout) => {
                debug!("server: connection ended: the head of a request did not arrive in time");
            }
        }
    });
}

fn http1_builder(limits: &HttpServerLimits, max_fields: usize) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_headers(max_fields)
        .max_buf_size(limits.max_header_bytes.max(8192));
    builder
}

fn builder(limits: &HttpServerLimits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(8192));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(u32::try_from(limits.max_header_bytes).unwrap_or(u32::MAX));
    builder
}
