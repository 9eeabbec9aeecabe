//! What a gateway listens for: callers, the platform's question, other gateways, readers of metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthscale_core::id::RequestFingerprint;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::net::TcpListener;

use super::process::{GatewayParts, serve_peer};
use super::request::answer_caller;
use super::{GatewayConfig, GatewayError};
use crate::connection::{HttpServer, HttpServerLimits, ResponseBody, empty_body, full_body};

/// Path under which requests that are held back are listed.
const LIST_PATH: &str = "/quarantine";
/// Start of the path under which one of them is let go; its fingerprint follows.
const LIFT_PATH: &str = "/quarantine/lift/";

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
    let listener = bind("callers", config.caller_address).await?;
    HttpServer::start_on(listener, limits, handle)
        .map_err(|cause| GatewayError::Listen("callers", config.caller_address, cause))
}

/// Bounds of a new connection by the routing in force.
fn caller_limits(parts: &GatewayParts) -> HttpServerLimits {
    let Some(routing) = parts.cluster_view.routing() else {
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
    let ready = HttpServer::start(config.ready_address, limits, ready)
        .await
        .map_err(|cause| GatewayError::Listen("readiness", config.ready_address, cause))?;
    let asked = Arc::clone(parts);
    let answer_peer = move |request: Request<Incoming>| serve_peer(Arc::clone(&asked), request);
    let address = config.announcement.address;
    let peers = HttpServer::start_on(peers, move || limits, answer_peer)
        .map_err(|cause| GatewayError::Listen("other gateways", address, cause))?;
    let mut metrics = None;
    if let Some(address) = config.metrics_address {
        let shown = Arc::clone(parts);
        let answer = move |request: Request<Incoming>| {
            let response = operator_response(&shown, &request);
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
    let is_known = parts.cluster_view.routing().is_some();
    let is_fresh = parts
        .cluster_view
        .age()
        .is_some_and(|age| age <= parts.ready_age);
    let is_behind = parts.cluster_view.is_behind(parts.behind_after);
    let is_ready = is_known && is_fresh && !is_behind && !parts.stop.is_stopping();
    let mut response = Response::new(empty_body());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Metrics, and what operators ask of requests that are held back.
fn operator_response(parts: &GatewayParts, request: &Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path();
    let lifted = path.strip_prefix(LIFT_PATH);
    match (request.method(), lifted) {
        (&Method::POST, Some(name)) => {
            let fingerprint: Result<RequestFingerprint, _> = name.parse();
            let (status, text) = match fingerprint {
                Err(error) => (StatusCode::BAD_REQUEST, error.to_string()),
                Ok(request) if parts.crashes.lift(request) => (
                    StatusCode::OK,
                    format!("{request} is sent to servers again"),
                ),
                Ok(request) => (
                    StatusCode::NOT_FOUND,
                    format!("{request} is not held back: GET {LIST_PATH} lists those that are"),
                ),
            };
            let mut response = Response::new(full_body(text + "\n"));
            *response.status_mut() = status;
            response
        }
        _ if path == LIST_PATH => Response::new(full_body(quarantine_text(parts))),
        _ => Response::new(full_body(metrics_text(parts))),
    }
}

/// Requests that are held back, one a line with the servers that crashed under it.
fn quarantine_text(parts: &GatewayParts) -> String {
    let held = parts.crashes.held_requests().into_iter();
    let lines = held.map(|(request, servers)| {
        let servers: Vec<_> = servers.iter().map(ToString::to_string).collect();
        format!("{request} {}\n", servers.join(","))
    });
    lines.collect()
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
    for (server, limit) in parts.limits.limits() {
        let _ = writeln!(
            text,
            "amaranth_server_limit_per_s{{server=\"{server}\"}} {limit}"
        );
    }
    text + &parts.latencies.text()
}
