//! Messages between gateways.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::connection::{ResponseBody, empty_body, read_body};

/// Longest wait for a message's body; it comes with its head.
const BODY_PATIENCE: Duration = Duration::from_secs(1);

/// Reads a message of another gateway, or says why it cannot be read.
pub(super) async fn read_message<T: DeserializeOwned>(
    request: Request<Incoming>,
    max_bytes: usize,
) -> Result<T, String> {
    let read = read_body(request.into_body(), max_bytes, BODY_PATIENCE).await;
    let body = read.map_err(|error| error.to_string())?;
    rmp_serde::from_slice(&body).map_err(|error| error.to_string())
}

/// An answer that is a status alone.
pub(super) fn status(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
