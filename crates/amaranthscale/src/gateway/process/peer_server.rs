//! Serves requests of other gateways: jobs, relayed rows of the store and liveness checks.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthscale_core::id::InstanceId;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use log::warn;

use super::super::version::ROWS_PATH;
use super::GatewayContext;
use super::peer_jobs::serve_job;
use super::peer_message::{read_message, status_response};
use crate::connection::{PeerClient, ResponseBody, full_body};

/// Prefix of the path for checking that a gateway is alive; its id follows.
pub const ALIVE_PATH: &str = "/alive/";
/// Maximum size of a request for rows: a table, a version, a time and the names of some rows.
const MAX_ROWS_REQUEST_BYTES: usize = 4 * 1024;

/// Serves requests of other gateways: jobs, relayed rows of the store and liveness checks.
pub async fn serve_peer(
    context: Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let own_id = context.instance.clone();
    let path = request.uri().path();
    let requested_id = path.strip_prefix(ALIVE_PATH);
    let requested_id = requested_id.or_else(|| path.strip_prefix(ROWS_PATH));
    if requested_id.is_some_and(|requested_id| requested_id != own_id.as_str()) {
        return status_response(StatusCode::NOT_FOUND);
    }
    if path.starts_with(ALIVE_PATH) {
        status_response(StatusCode::OK)
    } else if path.starts_with(ROWS_PATH) {
        serve_rows(&context, request).await
    } else {
        serve_job(own_id, Arc::clone(&context.batch_owners), request).await
    }
}

/// Answers another gateway's request for rows of the store.
async fn serve_rows(
    context: &GatewayContext,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let rows_request = match read_message(request, MAX_ROWS_REQUEST_BYTES).await {
        Ok(rows_request) => rows_request,
        Err(reason) => {
            warn!(reason = reason.as_str(); "store: invalid rows request from a gateway");
            return status_response(StatusCode::BAD_REQUEST);
        }
    };
    let answer = context.table_relay.answer(rows_request).await;
    context.counters.count("store.handed-on");
    // Encoding texts, bytes and numbers cannot fail.
    let encoded = rmp_serde::to_vec_named(&answer).unwrap_or_default();
    Response::new(full_body(encoded))
}

/// Whether a gateway's incarnation answers at its address.
pub async fn check_alive(peers: &PeerClient, id: &InstanceId, address: SocketAddr) -> bool {
    let path = format!("{ALIVE_PATH}{id}");
    let answer = peers.post(address, &path, Bytes::new()).await;
    answer.is_ok_and(|response| response.status() == StatusCode::OK)
}
