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
    let connection_options = connection_options(from);
    for (name, value) in from {
        let is_hop_by_hop = CONNECTION_HEADERS.contains(&name.as_str());
        if !is_hop_by_hop
            && connection_options.binary_search(&name.as_str()).is_err()
            && is_forwarded(name)
        {
            to.append(name, value.clone());
        }
    }
}

/// Names of a message's headers that its `Connection` headers list, in order.
///
/// Both may be thousands, so that comparing each with each would take the event loop.
fn connection_options(headers: &HeaderMap) -> Vec<&str> {
    if !headers.contains_key(CONNECTION) {
        return Vec::new();
    }
    let mut names: Vec<&str> = headers.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    let longest = names.iter().map(|name| name.len()).max().unwrap_or(0);
    let mut has_length = vec![false; longest + 1];
    for name in &names {
        has_length[name.len()] = true;
    }
    let mut is_listed = vec![false; names.len()];
    let values = headers.get_all(CONNECTION).iter();
    let lists = values.filter_map(|value| value.to_str().ok());
    for option in lists.flat_map(|list| list.split(',')) {
        let option = option.trim();
        if has_length.get(option.len()) == Some(&true)
            && let Ok(index) = names.binary_search(&option.to_ascii_lowercase().as_str())
        {
            is_listed[index] = true;
        }
    }
    let listed = names.into_iter().zip(is_listed);
    let listed = listed.filter_map(|(name, is_listed)| is_listed.then_some(name));
    listed.collect()
}
