//! The body of an HTTP/1 answer, read together with how its end was stated.
//!
//! The HTTP library reports the end of a body that has neither a length nor chunks when its
//! connection ends orderly. A process that crashes closes its connections orderly too, so a reader
//! that takes no more bytes for the whole content would accept a truncated answer. The end is
//! therefore a value of its own, which each reader has to look at.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response;

use super::AnswerFraming;

/// Time within which a process that exits has closed all its sockets, in whatever order.
pub(crate) const EXIT_TIME: Duration = Duration::from_millis(5);

/// How the end of a body was stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// By its length or its last chunk: the body is complete.
    Stated,
    /// By an orderly end of its connection: the body is complete unless its server crashed.
    ConnectionClosed,
}

/// A part of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPart {
    /// Some of its content.
    Data(Bytes),
    /// Its end.
    End(BodyEnd),
}

/// The body of an answer whose head was received.
#[derive(Debug)]
pub struct FramedBody {
    body: Incoming,
    framing: AnswerFraming,
}

impl FramedBody {
    /// Splits an answer into its head and its body.
    #[must_use]
    pub fn split(answer: Response<Incoming>) -> (response::Parts, Self) {
        let (head, body) = answer.into_parts();
        let framing = AnswerFraming::of(&head);
        (head, Self { body, framing })
    }

    /// How the end of the body is stated.
    #[must_use]
    pub const fn framing(&self) -> AnswerFraming {
        self.framing
    }

    /// The next part. An error if the body was truncated before its stated end, or its connection
    /// was reset.
    pub async fn next(&mut self) -> Result<BodyPart, hyper::Error> {
        while let Some(frame) = self.body.frame().await {
            // Trailers hold no content.
            if let Ok(data) = frame?.into_data() {
                return Ok(BodyPart::Data(data));
            }
        }
        Ok(BodyPart::End(self.framing.end()))
    }

    /// The body for a reader that looks at its end afterwards. One of a document that shows a
    /// truncation by itself, as JSON does, may ignore the end.
    pub fn into_parts(self) -> (Incoming, BodyEnd) {
        (self.body, self.framing.end())
    }
}
