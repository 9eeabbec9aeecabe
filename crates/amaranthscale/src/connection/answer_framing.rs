//! How an HTTP/1 answer states where its body ends.

use std::fmt;

use hyper::StatusCode;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response;

use super::BodyEnd;

/// How an HTTP/1 answer states where its body ends.
///
/// # Examples
///
/// ```
/// use amaranthscale::connection::AnswerFraming;
/// use hyper::Response;
///
/// let (head, ()) = Response::new(()).into_parts();
/// assert_eq!(AnswerFraming::of(&head), AnswerFraming::CloseDelimited);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFraming {
    /// By its number of bytes.
    Length,
    /// By a last chunk.
    Chunked,
    /// Not at all: the body ends with the connection, so an early end looks like a regular one.
    CloseDelimited,
}

impl AnswerFraming {
    /// The framing that the head of an answer states.
    #[must_use]
    pub fn of(head: &response::Parts) -> Self {
        let headers = &head.headers;
        if matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        ) {
            // Such an answer has no body.
            Self::Length
        } else if let Some(coding) = headers.get_all(TRANSFER_ENCODING).iter().next_back() {
            let codings = coding.to_str().unwrap_or_default();
            let last = codings.rsplit(',').next().unwrap_or_default();
            if last.trim().eq_ignore_ascii_case("chunked") {
                Self::Chunked
            } else {
                Self::CloseDelimited
            }
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::CloseDelimited
        }
    }

    /// What the end of a body with this framing states.
    #[must_use]
    pub const fn end(self) -> BodyEnd {
        match self {
            Self::Length | Self::Chunked => BodyEnd::Stated,
            Self::CloseDelimited => BodyEnd::ConnectionClosed,
        }
    }

    /// Name in log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::CloseDelimited => "close-delimited",
        }
    }
}

impl fmt::Display for AnswerFraming {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
