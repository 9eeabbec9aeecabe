//! Drains one server and ends its drain.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use amaranthscale_core::id::ServerId;
use amaranthscale_core::process::ServerDrain;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use log::{info, warn};

use super::super::StoreApi;
use super::super::clock::ms;
use super::super::process::GatewayContext;
use super::super::version::{WriteError, write_store_once};
use crate::connection::{ResponseBody, read_body, serialised_response};
use crate::operator::{ChangeAnswer, ChangeOutcome, ChangeRequest, GATEWAY_SERVERS_PATH};

/// Maximum size of a request's body, which names the operator.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// Time in which the body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Operator's name for a request without one.
const UNNAMED: &str = "unnamed";

/// Answers a request to drain the server with an id.
///
/// Only the row of the store takes effect, here as at the other gateways.
pub(super) async fn drain(
    context: &GatewayContext,
    store: &StoreApi,
    name: &str,
    body: Incoming,
) -> Response<ResponseBody> {
    let (server, drain) = match parse(name, body).await {
        Ok(parsed) => parsed,
        Err(reason) => return answer(ChangeOutcome::Invalid, reason),
    };
    let servers = context.cluster_view.servers();
    if servers.record(&server).is_none() {
        return answer(ChangeOutcome::NotFound, not_listed(&server));
    }
    // Written even where a drain is known here: its end may be on its way from another gateway.
    let written = write_store_once(store, (store.publish_drain)(&server, &drain)).await;
    log(context, "drain", &server, drain.by(), &written);
    let done = format!("{server} is drained: it gets nothing new as soon as a gateway hears of it");
    outcome(written, done, "drained")
}

/// Answers a request to end the drain of the server with an id.
pub(super) async fn undrain(
    context: &GatewayContext,
    store: &StoreApi,
    name: &str,
    body: Incoming,
) -> Response<ResponseBody> {
    let (server, undrain) = match parse(name, body).await {
        Ok(parsed) => parsed,
        Err(reason) => return answer(ChangeOutcome::Invalid, reason),
    };
    let servers = context.cluster_view.servers();
    if servers.record(&server).is_none() && servers.drain(&server).is_none() {
        return answer(ChangeOutcome::NotFound, not_listed(&server));
    }
    // Written even where no drain is known here: it may be on its way from another gateway.
    let written = write_store_once(store, (store.remove_drain)(&server)).await;
    log(context, "undrain", &server, undrain.by(), &written);
    let done = format!("{server} is not drained: it is used as soon as a gateway hears of it");
    outcome(written, done, "undrained")
}

/// The server's id, and the drain by the operator that the body names.
async fn parse(name: &str, body: Incoming) -> Result<(ServerId, ServerDrain), String> {
    let server = name.parse().map_err(|error| format!("{error}"))?;
    let body = read_body(body, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let body = body.map_err(|error| format!("the body cannot be read: {error}"))?;
    let by = if body.is_empty() {
        UNNAMED.to_owned()
    } else {
        let request: Result<ChangeRequest, _> = serde_json::from_slice(&body);
        let expected = |error| format!("the body is not {{\"by\":\"NAME\"}}: {error}");
        request.map_err(expected)?.by
    };
    let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, ms);
    let drain = ServerDrain::new(by, at_ms).map_err(|error| error.to_string())?;
    Ok((server, drain))
}

fn not_listed(server: &ServerId) -> String {
    format!(
        "server {server} is not listed here: GET {GATEWAY_SERVERS_PATH} lists those that are; \
        give the id without what follows an @"
    )
}

fn log(
    context: &GatewayContext,
    change: &'static str,
    server: &ServerId,
    by: &str,
    written: &Result<(), WriteError>,
) {
    match written {
        Ok(()) => info!(server = server.as_str(), change, by; "servers: change by an operator"),
        Err(error) => {
            context.counters.count("drains.not-written");
            warn!(
                server = server.as_str(), change, by, reason:% = error;
                "servers: change by an operator not written"
            );
        }
    }
}

/// The answer to a written change; `state` is the server's state after it.
fn outcome(
    written: Result<(), WriteError>,
    done: String,
    state: &'static str,
) -> Response<ResponseBody> {
    match written {
        Ok(()) => answer(ChangeOutcome::Done, done),
        Err(WriteError::NotApplied(reason)) => answer(
            ChangeOutcome::NotDone,
            format!(
                "nothing has changed, as the store cannot be used: {reason}: try another gateway"
            ),
        ),
        Err(WriteError::Unknown(reason)) => answer(
            ChangeOutcome::Unknown,
            format!(
                "the server may be {state}, as the store did not answer: {reason}: look at \
                GET {GATEWAY_SERVERS_PATH} once the store answers; the request may be repeated"
            ),
        ),
    }
}

fn answer(outcome: ChangeOutcome, text: String) -> Response<ResponseBody> {
    let status = match outcome {
        ChangeOutcome::Done => StatusCode::OK,
        ChangeOutcome::Invalid => StatusCode::BAD_REQUEST,
        ChangeOutcome::NotFound => StatusCode::NOT_FOUND,
        ChangeOutcome::NotDone => StatusCode::BAD_GATEWAY,
        ChangeOutcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
    };
    serialised_response(status, &ChangeAnswer { outcome, text })
}
