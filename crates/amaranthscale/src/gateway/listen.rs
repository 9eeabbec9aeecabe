//! Listeners of a gateway: callers, readiness checks, other gateways and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::version::CallerBounds;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;

use super::operator::answer_operator;
use super::process::{GatewayContext, serve_peer};
use super::request::answer_caller;
use super::{GatewayConfig, GatewayError};
use crate::connection::{
    ClientLimits, HttpServer, HttpServerLimits, ResponseBody, StallLimit, USUAL_FIELDS, empty_body,
};

/// Fraction of the process's memory for connections of callers, and of its descriptors; the other
/// descriptors are for connections to servers and other gateways.
const CONNECTION_MEMORY_FRACTION: usize = 4;
const CONNECTION_DESCRIPTOR_FRACTION: usize = 2;
/// Memory of a connection without the head that it receives.
const CONNECTION_BYTES: usize = 24 * 1024;
/// Fewest connections of callers, for hosts whose limits are unknown or very small.
const MIN_CONNECTIONS: usize = 16;
/// Bytes of the shortest field of a head.
const MIN_FIELD_BYTES: usize = "a:\r\n".len();
/// Connections to the address for readiness checks, of which the platform uses one at a time.
const READY_CONNECTIONS: usize = 128;

/// Time in which a readiness check must send its head, and in which it must read its answer.
const READY_TIMEOUT: Duration = Duration::from_secs(3);

/// Servers for readiness checks, other gateways and metrics.
#[derive(Debug)]
pub(super) struct InternalServers {
    pub(super) ready: HttpServer,
    pub(super) peers: HttpServer,
    pub(super) metrics: Option<HttpServer>,
}

pub(super) async fn listen_callers(
    config: &GatewayConfig,
    context: &Arc<GatewayContext>,
) -> Result<HttpServer, GatewayError> {
    let caller_context = Arc::clone(context);
    let handle =
        move |request: Request<Incoming>| answer_caller(Arc::clone(&caller_context), request);
    let limit_context = Arc::clone(context);
    let (memory_bytes, descriptors) = (config.memory_bytes, config.max_descriptors);
    let limits = move || {
        let is_taken = limit_context.caller_intake().takes_connection();
        if !is_taken {
            limit_context.counters.count("callers.closed-unread");
        }
        is_taken.then(|| caller_limits(&limit_context, memory_bytes, descriptors))
    };
    let listener = bind("callers", config.caller_address).await?;
    HttpServer::start_on(listener, limits, handle)
        .map_err(|cause| GatewayError::Listen("callers", config.caller_address, cause))
}

/// Limits of a new connection according to the routing in force.
fn caller_limits(
    context: &GatewayContext,
    memory_bytes: usize,
    descriptors: usize,
) -> HttpServerLimits {
    let routing = context.cluster_view.routing();
    let bounds = routing.map_or_else(CallerBounds::default, |routing| *routing.bounds());
    HttpServerLimits {
        max_header_bytes: bounds.max_header_bytes,
        // The library counts idle time between two requests as part of reading the next head.
        header_timeout: bounds.idle_timeout.max(bounds.header_timeout),
        stall: Some(StallLimit {
            timeout: bounds.idle_timeout,
            ended: Arc::clone(&context.stalled_callers),
        }),
        clients: Some(ClientLimits {
            max_connections: max_connections(memory_bytes, descriptors, bounds.max_header_bytes),
            head_timeout: bounds.header_timeout,
            max_fields: bounds.max_header_bytes / MIN_FIELD_BYTES,
        }),
    }
}

/// Most connections of callers that a process may have open.
fn max_connections(memory_bytes: usize, descriptors: usize, max_header_bytes: usize) -> usize {
    let connection_bytes = CONNECTION_BYTES + max_header_bytes;
    let by_memory = memory_bytes / CONNECTION_MEMORY_FRACTION / connection_bytes;
    let by_descriptors = descriptors / CONNECTION_DESCRIPTOR_FRACTION;
    by_memory.min(by_descriptors).max(MIN_CONNECTIONS)
}

pub(super) async fn bind(
    purpose: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| GatewayError::Listen(purpose, address, cause))
}

pub(super) async fn listen_internal(
    config: &GatewayConfig,
    context: &Arc<GatewayContext>,
    peers: TcpListener,
) -> Result<InternalServers, GatewayError> {
    let limits = HttpServerLimits::default();
    let ready_context = Arc::clone(context);
    let ready = move |_request: Request<Incoming>| {
        let response = ready_response(&ready_context);
        async move { response }
    };
    let ready_limits = HttpServerLimits {
        stall: Some(StallLimit {
            timeout: READY_TIMEOUT,
            ended: Arc::default(),
        }),
        clients: Some(ClientLimits {
            max_connections: READY_CONNECTIONS,
            head_timeout: READY_TIMEOUT,
            max_fields: USUAL_FIELDS,
        }),
        ..limits.clone()
    };
    let ready = HttpServer::start(config.ready_address, ready_limits, ready)
        .await
        .map_err(|cause| GatewayError::Listen("readiness", config.ready_address, cause))?;
    let peer_context = Arc::clone(context);
    let answer_peer =
        move |request: Request<Incoming>| serve_peer(Arc::clone(&peer_context), request);
    let address = config.announcement.address;
    let peer_limits = limits.clone();
    let peers = HttpServer::start_on(peers, move || Some(peer_limits.clone()), answer_peer)
        .map_err(|cause| GatewayError::Listen("other gateways", address, cause))?;
    let mut metrics = None;
    if let Some(address) = config.metrics_address {
        let metrics_context = Arc::clone(context);
        let store = config.store.clone();
        let answer = move |request: Request<Incoming>| {
            answer_operator(Arc::clone(&metrics_context), store.clone(), request)
        };
        let server = HttpServer::start(address, limits, answer)
            .await
            .map_err(|cause| GatewayError::Listen("metrics", address, cause))?;
        metrics = Some(server);
    }
    Ok(InternalServers {
        ready,
        peers,
        metrics,
    })
}

fn ready_response(context: &GatewayContext) -> Response<ResponseBody> {
    let is_known = context.cluster_view.routing().is_some();
    let is_fresh = context
        .cluster_view
        .age()
        .is_some_and(|age| age <= context.max_ready_age);
    let is_behind = context.cluster_view.is_behind(context.max_routing_lag);
    let is_ready = is_known && is_fresh && !is_behind && !context.shutdown.is_stopping();
    let mut response = Response::new(empty_body());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
