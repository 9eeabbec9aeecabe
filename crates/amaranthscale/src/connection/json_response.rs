//! Responses with JSON bodies.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;

use super::{ResponseBody, full_body};

/// A response with a JSON body.
#[must_use]
pub fn json_response(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// A response with a value serialised as JSON.
#[must_use]
pub fn serialised_response(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    json_response(status, to_json(value))
}

/// Serialises a value as JSON.
#[must_use]
pub fn to_json(value: &impl Serialize) -> Bytes {
    // Serialising these types cannot fail, so an empty body would be a bug.
    serde_json::to_vec(value).unwrap_or_default().into()
}
