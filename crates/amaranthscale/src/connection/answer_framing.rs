//! How an HTTP/1 answer states where its body ends.

use std::fmt;

use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// How an HTTP/1 answer states where its body ends.
///
/// # Examples
///
/// ```
/// use amaranthscale::connection::AnswerFraming;
/// use hyper::HeaderMap;
///
/// let headers = HeaderMap::new();
/// assert_eq!(AnswerFraming::of(&headers), AnswerFraming::CloseDelimited);
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
    /// The framing that the headers of an answer with a body state.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        if let Some(coding) = headers.get_all(TRANSFER_ENCODING).iter().next_back() {
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
