//! The engine's HTTP interface.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;

use crate::backend::{BackendFaults, CallHeaders, CallId, Digest, digest};
use crate::engine::cancellation_registry::Cancellation;
use crate::engine::engine_state::EngineState;
use crate::engine::execution_log::RunningExecution;
use crate::engine::generation::Generation;
use crate::engine::prompt::Prompt;
use crate::engine::{FencedOrder, Operation};
use crate::http::{
    Answer, HandlerResult, Query, json, json_body, no_content, percent_decode, plain_text, status,
};

/// Paths of operations.
const RUN_PREFIX: &str = "/run/";
/// Paths of cancellations.
const CANCEL_PREFIX: &str = "/cancel/";

/// Answer of an operation that generates no tokens.
#[derive(Debug, Serialize)]
struct OperationReply<'a> {
    operation: Operation,
    call_id: &'a CallId,
    input_digest: Digest,
    result: String,
}

/// Answer to a call that was cancelled.
#[derive(Debug, Serialize)]
struct CancelledReply {
    cancelled: bool,
    /// Whether it already had a slot.
    started: bool,
}

/// Answer to a cancellation.
#[derive(Debug, Serialize)]
struct CancelReply {
    /// Number of cancelled calls.
    cancelled: usize,
}

/// Answers one request.
pub(crate) async fn handle(state: Arc<EngineState>, request: Request<Bytes>) -> HandlerResult {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::POST, "/admin/faults") => return Ok(set_faults(&state, request.body())),
        (&Method::GET, "/executions") => {
            return Ok(json(StatusCode::OK, &state.executions.executions()));
        }
        (&Method::GET, "/orders") => return Ok(json(StatusCode::OK, state.orders().state())),
        _ => state.faults.until_unfrozen().await,
    }
    match (request.method(), path) {
        (&Method::GET, "/load") => Ok(json(StatusCode::OK, &state.slots.load())),
        (&Method::GET, "/cache/events") => Ok(cache_events(&state, &request)),
        (&Method::POST, "/orders") => Ok(receive_order(&state, request.body())),
        (&Method::POST, path) if path.starts_with(CANCEL_PREFIX) => Ok(cancel(&state, path)),
        (&Method::POST, path) if path.starts_with(RUN_PREFIX) => Ok(run(state, &request).await),
        _ => Ok(status(StatusCode::NOT_FOUND)),
    }
}

async fn run(state: Arc<EngineState>, request: &Request<Bytes>) -> Answer {
    let name = request.uri().path().trim_start_matches(RUN_PREFIX);
    let Ok(operation) = name.parse::<Operation>() else {
        return status(StatusCode::NOT_FOUND);
    };
    match CallHeaders::parse(request.headers()) {
        Ok(headers) => run_call(state, operation, headers, request.body()).await,
        Err(error) => plain_text(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

async fn run_call(
    state: Arc<EngineState>,
    operation: Operation,
    headers: CallHeaders,
    body: &Bytes,
) -> Answer {
    let mut cancellation = state.cancellations.register(&headers.call_id);
    let slot = tokio::select! {
        biased;
        () = cancellation.cancelled() => return cancelled(false),
        slot = state.slots.acquire(headers.priority) => slot,
    };
    let execution = state.executions.start(&headers, operation);
    if state.faults.take_failure() {
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let digest = digest(body);
    if !operation.generates() {
        let reply = OperationReply {
            operation,
            call_id: &headers.call_id,
            input_digest: digest,
            result: format!(
                "{operation} of {:02x}{:02x}",
                digest.byte(0),
                digest.byte(1)
            ),
        };
        return run_to_completion(&state, &execution, cancellation, &reply).await;
    }
    let generation = Generation {
        state,
        slot,
        execution,
        prompt: Prompt::parse(body),
        digest,
        resume_token: headers.resume_token,
    };
    generation.start(cancellation)
}

async fn run_to_completion(
    state: &EngineState,
    execution: &RunningExecution,
    mut cancellation: Cancellation,
    reply: &OperationReply<'_>,
) -> Answer {
    tokio::select! {
        () = cancellation.cancelled() => cancelled(true),
        () = state.run_operation() => {
            execution.finish();
            json(StatusCode::OK, reply)
        }
    }
}

fn cancelled(started: bool) -> Answer {
    let reply = CancelledReply {
        cancelled: true,
        started,
    };
    json(StatusCode::CONFLICT, &reply)
}

fn cancel(state: &EngineState, path: &str) -> Answer {
    let id = percent_decode(path.trim_start_matches(CANCEL_PREFIX));
    let Some(id) = id else {
        return status(StatusCode::BAD_REQUEST);
    };
    let cancelled = state.cancellations.cancel(&CallId::new(id));
    json(StatusCode::OK, &CancelReply { cancelled })
}

fn cache_events(state: &EngineState, request: &Request<Bytes>) -> Answer {
    let after = Query::of(request.uri()).parse("after").unwrap_or_default();
    json(StatusCode::OK, &state.cache_events(after))
}

fn receive_order(state: &EngineState, body: &Bytes) -> Answer {
    let order: FencedOrder = match json_body(body) {
        Ok(order) => order,
        Err(answer) => return *answer,
    };
    if state.faults.take_order_failure() {
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let reply = state.orders().receive(order);
    let status = if reply.applied {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    };
    json(status, &reply)
}

fn set_faults(state: &EngineState, body: &Bytes) -> Answer {
    match json_body::<BackendFaults>(body) {
        Ok(faults) => {
            log::info!("engine: faults switched: {faults:?}");
            state.faults.set(&faults);
            no_content()
        }
        Err(answer) => *answer,
    }
}
