//! One call of the store.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Body;
use log::info;
use tokio::time::Instant;

use super::super::clock::ms;
use super::super::{StoreAnswer, StoreApi};
use crate::connection::{Http1Connection, read_body_with_idle_timeout};

/// Timeout for the answer to a call that does not wait for changes, and idle timeout for an answer
/// that has begun.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum size of an answer of the store: a row with some sixty thousand routes, which is a small
/// part of the smallest host's memory.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Size from which answers and configurations are decoded on a blocking thread and logged; decoding
/// one of this size takes about a millisecond.
pub(super) const LONG_ANSWER_BYTES: usize = 64 * 1024;

/// Sends one call; returns the connection only after a complete answer. Calls `on_begin` when the
/// answer begins, with the length stated in its head.
///
/// The timeout is for the beginning of the answer; the rest is read as long as data arrives. An
/// answer that was abandoned for taking long would start over with the next call and never be
/// complete.
pub(super) async fn call_store(
    store: &StoreApi,
    mut connection: Http1Connection,
    request: Request<Full<Bytes>>,
    timeout: Duration,
    on_begin: impl FnOnce(usize),
) -> Result<(StoreAnswer, Http1Connection), String> {
    let response = tokio::time::timeout(timeout, connection.send(request))
        .await
        .map_err(|_elapsed| format!("no answer within {} ms", timeout.as_millis()))?
        .map_err(|error| error.to_string())?;
    let content_length = response.body().size_hint().lower();
    on_begin(usize::try_from(content_length).unwrap_or(usize::MAX));
    let (status, era) = (response.status(), (store.parse_era)(response.headers()));
    let head_received = Instant::now();
    let body = read_body_with_idle_timeout(response.into_body(), MAX_ANSWER_BYTES, CALL_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    let transfer = head_received.elapsed();
    let decode = store.parse_answer;
    let bytes = body.len();
    if bytes <= LONG_ANSWER_BYTES {
        return Ok((decode(status, era, &body)?, connection));
    }
    let received = Instant::now();
    let answer = tokio::task::spawn_blocking(move || decode(status, era, &body)).await;
    let (transfer_ms, decode_ms) = (ms(transfer), ms(received.elapsed()));
    info!(bytes, transfer_ms, decode_ms; "store: long answer read");
    Ok((answer.map_err(|error| error.to_string())??, connection))
}
