//! Constructors of HTTP answers.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use crate::http::{ConnectionClosed, ReplyBody, cut_off};

/// Answer of a handler.
pub(crate) type Answer = Response<ReplyBody>;

/// Result of a handler: an answer, or the reason to close the connection without one.
pub(crate) type HandlerResult = Result<Answer, ConnectionClosed>;

/// An answer in JSON.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(text) => with_type(status, "application/json", text.into()),
        Err(error) => plain_text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// An answer with a status and its standard text.
pub(crate) fn status(status: StatusCode) -> Answer {
    plain_text(status, status.to_string())
}

/// Success without a body.
pub(crate) fn no_content() -> Answer {
    with_type(StatusCode::NO_CONTENT, "text/plain", Bytes::new())
}

/// Parses a request's body as JSON; the error is the answer to send.
pub(crate) fn json_body<T: DeserializeOwned>(body: &Bytes) -> Result<T, Box<Answer>> {
    let parsed = serde_json::from_slice(body);
    parsed.map_err(|error| Box::new(plain_text(StatusCode::BAD_REQUEST, error.to_string())))
}

/// An answer in plain text.
pub(crate) fn plain_text(status: StatusCode, text: String) -> Answer {
    with_type(status, "text/plain", text.into())
}

/// A refusal of a call that did not run, with the time for which the server wants none.
pub(crate) fn turned_away(left: Duration) -> Answer {
    let mut answer = status(StatusCode::SERVICE_UNAVAILABLE);
    let headers = answer.headers_mut();
    headers.insert("x-not-run", HeaderValue::from_static("1"));
    let seconds = HeaderValue::from_str(&format!("{:.3}", left.as_secs_f64()));
    headers.extend(seconds.ok().map(|seconds| (RETRY_AFTER, seconds)));
    answer
}

/// An answer that is cut off after its first bytes.
pub(crate) fn truncated_answer(first: Bytes) -> Answer {
    let (chunks, body) = mpsc::channel(1);
    tokio::spawn(async move {
        if chunks.send(Ok(first)).await.is_ok() {
            cut_off(&chunks).await;
        }
    });
    Response::new(ReplyBody::Chunks(body))
}

fn with_type(status: StatusCode, content_type: &'static str, body: Bytes) -> Answer {
    let mut answer = Response::new(ReplyBody::whole(body));
    *answer.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}
