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

use super::answer::{Answer, Piece, ReaderNumber};
use super::board::Board;
use crate::connection::encode_frame;

/// A response body that follows an answer to its end.
///
/// Dropping it, as when the connection breaks, leaves the attempt alone: the entry fetches the
/// rest on a new connection.
#[derive(Debug)]
pub(super) struct AnswerBody {
    answer: Arc<Answer>,
    board: Arc<Board>,
    reader: ReaderNumber,
    next: usize,
    patience: Option<Pin<Box<Sleep>>>,
    is_done: bool,
}

impl AnswerBody {
    /// Follows an answer from a chunk on.
    pub(super) fn new(answer: Arc<Answer>, board: Arc<Board>, from_chunk: u64) -> Self {
        let reader = answer.add_reader();
        Self {
            answer,
            board,
            reader,
            next: usize::try_from(from_chunk).unwrap_or(usize::MAX),
            patience: None,
            is_done: false,
        }
    }

    /// Ends with [`ResultCode::StillRunning`] if the answer takes longer than this.
    pub(super) fn within(mut self, patience: Duration) -> Self {
        self.patience = Some(Box::pin(tokio::time::sleep(patience)));
        self
    }

    fn end(&mut self, chunks: u64, outcome: Outcome) -> Bytes {
        self.is_done = true;
        encode_frame(&Frame::End(End {
            attempt: self.answer.attempt(),
            chunks,
            outcome,
            stamp: self.board.stamp(),
        }))
    }

    fn poll_bytes(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.is_done {
            return Poll::Ready(None);
        }
        match self.answer.piece(self.next, self.reader, context.waker()) {
            Some(Piece::Chunk(frame)) => {
                self.next += 1;
                return Poll::Ready(Some(frame));
            }
            Some(Piece::End(chunks, outcome)) => {
                return Poll::Ready(Some(self.end(chunks, *outcome)));
            }
            Some(Piece::Gone) => {
                self.is_done = true;
                return Poll::Ready(None);
            }
            None => {}
        }
        let Some(patience) = &mut self.patience else {
            return Poll::Pending;
        };
        if patience.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        let chunks = u64::try_from(self.next).unwrap_or(u64::MAX);
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
