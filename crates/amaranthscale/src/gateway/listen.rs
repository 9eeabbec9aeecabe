//! Listeners of a gateway: callers, readiness checks, other gateways and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use amaranthscale_core::id::RequestFingerprint;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::net::TcpListener;

use super::process::{GatewayContext, serve_peer};
use super::request::answer_caller;
use super::{GatewayConfig, GatewayError};
use crate::connection::{
    HttpServer, HttpServerLimits, ResponseBody, StallLimit, empty_body, full_body,
};

/// Path that lists the quarantined requests.
const QUARANTINE_LIST_PATH: &str = "/quarantine";
/// Prefix of the path that lifts the quarantine of a request; its fingerprint follows.
const QUARANTINE_LIFT_PATH: &str = "/quarantine/lift/";

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
    let limits = move || caller_limits(&limit_context);
    let listener = bind("callers", config.caller_address).await?;
    HttpServer::start_on(listener, limits, handle)
        .map_err(|cause| GatewayError::Listen("callers", config.caller_address, cause))
}

/// Limits of a new connection according to the routing in force.
fn caller_limits(context: &GatewayContext) -> HttpServerLimits {
    let Some(routing) = context.cluster_view.routing() else {
        return HttpServerLimits::default();
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
    let ready = HttpServer::start(config.ready_address, limits.clone(), ready)
        .await
        .map_err(|cause| GatewayError::Listen("readiness", config.ready_address, cause))?;
    let peer_context = Arc::clone(context);
    let answer_peer =
        move |request: Request<Incoming>| serve_peer(Arc::clone(&peer_context), request);
    let address = config.announcement.address;
    let peer_limits = limits.clone();
    let peers = HttpServer::start_on(peers, move || peer_limits.clone(), answer_peer)
        .map_err(|cause| GatewayError::Listen("other gateways", address, cause))?;
    let mut metrics = None;
    if let Some(address) = config.metrics_address {
        let metrics_context = Arc::clone(context);
        let answer = move |request: Request<Incoming>| {
            let response = operator_response(&metrics_context, &request);
            async move { response }
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

/// Answers requests for metrics, for the list of quarantined requests and to lift a quarantine.
fn operator_response(
    context: &GatewayContext,
    request: &Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    let lift_target = path.strip_prefix(QUARANTINE_LIFT_PATH);
    match (request.method(), lift_target) {
        (&Method::POST, Some(name)) => {
            let fingerprint: Result<RequestFingerprint, _> = name.parse();
            let (status, text) = match fingerprint {
                Err(error) => (StatusCode::BAD_REQUEST, error.to_string()),
                Ok(request) if context.crashes.lift(request) => (
                    StatusCode::OK,
                    format!("{request} is sent to servers again"),
                ),
                Ok(request) => (
                    StatusCode::NOT_FOUND,
                    format!(
                        "{request} is not held back: GET {QUARANTINE_LIST_PATH} lists those that are"
                    ),
                ),
            };
            let mut response = Response::new(full_body(text + "\n"));
            *response.status_mut() = status;
            response
        }
        _ if path == QUARANTINE_LIST_PATH => Response::new(full_body(quarantine_text(context))),
        _ => Response::new(full_body(metrics_text(context))),
    }
}

/// Quarantined requests, one per line with the servers that crashed under each.
fn quarantine_text(context: &GatewayContext) -> String {
    let quarantined = context.crashes.quarantined_requests().into_iter();
    let lines = quarantined.map(|(request, servers)| {
        let servers: Vec<_> = servers.iter().map(ToString::to_string).collect();
        format!("{request} {}\n", servers.join(","))
    });
    lines.collect()
}

/// All counters and latencies, one per line.
fn metrics_text(context: &GatewayContext) -> String {
    use std::fmt::Write;
    let mut text = String::new();
    for (name, total) in context.counters.totals() {
        let name = name.replace(['.', '-'], "_");
        // Writing to a string cannot fail.
        let _ = writeln!(text, "amaranth_{name}_total {total}");
    }
    let _ = writeln!(
        text,
        "amaranth_open_requests {}",
        context.shutdown.open_requests()
    );
    let _ = writeln!(
        text,
        "amaranth_stalled_callers_total {}",
        context.stalled_callers.load(Ordering::Relaxed)
    );
    for (request, servers) in context.crashes.quarantined_requests() {
        let crashed = servers.len();
        let _ = writeln!(
            text,
            "amaranth_quarantined{{fingerprint=\"{request}\"}} {crashed}"
        );
    }
    for (server, limit) in context.limits.limits() {
        let _ = writeln!(
            text,
            "amaranth_server_limit_per_s{{server=\"{server}\"}} {limit}"
        );
    }
    let (servers, now) = (
        context.cluster_view.servers(),
        context.cluster_view.clock().now(),
    );
    for record in servers.all() {
        let server = &record.incarnation;
        if servers.has_stated_leaving(server) {
            let _ = writeln!(
                text,
                "amaranth_server_leaving_stated{{server=\"{server}\"}} 1"
            );
        }
        if let Some(until) = servers.backoff_until(server, now) {
            let left_s = until.saturating_sub(now).as_secs_f64();
            let _ = writeln!(
                text,
                "amaranth_server_backoff_left_s{{server=\"{server}\"}} {left_s:.3}"
            );
        }
    }
    text + &context.latencies.text()
}
