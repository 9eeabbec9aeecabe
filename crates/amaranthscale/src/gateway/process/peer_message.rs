//! Messages between gateways.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::connection::{ResponseBody, empty_body, read_body};

/// Timeout for a message's body, which is sent together with its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads and decodes another gateway's message.
pub(super) async fn read_message<T: DeserializeOwned>(
    request: Request<Incoming>,
    max_bytes: usize,
) -> Result<T, String> {
    let read = read_body(request.into_body(), max_bytes, BODY_TIMEOUT).await;
    let body = read.map_err(|error| error.to_string())?;
    rmp_serde::from_slice(&body).map_err(|error| error.to_string())
}

/// A response with a status and an empty body.
pub(super) fn status_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
