//! HTTP responses for answers.

use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::RequestId;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::connection::{ResponseBody, json_response, to_json};
use crate::entry::request::{Answer, AnswerEnvelope, Target};

/// Header with the number of the result code.
pub const CODE_HEADER: &str = "x-amaranth-code";
/// Header that states whether the request ran.
pub const RAN_HEADER: &str = "x-amaranth-ran";
/// Header with the request's id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the time to wait before a retry.
pub const RETRY_AFTER_MS_HEADER: &str = "x-retry-after-ms";

/// Retry delay for a retryable answer that has no better estimate.
const DEFAULT_RETRY_AFTER_MS: u64 = 1000;

/// Sets a default retry delay on a retryable answer that has none.
#[must_use]
pub fn with_retry_after(answer: Answer) -> Answer {
    if answer.retry_after_ms.is_none() && answer.code.is_retryable() {
        return Answer {
            retry_after_ms: Some(DEFAULT_RETRY_AFTER_MS),
            ..answer
        };
    }
    answer
}

/// The response for a final answer.
///
/// The body is the backend server's own result for a completed call of a plain service, and an
/// [`AnswerEnvelope`] otherwise.
#[must_use]
pub fn answer_response(
    id: RequestId,
    target: Option<&Target>,
    answer: &Answer,
) -> Response<ResponseBody> {
    let is_plain =
        matches!(target, Some(Target::Service(_))) && answer.code == ResultCode::Complete;
    let body = if is_plain {
        answer.result.clone()
    } else {
        to_json(&AnswerEnvelope::new(id, answer))
    };
    let mut response = json_response(status(answer.code), body);
    let headers = response.headers_mut();
    headers.insert(CODE_HEADER, HeaderValue::from(answer.code.number()));
    headers.insert(RAN_HEADER, ran_value(answer.code));
    if let Ok(id) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    if let Some(retry_after_ms) = answer.retry_after_ms {
        let whole_seconds = Duration::from_millis(retry_after_ms + 999).as_secs();
        headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds));
        headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(retry_after_ms));
    }
    response
}

/// The HTTP status of a result code.
#[must_use]
pub fn status(code: ResultCode) -> StatusCode {
    StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

const fn ran_value(code: ResultCode) -> HeaderValue {
    match code.ran() {
        amaranthscale_core::Ran::No => HeaderValue::from_static("no"),
        amaranthscale_core::Ran::Yes => HeaderValue::from_static("yes"),
        amaranthscale_core::Ran::Unknown => HeaderValue::from_static("unknown"),
    }
}
