//! Header names and message formats of a platform's callers and backend servers, without decisions.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::{CallId, ResultHandle};
use amaranthscale_core::process::{Batch, BatchEnd, CopyHandle, MoveAnswer, ServerStatement};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use quick_error::quick_error;

quick_error! {
    /// A request header that is missing or malformed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidHeader {
        /// A required header is missing.
        Missing(header: HeaderName) {
            display("header {header} is missing: send it with every request")
        }
        /// A header's value cannot be parsed.
        Malformed(header: HeaderName, value: String) {
            display("header {header} has the value {value:?}, which cannot be read")
        }
    }
}

/// Names of the headers that a gateway reads or sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The caller's id of a call.
    pub call: HeaderName,
    /// Remaining milliseconds until the deadline.
    pub deadline_ms: HeaderName,
    /// The caller's API key.
    pub key: HeaderName,
    /// The organisation, forwarded to the server.
    pub organisation: HeaderName,
    /// The server incarnation that the request is meant for.
    pub target: HeaderName,
    /// The server's stamp on an answer.
    pub stamp: HeaderName,
    /// Handles of the stage results that an engine reads.
    pub inputs: HeaderName,
    /// Id of the last event that the caller has received.
    pub last_event: HeaderName,
    /// Address of the engine from which shared prompt parts are fetched.
    pub prompt_source: HeaderName,
    /// Address of the engine to which the run is copied.
    pub backup_target: HeaderName,
    /// Copy from which an engine resumes the run.
    pub run_source: HeaderName,
    /// Urgency class of the request, from 0, the most urgent, to 9.
    pub urgency_class: HeaderName,
    /// Headers forwarded even where the caller lists them as hop-by-hop.
    pub always_forwarded: Vec<HeaderName>,
    /// Headers of callers that are never forwarded.
    pub reserved: Vec<HeaderName>,
}

/// A part of a prompt, which other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: String,
    /// Tokens of the part.
    pub tokens: u64,
}

/// A stream that a caller takes up after it has received some of its events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamResumption {
    /// The call that brought its first event, if the caller names it.
    pub first_call: Option<CallId>,
}

/// What a caller's headers state about its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestAttributes {
    /// The caller's id of this call.
    pub call: CallId,
    /// Time for which the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// Number of pieces of each stage.
    pub pieces: Vec<usize>,
    /// Key that stage servers read the pieces' input by.
    pub piece_key: String,
    /// Value of the answer relative to others, in tokens of work; 0 if not known.
    pub value_tokens: u64,
    /// Tokens of the prompt; 0 if not known.
    pub prompt_tokens: u64,
    /// Tokens that the answer may have at most; 0 if not known.
    pub max_output_tokens: u64,
    /// Parts of the prompt in order; the last one belongs to the request or its session.
    pub prompt_parts: Vec<PromptPart>,
    /// Id of the last prefix of the prompt that other requests share.
    pub shared_prefix: Option<String>,
    /// Set if the caller takes up a stream.
    pub resumption: Option<StreamResumption>,
}

impl RequestAttributes {
    /// Parts of the prompt before the request's own one; `None` if no parts are known.
    #[must_use]
    pub fn shared_parts(&self) -> Option<&[PromptPart]> {
        let (_own, shared) = self.prompt_parts.split_last()?;
        Some(shared)
    }

    /// Tokens of the prompt parts that other requests share; 0 if not known.
    #[must_use]
    pub fn shared_tokens(&self) -> u64 {
        let shared = match self.prompt_parts.as_slice() {
            [only] => std::slice::from_ref(only),
            [shared @ .., _own] => shared,
            [] => &[],
        };
        let tokens = shared.iter().map(|part| part.tokens);
        tokens.fold(0, u64::saturating_add)
    }
}

/// Headers and message formats of one platform's callers and servers.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Header names.
    pub headers: HeaderNames,
    /// Parses a caller's headers.
    pub parse_request_attributes: fn(&HeaderMap) -> Result<RequestAttributes, InvalidHeader>,
    /// Names the copy of a run at an engine.
    pub run_source: fn(SocketAddr, &CallId) -> String,
    /// Names the copy of a run that an engine made to move it.
    pub moved_run_source: fn(SocketAddr, &CopyHandle) -> String,
    /// Builds the request that copies a run to an engine, and stops it if this is the last copy.
    pub move_request: fn(&CallId, SocketAddr, bool) -> Request<Full<Bytes>>,
    /// Parses the answer to it.
    pub parse_move_answer: fn(StatusCode, &[u8]) -> MoveAnswer,
    /// Builds the request that frees a copy.
    pub free_copy_request: fn(&CopyHandle) -> Request<Full<Bytes>>,
    /// Whether an answer states that the request did not run.
    pub did_not_run: fn(StatusCode, &HeaderMap) -> bool,
    /// Whether a status tells callers that the request did not run and never will.
    pub promises_not_run: fn(StatusCode) -> bool,
    /// Whether an answer states that another server is at the address.
    pub is_other_server: fn(StatusCode) -> bool,
    /// Whether an answer states that a stage result which the request needs is missing.
    pub is_input_gone: fn(StatusCode) -> bool,
    /// What a server states about itself with an answer.
    pub server_statement: fn(StatusCode, &HeaderMap) -> ServerStatement,
    /// Builds the request for a batch of pieces.
    pub batch_request: fn(&Batch) -> Request<Full<Bytes>>,
    /// Parses the answer to it.
    pub parse_batch_answer: fn(StatusCode, &HeaderMap, &[u8]) -> BatchEnd,
    /// Value of the `Retry-After` header.
    pub retry_after: fn(Duration) -> HeaderValue,
    /// Builds the request that frees results.
    pub free_request: fn(&[ResultHandle]) -> Request<Full<Bytes>>,
}
