//! Listeners of a gateway: callers, readiness checks, other gateways and metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;

use super::operator::answer_operator;
use super::process::{GatewayContext, serve_peer};
use super::request::answer_caller;
use super::{GatewayConfig, GatewayError};
use crate::connection::{HttpServer, HttpServerLimits, ResponseBody, StallLimit, empty_body};

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
    let limits = move || {
        let is_taken = limit_context.caller_intake().takes_connection();
        if !is_taken {
            limit_context.counters.count("callers.closed-unread");
        }
        is_taken.then(|| caller_limits(&limit_context))
    };
    let listener = bind("callers", config.caller_address).await?;
    HttpServer::start_on(listener, limits, handle)
        .map_err(|cause| GatewayError::Listen("callers", config.caller_address, cause))
}

/// Limits of a new connection according to the routing in force.
fn caller_limits(context: &GatewayContext) -> HttpServerLimits {
    let Some(routing) = context.cluster_view.routing() else {
        return HttpServerLimits {
            http1_only: true,
            ..HttpServerLimits::default()
        };
    };
    let bounds = routing.bounds();
    HttpServerLimits {
        max_header_bytes: bounds.max_header_bytes,
        // The library counts idle time between two requests as part of reading the next head.
        header_timeout: bounds.idle_timeout.max(bounds.header_timeout),
        stall: Some(StallLimit {
            timeout: bounds.idle_timeout,
            ended: Arc::clone(&context.stalled_callers),
        }),
        http1_only: true,
    }
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
        http1_only: true,
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
