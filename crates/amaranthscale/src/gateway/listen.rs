//! What a gateway listens for: callers, the platform's question, other gateways, readers of metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;

use super::process::{GatewayParts, serve_peer};
use super::request::answer_caller;
use super::{GatewayConfig, GatewayError};
use crate::connection::{HttpServer, HttpServerLimits, ResponseBody, empty_body, full_body};

/// What listens beside the callers' server.
#[derive(Debug)]
pub(super) struct OtherServers {
    pub(super) ready: HttpServer,
    pub(super) peers: HttpServer,
    pub(super) metrics: Option<HttpServer>,
}

pub(super) async fn listen_callers(
    config: &GatewayConfig,
    parts: &Arc<GatewayParts>,
) -> Result<HttpServer, GatewayError> {
    let handled = Arc::clone(parts);
    let handle = move |request: Request<Incoming>| answer_caller(Arc::clone(&handled), request);
    let limited = Arc::clone(parts);
    let limits = move || caller_limits(&limited);
    let listener = bind("callers", config.callers).await?;
    HttpServer::start_on(listener, limits, handle)
        .map_err(|cause| GatewayError::Listen("callers", config.callers, cause))
}

/// Bounds of a new connection by the routing in force.
fn caller_limits(parts: &GatewayParts) -> HttpServerLimits {
    let Some(routing) = parts.knowledge.routing() else {
        return HttpServerLimits::default();
    };
    let bounds = routing.bounds();
    HttpServerLimits {
        max_header_bytes: bounds.max_header_bytes,
        // The library counts the pause between two requests as part of the next head.
        header_timeout: bounds.idle_timeout.max(bounds.header_timeout),
    }
}

pub(super) async fn bind(
    what: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| GatewayError::Listen(what, address, cause))
}

pub(super) async fn listen_others(
    config: &GatewayConfig,
    parts: &Arc<GatewayParts>,
    peers: TcpListener,
) -> Result<OtherServers, GatewayError> {
    let limits = HttpServerLimits::default();
    let asked = Arc::clone(parts);
    let ready = move |_request: Request<Incoming>| {
        let response = ready_response(&asked);
        async move { response }
    };
    let ready = HttpServer::start(config.ready, limits, ready)
        .await
        .map_err(|cause| GatewayError::Listen("readiness", config.ready, cause))?;
    let asked = Arc::clone(parts);
    let answer_peer = move |request: Request<Incoming>| serve_peer(Arc::clone(&asked), request);
    let address = config.announcement.address;
    let peers = HttpServer::start_on(peers, move || limits, answer_peer)
        .map_err(|cause| GatewayError::Listen("other gateways", address, cause))?;
    let mut metrics = None;
    if let Some(address) = config.metrics {
        let shown = Arc::clone(parts);
        let answer = move |_request: Request<Incoming>| {
            let response = Response::new(full_body(metrics_text(&shown)));
            async move { response }
        };
        let server = HttpServer::start(address, limits, answer)
            .await
            .map_err(|cause| GatewayError::Listen("metrics", address, cause))?;
        metrics = Some(server);
    }
    Ok(OtherServers {
        ready,
        peers,
        metrics,
    })
}

fn ready_response(parts: &GatewayParts) -> Response<ResponseBody> {
    let is_known = parts.knowledge.routing().is_some();
    let is_fresh = parts
        .knowledge
        .age()
        .is_some_and(|age| age <= parts.ready_age);
    let is_ready = is_known && is_fresh && !parts.stop.is_stopping();
    let mut response = Response::new(empty_body());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// All counters and times, one a line.
fn metrics_text(parts: &GatewayParts) -> String {
    use std::fmt::Write;
    let mut text = String::new();
    for (name, total) in parts.counters.totals() {
        let name = name.replace(['.', '-'], "_");
        // Writing to a string cannot fail.
        let _ = writeln!(text, "amaranth_{name}_total {total}");
    }
    let _ = writeln!(text, "amaranth_open_requests {}", parts.stop.open());
    for (request, servers) in parts.crashes.held_requests() {
        let crashed = servers.len();
        let _ = writeln!(
            text,
            "amaranth_quarantined{{fingerprint=\"{request}\"}} {crashed}"
        );
    }
    text + &parts.latencies.text()
}
