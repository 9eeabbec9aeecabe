//! Answers to callers and their bodies.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, HeaderName};
use hyper::{HeaderMap, Response, StatusCode};
use quick_error::quick_error;

quick_error! {
    /// Error of an answer that ended early; it ends the connection, so that the answer cannot
    /// appear complete.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TruncatedAnswer {
        /// The server ended its answer early, or the deadline passed.
        Early(reason: &'static str) {
            display("the answer was truncated: {reason}")
        }
    }
}

/// Body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, TruncatedAnswer>;

/// Headers that apply to one connection only.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// A body whose content is complete.
pub(super) fn full_body(content: impl Into<Bytes>) -> AnswerBody {
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// The response that forwards a server's answer.
pub(super) fn forwarded_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    copy_headers(headers, response.headers_mut(), |_name| true);
    response
}

/// Copies the headers that do not apply to one connection only.
pub(super) fn copy_headers(
    from: &HeaderMap,
    to: &mut HeaderMap,
    is_forwarded: impl Fn(&HeaderName) -> bool,
) {
    let connection_options: Vec<String> = from
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for (name, value) in from {
        let is_hop_by_hop = CONNECTION_HEADERS.contains(&name.as_str());
        if !is_hop_by_hop
            && !connection_options
                .iter()
                .any(|connection_options| connection_options == name.as_str())
            && is_forwarded(name)
        {
            to.append(name, value.clone());
        }
    }
}
