//! The answer to one attempt, kept while it grows and until it is no longer needed.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::Waker;

use amaranthscale_core::id::AttemptId;
use amaranthscale_core::wire::{Chunk, Frame, Outcome};
use bytes::Bytes;

use crate::connection::encode_frame;

/// Numbers the readers of one answer.
pub(super) type ReaderNumber = u64;

/// A growing answer that any number of readers follow.
///
/// The backend server's result goes in once; a reader on a new connection starts at the chunk
/// that it misses.
#[derive(Debug)]
pub(super) struct Answer {
    attempt: AttemptId,
    max_bytes: usize,
    content: Mutex<Content>,
}

#[derive(Debug, Default)]
struct Content {
    /// Encoded frames, each shared with the readers that send it.
    chunks: Vec<Bytes>,
    kept_bytes: usize,
    outcome: Option<Outcome>,
    is_forgotten: bool,
    readers: ReaderNumber,
    waiting: Vec<(ReaderNumber, Waker)>,
}

/// What a reader finds at its position.
#[derive(Debug)]
pub(super) enum Piece {
    /// An encoded chunk.
    Chunk(Bytes),
    /// The end, after this many chunks.
    End(u64, Box<Outcome>),
    /// Nothing: the answer was dropped before this reader had read it.
    Gone,
}

/// An answer that has grown beyond its bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AnswerTooLarge;

impl Answer {
    pub(super) fn new(attempt: AttemptId, max_bytes: usize) -> Self {
        Self {
            attempt,
            max_bytes,
            content: Mutex::new(Content::default()),
        }
    }

    pub(super) const fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Appends a piece of the result.
    pub(super) fn push(&self, data: &Bytes) -> Result<(), AnswerTooLarge> {
        let mut content = self.lock();
        if content.kept_bytes + data.len() > self.max_bytes {
            return Err(AnswerTooLarge);
        }
        let sequence = u64::try_from(content.chunks.len()).unwrap_or(u64::MAX);
        let frame = encode_frame(&Frame::Chunk(Chunk {
            attempt: self.attempt,
            sequence,
            data: data.to_vec(),
        }));
        content.kept_bytes += data.len();
        content.chunks.push(frame);
        wake(content);
        Ok(())
    }

    /// Ends the answer; a second end changes nothing.
    pub(super) fn end(&self, outcome: Outcome) {
        let mut content = self.lock();
        if content.outcome.is_none() {
            content.outcome = Some(outcome);
        }
        wake(content);
    }

    /// Drops the result under its readers.
    ///
    /// Guards against an entry's connection that goes silent: its reader is never dropped, and
    /// would keep the whole result in memory for as long as the connection seems open.
    pub(super) fn forget(&self) {
        let mut content = self.lock();
        content.chunks = Vec::new();
        content.kept_bytes = 0;
        content.is_forgotten = true;
        wake(content);
    }

    /// Bytes of the result so far.
    pub(super) fn kept_bytes(&self) -> usize {
        self.lock().kept_bytes
    }

    pub(super) fn add_reader(&self) -> ReaderNumber {
        let mut content = self.lock();
        content.readers += 1;
        content.readers
    }

    pub(super) fn remove_reader(&self, reader: ReaderNumber) {
        self.lock().waiting.retain(|(number, _)| *number != reader);
    }

    /// The piece at a position, or a call of the waker when there is one.
    pub(super) fn piece(&self, at: usize, reader: ReaderNumber, waker: &Waker) -> Option<Piece> {
        let mut content = self.lock();
        if content.is_forgotten {
            return Some(Piece::Gone);
        }
        if let Some(chunk) = content.chunks.get(at) {
            return Some(Piece::Chunk(chunk.clone()));
        }
        if let Some(outcome) = &content.outcome {
            let chunks = u64::try_from(content.chunks.len()).unwrap_or(u64::MAX);
            return Some(Piece::End(chunks, Box::new(outcome.clone())));
        }
        content.waiting.retain(|(number, _)| *number != reader);
        content.waiting.push((reader, waker.clone()));
        None
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wakes outside the lock, since a woken reader takes it at once.
fn wake(mut content: MutexGuard<'_, Content>) {
    let waiting = std::mem::take(&mut content.waiting);
    drop(content);
    for (_reader, waker) in waiting {
        waker.wake();
    }
}
