//! Serves requests of other gateways: jobs, relayed rows of the store, measured speeds, origins of
//! streams and liveness checks.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthscale_core::id::InstanceId;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use log::warn;

use super::super::version::{ANNOUNCEMENTS_PATH, AnnouncementUpdate, ROWS_PATH, RowsRequest};
use super::GatewayContext;
use super::origin_saving::{SAVE_ORIGINS_PATH, serve_save};
use super::origin_tracker::{FIND_ORIGIN_PATH, RECORD_ORIGINS_PATH, serve_find, serve_record};
use super::peer_jobs::serve_job;
use super::peer_message::{read_message, status_response};
use super::speed_exchange::{SPEEDS_PATH, serve_speeds};
use crate::connection::{PeerClient, ResponseBody, full_body};

/// Prefix of the path for checking that a gateway is alive; its id follows.
pub const ALIVE_PATH: &str = "/alive/";
/// Maximum size of a request for rows: a table, a version, a time and the names of some rows.
const MAX_ROWS_REQUEST_BYTES: usize = 4 * 1024;
/// Maximum size of an update of announcements: one gateway's own and the names of some ended ones.
const MAX_ANNOUNCEMENTS_BYTES: usize = 64 * 1024;

/// Serves requests of other gateways: jobs, relayed rows of the store, announcements, measured
/// speeds, origins of streams and liveness checks.
///
/// Rows are the store's own, so they are served to those that know only an earlier incarnation at
/// this address too, as after a power failure.
pub async fn serve_peer(
    context: Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    if let Some(requested_id) = path.strip_prefix(ALIVE_PATH) {
        let is_own = requested_id == context.instance.as_str();
        status_response(if is_own {
            StatusCode::OK
        } else {
            StatusCode::NOT_FOUND
        })
    } else if path.starts_with(ROWS_PATH) {
        serve_rows(&context, request).await
    } else if path == ANNOUNCEMENTS_PATH {
        serve_announcements(&context, request).await
    } else if path == RECORD_ORIGINS_PATH {
        serve_record(&context, request).await
    } else if path == SAVE_ORIGINS_PATH {
        serve_save(&context, request).await
    } else if path == FIND_ORIGIN_PATH {
        serve_find(&context, request).await
    } else if path.starts_with(SPEEDS_PATH) {
        serve_speeds(&context, request).await
    } else {
        serve_job(&context, request).await
    }
}

/// Writes announcements for another gateway.
async fn serve_announcements(
    context: &GatewayContext,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let update: AnnouncementUpdate = match read_message(request, MAX_ANNOUNCEMENTS_BYTES).await {
        Ok(update) => update,
        Err(reason) => {
            warn!(reason = reason.as_str(); "membership: invalid announcements from a gateway");
            return status_response(StatusCode::BAD_REQUEST);
        }
    };
    let is_written = context.announcements.write(update).await;
    status_response(if is_written {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

/// Answers another gateway's request for rows of the store.
async fn serve_rows(
    context: &GatewayContext,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let rows_request: RowsRequest = match read_message(request, MAX_ROWS_REQUEST_BYTES).await {
        Ok(rows_request) => rows_request,
        Err(reason) => {
            warn!(reason = reason.as_str(); "store: invalid rows request from a gateway");
            return status_response(StatusCode::BAD_REQUEST);
        }
    };
    let table = rows_request.table;
    let answer = context.table_relay.answer(rows_request).await;
    context.counters.count("store.handed-on");
    // Encoding texts, bytes and numbers cannot fail.
    let encoded = rmp_serde::to_vec_named(&answer).unwrap_or_default();
    let kind = format!("relay.sent-bytes.{}", table.name());
    let bytes = u64::try_from(encoded.len()).unwrap_or(u64::MAX);
    context.counters.add(&kind, bytes);
    Response::new(full_body(encoded))
}

/// Whether a gateway's incarnation answers at its address.
pub async fn check_alive(peers: &PeerClient, id: &InstanceId, address: SocketAddr) -> bool {
    let path = format!("{ALIVE_PATH}{id}");
    let answer = peers.post(address, &path, Bytes::new()).await;
    answer.is_ok_and(|response| response.status() == StatusCode::OK)
}
