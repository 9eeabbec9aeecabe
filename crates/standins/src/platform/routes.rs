//! The platform's HTTP interface.

use amaranthscale_core::id::HostId;
use amaranthscale_core::wire::{HostRecord, HostState, Transaction, TransactionReply};
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde::Deserialize;
use tokio::time::Instant;

use crate::http::{
    Answer, ConnectionClosed, HandlerResult, Query, ReplyBody, json, json_body, no_content,
    percent_decode, status,
};
use crate::platform::PlatformFaults;
use crate::platform::state::{HOSTS_PATH, State, TransactionMode};

/// Paths at which tests set faults and read counts; no fault affects them.
const ADMIN_PREFIX: &str = "/admin/";
/// Paths of objects.
const OBJECT_PREFIX: &str = "/objects/";
/// Default limit on the rows of one listing.
const DEFAULT_ROWS_LIMIT: usize = 1000;

/// Body of a change of a host's state.
#[derive(Debug, Deserialize)]
struct HostStateChange {
    host: HostId,
    state: HostState,
}

/// Body of a removal of a host.
#[derive(Debug, Deserialize)]
struct HostRemoval {
    host: HostId,
}

/// Answers one request.
pub(crate) async fn handle(state: State, request: Request<Bytes>) -> HandlerResult {
    if request.uri().path().starts_with(ADMIN_PREFIX) {
        return Ok(admin(&state, &request));
    }
    if state.lock().silent {
        std::future::pending::<()>().await;
    }
    if state.lock().is_unavailable(request.uri().path()) {
        return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
    }
    // Half of the latency passes before the effect and half after it, so that a caller may time
    // out before the call takes effect or after.
    let half_latency = state.lock().latency / 2;
    tokio::time::sleep(half_latency).await;
    let answer = serve(&state, &request)?;
    tokio::time::sleep(half_latency).await;
    Ok(answer)
}

fn serve(state: &State, request: &Request<Bytes>) -> HandlerResult {
    let path = request.uri().path();
    let object = path.strip_prefix(OBJECT_PREFIX).and_then(percent_decode);
    match (request.method(), path, object) {
        (&Method::GET, "/table/row", _) => Ok(row(state, request)),
        (&Method::GET, "/table/rows", _) => Ok(rows(state, request)),
        (&Method::POST, "/table/transaction", _) => transaction(state, request.body()),
        (&Method::GET, HOSTS_PATH, _) => Ok(hosts(state, request)),
        (&Method::GET, _, Some(key)) => Ok(object_read(state, &key)),
        (&Method::PUT, _, Some(key)) => Ok(object_write(state, key, request.body())),
        _ => Ok(status(StatusCode::NOT_FOUND)),
    }
}

fn row(state: &State, request: &Request<Bytes>) -> Answer {
    let mut contents = state.lock();
    if !contents.admit_read() {
        return status(StatusCode::TOO_MANY_REQUESTS);
    }
    match Query::of(request.uri()).get("key") {
        Some(key) => json(StatusCode::OK, &contents.table.row(key)),
        None => status(StatusCode::BAD_REQUEST),
    }
}

fn rows(state: &State, request: &Request<Bytes>) -> Answer {
    let mut contents = state.lock();
    if !contents.admit_read() {
        return status(StatusCode::TOO_MANY_REQUESTS);
    }
    let query = Query::of(request.uri());
    let prefix = query.get("prefix").unwrap_or_default();
    let limit = query.parse("limit").unwrap_or(DEFAULT_ROWS_LIMIT);
    let rows = contents.table.rows(prefix, query.get("after"), limit);
    json(StatusCode::OK, &rows)
}

fn transaction(state: &State, body: &Bytes) -> HandlerResult {
    let transaction: Transaction = match json_body(body) {
        Ok(transaction) => transaction,
        Err(answer) => return Ok(*answer),
    };
    let mut contents = state.lock();
    if !contents.admit_write() {
        return Ok(status(StatusCode::TOO_MANY_REQUESTS));
    }
    match contents.next_mode() {
        TransactionMode::Answered => Ok(transaction_answer(&contents.apply(&transaction))),
        TransactionMode::AnswerLost => {
            contents.apply(&transaction);
            log::info!("platform: answer lost");
            Err(ConnectionClosed::ByFault)
        }
        TransactionMode::Late(delay) => {
            let due = Instant::now() + delay;
            tokio::spawn(apply_later(state.clone(), transaction, due));
            log::info!("platform: answer lost, effect late");
            Err(ConnectionClosed::ByFault)
        }
    }
}

async fn apply_later(state: State, transaction: Transaction, due: Instant) {
    tokio::time::sleep_until(due).await;
    state.lock().apply(&transaction);
}

fn transaction_answer(reply: &TransactionReply) -> Answer {
    let status = match reply {
        TransactionReply::Committed(_) => StatusCode::OK,
        TransactionReply::Conflict(_) => StatusCode::CONFLICT,
    };
    json(status, reply)
}

/// The host list, or no content if the reader already has this version.
fn hosts(state: &State, request: &Request<Bytes>) -> Answer {
    let mut contents = state.lock();
    let lag = contents.host_list_lag;
    let hosts = contents.hosts.list(Instant::now(), lag);
    if Query::of(request.uri()).parse("after") == Some(hosts.version) {
        return no_content();
    }
    json(StatusCode::OK, &hosts)
}

fn object_read(state: &State, key: &str) -> Answer {
    let mut contents = state.lock();
    if !contents.admit_read() {
        return status(StatusCode::TOO_MANY_REQUESTS);
    }
    match contents.objects.get(key) {
        Some(object) => Answer::new(ReplyBody::whole(object.clone())),
        None => status(StatusCode::NOT_FOUND),
    }
}

fn object_write(state: &State, key: String, body: &Bytes) -> Answer {
    let mut contents = state.lock();
    if !contents.admit_write() {
        return status(StatusCode::TOO_MANY_REQUESTS);
    }
    contents.objects.insert(key, body.clone());
    no_content()
}

fn admin(state: &State, request: &Request<Bytes>) -> Answer {
    let body = request.body();
    let result = match (request.method(), request.uri().path()) {
        (&Method::GET, "/admin/counts") => Ok(json(StatusCode::OK, &state.lock().counts)),
        (&Method::POST, "/admin/faults") => set_faults(state, body),
        (&Method::POST, "/admin/hosts") => replace_hosts(state, body),
        (&Method::POST, "/admin/hosts/put") => put_host(state, body),
        (&Method::POST, "/admin/hosts/state") => change_host(state, body),
        (&Method::POST, "/admin/hosts/remove") => remove_host(state, body),
        _ => Ok(status(StatusCode::NOT_FOUND)),
    };
    result.unwrap_or_else(|answer| *answer)
}

fn set_faults(state: &State, body: &Bytes) -> Result<Answer, Box<Answer>> {
    let faults: PlatformFaults = json_body(body)?;
    log::info!("platform: faults switched: {faults:?}");
    state.lock().set_faults(faults);
    Ok(no_content())
}

fn replace_hosts(state: &State, body: &Bytes) -> Result<Answer, Box<Answer>> {
    let hosts: Vec<HostRecord> = json_body(body)?;
    let mut contents = state.lock();
    let lag = contents.host_list_lag;
    contents.hosts.replace(Instant::now(), lag, hosts);
    Ok(no_content())
}

fn put_host(state: &State, body: &Bytes) -> Result<Answer, Box<Answer>> {
    let host: HostRecord = json_body(body)?;
    let mut contents = state.lock();
    let lag = contents.host_list_lag;
    contents.hosts.put(Instant::now(), lag, host);
    Ok(no_content())
}

fn change_host(state: &State, body: &Bytes) -> Result<Answer, Box<Answer>> {
    let change: HostStateChange = json_body(body)?;
    let mut contents = state.lock();
    let lag = contents.host_list_lag;
    let now = Instant::now();
    let found = contents
        .hosts
        .set_state(now, lag, &change.host, change.state);
    Ok(no_content_or_not_found(found))
}

fn remove_host(state: &State, body: &Bytes) -> Result<Answer, Box<Answer>> {
    let removal: HostRemoval = json_body(body)?;
    let mut contents = state.lock();
    let lag = contents.host_list_lag;
    let found = contents.hosts.remove(Instant::now(), lag, &removal.host);
    Ok(no_content_or_not_found(found))
}

fn no_content_or_not_found(found: bool) -> Answer {
    if found {
        no_content()
    } else {
        status(StatusCode::NOT_FOUND)
    }
}
