//! How callers and backend servers of a platform speak: names and formats, no decisions.

use std::time::Duration;

use amaranthscale_core::id::{CallId, ResultHandle};
use amaranthscale_core::process::{Batch, BatchEnd, InvalidServerLimit, ServerLimit, ServerLoad};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use quick_error::quick_error;

quick_error! {
    /// A request's head that cannot be served.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidHeader {
        /// A header is missing.
        Missing(header: HeaderName) {
            display("header {header} is missing: send it with every request")
        }
        /// A header's value cannot be read.
        Malformed(header: HeaderName, value: String) {
            display("header {header} has the value {value:?}, which cannot be read")
        }
    }
}

/// Names of the headers that a gateway reads or sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The caller's name of a send.
    pub call: HeaderName,
    /// Milliseconds that are left.
    pub deadline_ms: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// The organisation, for the server.
    pub organisation: HeaderName,
    /// The life of the server that is meant.
    pub target: HeaderName,
    /// The server's stamp on its answers.
    pub stamp: HeaderName,
    /// Handles of the results that an engine reads.
    pub inputs: HeaderName,
    /// The last event that the caller has.
    pub last_event: HeaderName,
    /// Headers that reach the server whatever the caller says of them.
    pub always_forwarded: Vec<HeaderName>,
    /// Headers that callers may not set.
    pub reserved: Vec<HeaderName>,
}

/// What a caller's head says of the work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestAttributes {
    /// The caller's name of this send.
    pub call: CallId,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Pieces of each stage.
    pub pieces: Vec<usize>,
    /// Key of the pieces.
    pub piece_key: String,
    /// Worth of the answer against others', in tokens of work; 0 if not known.
    pub worth_tokens: u64,
    /// Tokens of the prompt; 0 if not known.
    pub prompt_tokens: u64,
    /// Last part of the prompt that other requests share.
    pub shared_prefix: Option<String>,
}

/// How one platform's callers and servers speak.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Names of headers.
    pub headers: HeaderNames,
    /// Reads what a caller's head says of the work.
    pub parse_request_attributes: fn(&HeaderMap) -> Result<RequestAttributes, InvalidHeader>,
    /// Whether an answer says that the request did not run.
    pub did_not_run: fn(StatusCode, &HeaderMap) -> bool,
    /// Whether an answer says that the address has another server.
    pub is_other_server: fn(StatusCode) -> bool,
    /// Whether an answer says that a result which the request needs is gone.
    pub is_input_gone: fn(StatusCode) -> bool,
    /// The load that an answer tells.
    pub reported_load: fn(&HeaderMap) -> Option<ServerLoad>,
    /// The limit that an answer names.
    pub reported_limit: fn(&HeaderMap) -> Option<Result<ServerLimit, InvalidServerLimit>>,
    /// A call for a batch of pieces.
    pub batch_request: fn(&Batch) -> Request<Full<Bytes>>,
    /// Reads the answer to such a call.
    pub parse_batch_answer: fn(StatusCode, &HeaderMap, &[u8]) -> BatchEnd,
    /// When to come back, as callers read it.
    pub retry_after: fn(Duration) -> HeaderValue,
    /// A call that frees results.
    pub free_request: fn(&[ResultHandle]) -> Request<Full<Bytes>>,
}
