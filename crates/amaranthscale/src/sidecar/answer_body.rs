//! A response body that follows an answer to its end.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::wire::{End, Frame, Outcome};
use bytes::Bytes;
use hyper::body;
use tokio::time::Sleep;

use super::answer::{Answer, AnswerPart, ReaderId};
use super::shared_state::SharedState;
use crate::connection::encode_frame;

/// A response body that follows an answer to its end.
///
/// Dropping it, for instance when the connection is lost, does not affect the attempt: the entry
/// fetches the rest on a new connection.
#[derive(Debug)]
pub(super) struct AnswerBody {
    answer: Arc<Answer>,
    shared: Arc<SharedState>,
    reader: ReaderId,
    next_chunk: usize,
    timeout: Option<Pin<Box<Sleep>>>,
    is_done: bool,
}

impl AnswerBody {
    /// Follows an answer, starting at a chunk.
    pub(super) fn new(answer: Arc<Answer>, shared: Arc<SharedState>, from_chunk: u64) -> Self {
        let reader = answer.add_reader();
        Self {
            answer,
            shared,
            reader,
            next_chunk: usize::try_from(from_chunk).unwrap_or(usize::MAX),
            timeout: None,
            is_done: false,
        }
    }

    /// Sets a timeout after which the body ends with [`ResultCode::StillRunning`].
    pub(super) fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = Some(Box::pin(tokio::time::sleep(timeout)));
        self
    }

    fn end(&mut self, chunks: u64, outcome: Outcome) -> Bytes {
        self.is_done = true;
        encode_frame(&Frame::End(End {
            attempt: self.answer.attempt(),
            chunks,
            outcome,
            stamp: self.shared.stamp(),
        }))
    }

    fn poll_bytes(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.is_done {
            return Poll::Ready(None);
        }
        match self
            .answer
            .poll_part(self.next_chunk, self.reader, context.waker())
        {
            Some(AnswerPart::Chunk(frame)) => {
                self.next_chunk += 1;
                return Poll::Ready(Some(frame));
            }
            Some(AnswerPart::End(chunks, outcome)) => {
                return Poll::Ready(Some(self.end(chunks, *outcome)));
            }
            Some(AnswerPart::Evicted) => {
                self.is_done = true;
                return Poll::Ready(None);
            }
            None => {}
        }
        let Some(timeout) = &mut self.timeout else {
            return Poll::Pending;
        };
        if timeout.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        let chunks = u64::try_from(self.next_chunk).unwrap_or(u64::MAX);
        let outcome = Outcome::without_result(ResultCode::StillRunning);
        Poll::Ready(Some(self.end(chunks, outcome)))
    }
}

impl body::Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, Infallible>>> {
        let bytes = self.poll_bytes(context);
        bytes.map(|bytes| bytes.map(|bytes| Ok(body::Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_done
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.answer.remove_reader(self.reader);
    }
}
