//! Answers to callers, and the bodies that carry them.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, HeaderName};
use hyper::{HeaderMap, Response, StatusCode};
use quick_error::quick_error;

quick_error! {
    /// An answer that ended early; the connection ends with it, so that it cannot look whole.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BrokenOff {
        /// The server broke off, or the time was over.
        Early(reason: &'static str) {
            display("the answer was broken off: {reason}")
        }
    }
}

/// Body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, BrokenOff>;

/// Headers that concern one connection only.
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

/// A body that is known whole.
pub(super) fn whole(content: impl Into<Bytes>) -> AnswerBody {
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// The response that passes a server's answer on.
pub(super) fn passed_on(
    status: StatusCode,
    headers: &HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    copy_headers(headers, response.headers_mut(), |_name| true);
    response
}

/// Copies what does not concern one connection only.
pub(super) fn copy_headers(
    from: &HeaderMap,
    to: &mut HeaderMap,
    is_wanted: impl Fn(&HeaderName) -> bool,
) {
    let listed: Vec<String> = from
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for (name, value) in from {
        let is_hop = CONNECTION_HEADERS.contains(&name.as_str());
        if !is_hop && !listed.iter().any(|listed| listed == name.as_str()) && is_wanted(name) {
            to.append(name, value.clone());
        }
    }
}
