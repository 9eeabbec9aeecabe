//! The final answer of a request.

use amaranthscale_core::id::RequestId;
use amaranthscale_core::process::Refusal;
use amaranthscale_core::{Ran, ResultCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The final answer of a request, independent of HTTP.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Numbered result.
    pub code: ResultCode,
    /// Retry delay, for a refusal.
    pub retry_after_ms: Option<u64>,
    /// Status of the backend server, for a plain service that answered; 0 otherwise.
    pub backend_status: u16,
    /// Result of the last stage; empty unless complete.
    pub result: Bytes,
}

impl Answer {
    /// A complete answer.
    #[must_use]
    pub const fn complete(result: Bytes) -> Self {
        Self {
            code: ResultCode::Complete,
            retry_after_ms: None,
            backend_status: 200,
            result,
        }
    }

    /// An answer without a result.
    #[must_use]
    pub const fn from_code(code: ResultCode) -> Self {
        Self {
            code,
            retry_after_ms: None,
            backend_status: 0,
            result: Bytes::new(),
        }
    }

    /// A refusal with a retry delay.
    #[must_use]
    pub fn refused(code: ResultCode, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..Self::from_code(code)
        }
    }
}

impl From<ResultCode> for Answer {
    fn from(code: ResultCode) -> Self {
        Self::from_code(code)
    }
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Self {
        Self::refused(refusal.code, refusal.retry_after_ms)
    }
}

/// JSON form of an answer, used for pipelines and for every answer that is not complete.
#[derive(Debug, Serialize, Deserialize)]
pub struct AnswerEnvelope {
    /// Id of the request.
    pub request_id: RequestId,
    /// Number of the result code.
    pub code: ResultCode,
    /// Description of the code.
    pub text: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Retry delay.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// Result of the last stage.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub result: Option<Box<RawValue>>,
}

impl AnswerEnvelope {
    /// Creates the envelope of an answer; a result that is not JSON becomes a JSON string.
    #[must_use]
    pub fn new(request_id: RequestId, answer: &Answer) -> Self {
        Self {
            request_id,
            code: answer.code,
            text: answer.code.text().to_owned(),
            ran: answer.code.ran(),
            retry_after_ms: answer.retry_after_ms,
            result: raw_result(&answer.result),
        }
    }
}

fn raw_result(result: &Bytes) -> Option<Box<RawValue>> {
    if result.is_empty() {
        return None;
    }
    let text = String::from_utf8_lossy(result);
    let as_json = serde_json::from_str(&text).ok();
    as_json.or_else(|| serde_json::value::to_raw_value(&text).ok())
}
