//! The HTTP interface of a plain service.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;

use crate::backend::{BackendFaults, CallHeaders, CallId, Digest, digest};
use crate::http::{
    Answer, HandlerResult, json, json_body, no_content, plain_text, status, truncated_answer,
    turned_away,
};
use crate::service::service_state::ServiceState;

/// Answer to a call.
#[derive(Debug, Serialize)]
struct ServiceReply<'a> {
    service: &'a str,
    path: &'a str,
    call_id: &'a CallId,
    execution: u64,
    body_digest: Digest,
}

/// Answers one request.
pub(crate) async fn handle(state: Arc<ServiceState>, request: Request<Bytes>) -> HandlerResult {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/executions") => Ok(json(StatusCode::OK, &state.executions())),
        (&Method::GET, "/calls-in-backoff") => {
            Ok(json(StatusCode::OK, &state.faults.calls_in_backoff()))
        }
        (&Method::POST, "/admin/faults") => Ok(set_faults(&state, request.body())),
        (&Method::POST, path) => call(&state, path.trim_start_matches('/'), &request).await,
        _ => Ok(status(StatusCode::NOT_FOUND)),
    }
}

async fn call(state: &ServiceState, path: &str, request: &Request<Bytes>) -> HandlerResult {
    let headers = match CallHeaders::parse(request.headers()) {
        Ok(headers) => headers,
        Err(error) => return Ok(plain_text(StatusCode::BAD_REQUEST, error.to_string())),
    };
    state.faults.until_unfrozen().await;
    if let Some(left) = state.faults.turned_away() {
        return Ok(turned_away(left));
    }
    let body_digest = digest(request.body());
    let execution = state.record(&headers, path, body_digest);
    state.faults.simulate_work(state.service_time).await;
    state.faults.until_released().await;
    if state.faults.take_failure() {
        return Ok(status(StatusCode::INTERNAL_SERVER_ERROR));
    }
    let reply = ServiceReply {
        service: &state.name,
        path,
        call_id: &headers.call_id,
        execution,
        body_digest,
    };
    answer(state, &reply).await
}

async fn answer(state: &ServiceState, reply: &ServiceReply<'_>) -> HandlerResult {
    let answer = json(StatusCode::OK, reply);
    if !state.faults.take_break() {
        return Ok(answer);
    }
    let whole = answer.into_body().collect().await?.to_bytes();
    Ok(truncated_answer(whole.slice(..whole.len() / 2)))
}

fn set_faults(state: &ServiceState, body: &Bytes) -> Answer {
    match json_body::<BackendFaults>(body) {
        Ok(faults) => {
            log::info!("service: faults switched: {faults:?}");
            state.faults.set(&faults);
            no_content()
        }
        Err(answer) => *answer,
    }
}
