//! Exchanges measured speeds of engines between gateways.
//!
//! Each gateway posts its samples to one collector, the batch owner of a deployment with a single
//! cell, and gets the estimates that have changed. A single collector for all engines keeps the
//! exchange small: a gateway sends at most four messages a second, whatever the number of gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::{InstanceId, ServerIncarnation};
use amaranthscale_core::process::{Cell, SPEED_FORMAT, SpeedReport, SpeedUpdate};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use log::{info, warn};
use tokio::time::Instant;

use super::super::Feature;
use super::GatewayContext;
use super::peer_message::{read_message, status_response};
use crate::connection::{PeerError, ResponseBody, full_body, read_body};

/// Prefix of the path for posting samples; the collector's id follows.
pub const SPEEDS_PATH: &str = "/speeds/";
/// Shortest time between two posts.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two posts for each live gateway, which bounds the collector's work.
const INTERVAL_PER_GATEWAY: Duration = Duration::from_micros(1_500);
/// Time between two posts without samples; shorter than estimates last.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);
/// Failed posts in a row from which a gateway posts as rarely as without samples: its collector has
/// the feature disabled or another format.
const MAX_FAST_FAILURES: u32 = 4;
/// Maximum size of a report: some bytes for each of a gateway's requests in ten seconds.
const MAX_REPORT_BYTES: usize = 256 * 1024;
/// Maximum size of an update: about a hundred bytes for each engine.
const MAX_UPDATE_BYTES: usize = 512 * 1024;
/// Timeout for an update; longer than the detection of a dead connection, which marks the collector
/// as unresponsive. One that only lags still owns batches.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a collector's update is missing.
enum ExchangeError {
    /// The collector does not respond.
    Unresponsive(String),
    /// Its answer cannot be used.
    Unusable(String),
}

/// Posts samples and applies updates as long as the process runs.
pub async fn exchange_speeds(context: Arc<GatewayContext>) {
    if !context.features.is_enabled(Feature::EngineSpeed) {
        return;
    }
    let mut posted_at = Instant::now();
    let mut failures = 0;
    loop {
        let gateways = u32::try_from(context.cluster_view.live_count()).unwrap_or(u32::MAX);
        let interval = INTERVAL_PER_GATEWAY
            .saturating_mul(gateways)
            .max(MIN_INTERVAL);
        tokio::time::sleep(interval).await;
        let now = context.cluster_view.clock().now();
        let has_samples = context
            .server_selector()
            .engine_speeds_mut()
            .collect_overdue(now);
        let is_due = has_samples && failures < MAX_FAST_FAILURES;
        if is_due || posted_at.elapsed() >= IDLE_INTERVAL {
            posted_at = Instant::now();
            failures = if exchange_once(&context).await {
                0
            } else {
                failures + 1
            };
        }
    }
}

/// Posts the samples; false if no update was received.
async fn exchange_once(context: &GatewayContext) -> bool {
    if !has_engines(context) {
        return true;
    }
    let (collector, address, is_own) = context.cluster_view.owner(Cell::SINGLE);
    let now = context.cluster_view.clock().now();
    let report = context
        .server_selector()
        .engine_speeds_mut()
        .report_to(&collector, now);
    let updated = if is_own {
        Ok(collect(context, &report))
    } else {
        post(context, &collector, address, &report).await
    };
    match updated {
        Ok(update) => {
            apply(context, update);
            true
        }
        Err(error) => {
            context.counters.count("speeds.not-posted");
            context
                .server_selector()
                .engine_speeds_mut()
                .forget_collector();
            let reason = match error {
                ExchangeError::Unresponsive(reason) => {
                    context.cluster_view.mark_unresponsive(&collector);
                    reason
                }
                ExchangeError::Unusable(reason) => reason,
            };
            info!(collector = collector.as_str(), reason = reason.as_str(); "speeds: not exchanged");
            false
        }
    }
}

/// Whether a service has engines whose speed can be used.
fn has_engines(context: &GatewayContext) -> bool {
    let routing = context.cluster_view.routing();
    routing.is_some_and(|routing| routing.pools().any(|pool| pool.engine.is_some()))
}

fn apply(context: &GatewayContext, update: SpeedUpdate) {
    let now = context.cluster_view.clock().now();
    let collector = update.version.collector.clone();
    let mut selector = context.server_selector();
    let is_other = selector.engine_speeds().collector() != Some(&collector);
    let invalid = selector.engine_speeds_mut().apply(update, now);
    drop(selector);
    if is_other {
        info!(collector = collector.as_str(); "speeds: collector in use");
    }
    if invalid > 0 {
        context.counters.count("speeds.invalid-estimates");
        warn!(collector = collector.as_str(), invalid; "speeds: invalid estimates from a gateway");
    }
}

async fn post(
    context: &GatewayContext,
    collector: &InstanceId,
    address: SocketAddr,
    report: &SpeedReport,
) -> Result<SpeedUpdate, ExchangeError> {
    // Encoding texts and numbers cannot fail.
    let encoded = rmp_serde::to_vec(report).unwrap_or_default();
    let sent_bytes = u64::try_from(encoded.len()).unwrap_or(u64::MAX);
    let path = format!("{SPEEDS_PATH}{collector}");
    let posting = context.peers.post(address, &path, encoded);
    let timed_out = || ExchangeError::Unusable("it lags".to_owned());
    let response = tokio::time::timeout(UPDATE_TIMEOUT, posting)
        .await
        .map_err(|_elapsed| timed_out())?
        .map_err(|error| match error {
            // The connection may have ended while the gateway still runs.
            PeerError::Lost(..) => ExchangeError::Unusable(error.to_string()),
            PeerError::NotSent(..) | PeerError::TimedOut(..) => {
                ExchangeError::Unresponsive(error.to_string())
            }
        })?;
    if response.status() != StatusCode::OK {
        let reason = format!("it answered {}", response.status());
        return Err(ExchangeError::Unusable(reason));
    }
    let body = read_body(response.into_body(), MAX_UPDATE_BYTES, UPDATE_TIMEOUT).await;
    let body = body.map_err(|error| ExchangeError::Unusable(error.to_string()))?;
    context.counters.count("speeds.posted");
    context.counters.add("speeds.sent-bytes", sent_bytes);
    let received_bytes = u64::try_from(body.len()).unwrap_or(u64::MAX);
    context
        .counters
        .add("speeds.received-bytes", received_bytes);
    let update: SpeedUpdate =
        rmp_serde::from_slice(&body).map_err(|error| ExchangeError::Unusable(error.to_string()))?;
    if update.format != SPEED_FORMAT || update.version.collector != *collector {
        return Err(ExchangeError::Unusable(
            "its answer is for others".to_owned(),
        ));
    }
    Ok(update)
}

/// Answers another gateway's report with the estimates that have changed.
pub(super) async fn serve_speeds(
    context: &GatewayContext,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let requested_id = request.uri().path().strip_prefix(SPEEDS_PATH);
    let is_own_id = requested_id == Some(context.instance.as_str());
    if !is_own_id || !context.features.is_enabled(Feature::EngineSpeed) {
        return status_response(StatusCode::NOT_FOUND);
    }
    let report: Result<SpeedReport, _> = read_message(request, MAX_REPORT_BYTES).await;
    let report = report.and_then(|report| {
        if report.format == SPEED_FORMAT {
            Ok(report)
        } else {
            Err(format!("format {}: need {SPEED_FORMAT}", report.format))
        }
    });
    let report = match report {
        Ok(report) => report,
        Err(reason) => {
            context.counters.count("speeds.invalid-reports");
            warn!(reason = reason.as_str(); "speeds: invalid report from a gateway");
            return status_response(StatusCode::BAD_REQUEST);
        }
    };
    let update = collect(context, &report);
    // Encoding texts and numbers cannot fail.
    Response::new(full_body(rmp_serde::to_vec(&update).unwrap_or_default()))
}

/// Adds a report's samples to those of all gateways.
fn collect(context: &GatewayContext, report: &SpeedReport) -> SpeedUpdate {
    let servers = context.cluster_view.servers();
    let now = context.cluster_view.clock().now();
    let service_of = |engine: &ServerIncarnation| {
        let mut all = servers.all();
        let listed = all.find(|server| server.incarnation == *engine)?;
        Some(listed.service.clone())
    };
    let mut collector = context.speed_collector();
    let invalid = collector.record(report, service_of, now);
    let update = collector.update_since(report.known.as_ref(), now);
    drop(collector);
    if let Some((engine, reason)) = invalid.first() {
        context.counters.count("speeds.invalid-samples");
        let count = invalid.len();
        warn!(server:% = engine, reason:% = reason, count; "speeds: invalid samples");
    }
    update
}
