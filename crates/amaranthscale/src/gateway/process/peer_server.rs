//! Answers other gateways: jobs, the store's rows, and whether this life is here.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthscale_core::id::InstanceId;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use log::warn;

use super::super::version::ROWS_PATH;
use super::GatewayParts;
use super::peer_message::{read_message, status};
use super::peer_pieces::serve_pieces;
use crate::connection::{PeerClient, ResponseBody, full_body};

/// Start of the path of the question whether a gateway lives; its name follows.
pub const ALIVE_PATH: &str = "/alive/";
/// Largest question for rows: a table, a version, a time and the names of some rows.
const MAX_QUESTION_BYTES: usize = 4 * 1024;

/// Answers other gateways: jobs, the store's rows, and whether this life is here.
pub async fn serve_peer(
    parts: Arc<GatewayParts>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let own = parts.instance.clone();
    let path = request.uri().path();
    let asked = path.strip_prefix(ALIVE_PATH);
    let asked = asked.or_else(|| path.strip_prefix(ROWS_PATH));
    if asked.is_some_and(|asked| asked != own.as_str()) {
        return status(StatusCode::NOT_FOUND);
    }
    if path.starts_with(ALIVE_PATH) {
        status(StatusCode::OK)
    } else if path.starts_with(ROWS_PATH) {
        serve_rows(&parts, request).await
    } else {
        serve_pieces(own, Arc::clone(&parts.batches), request).await
    }
}

/// Answers a neighbour's question for what the store has told.
async fn serve_rows(parts: &GatewayParts, request: Request<Incoming>) -> Response<ResponseBody> {
    let question = match read_message(request, MAX_QUESTION_BYTES).await {
        Ok(question) => question,
        Err(reason) => {
            warn!(reason = reason.as_str(); "store: a neighbour's question cannot be read");
            return status(StatusCode::BAD_REQUEST);
        }
    };
    let answer = parts.handed_on.answer(question).await;
    parts.counters.count("store.handed-on");
    // Texts, bytes and numbers always have an encoding.
    let encoded = rmp_serde::to_vec_named(&answer).unwrap_or_default();
    Response::new(full_body(encoded))
}

/// Asks whether a gateway's life is at its address and answers.
pub async fn ask_alive(peers: &PeerClient, id: &InstanceId, address: SocketAddr) -> bool {
    let path = format!("{ALIVE_PATH}{id}");
    let answer = peers.post(address, &path, Bytes::new()).await;
    answer.is_ok_and(|response| response.status() == StatusCode::OK)
}
