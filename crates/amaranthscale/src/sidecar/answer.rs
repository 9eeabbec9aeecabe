//! The answer to one attempt, buffered so that several readers can follow it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::Waker;

use amaranthscale_core::id::AttemptId;
use amaranthscale_core::wire::{Chunk, Frame, Outcome};
use bytes::Bytes;

use crate::connection::encode_frame;

/// Identifies a reader of one answer.
pub(super) type ReaderId = u64;

/// A growing answer that any number of readers follow.
///
/// The backend server's result is appended once; a reader on a new connection starts at the first
/// chunk that it has not received.
#[derive(Debug)]
pub(super) struct Answer {
    attempt: AttemptId,
    max_bytes: usize,
    content: Mutex<Content>,
}

#[derive(Debug, Default)]
struct Content {
    /// Encoded frames, shared with the readers.
    chunks: Vec<Bytes>,
    result_bytes: usize,
    outcome: Option<Outcome>,
    is_evicted: bool,
    last_reader_id: ReaderId,
    wakers: Vec<(ReaderId, Waker)>,
}

/// Content of an answer at a reader's position.
#[derive(Debug)]
pub(super) enum AnswerPart {
    /// An encoded chunk.
    Chunk(Bytes),
    /// The end, after this number of chunks.
    End(u64, Box<Outcome>),
    /// The answer was evicted before this reader had read it.
    Evicted,
}

/// Error of an answer that exceeds its size limit.
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

    /// Maximum size of the result.
    pub(super) const fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Appends a chunk of the result.
    pub(super) fn push(&self, data: &Bytes) -> Result<(), AnswerTooLarge> {
        let mut content = self.lock();
        if content.result_bytes + data.len() > self.max_bytes {
            return Err(AnswerTooLarge);
        }
        let sequence = u64::try_from(content.chunks.len()).unwrap_or(u64::MAX);
        let frame = encode_frame(&Frame::Chunk(Chunk {
            attempt: self.attempt,
            sequence,
            data: data.to_vec(),
        }));
        content.result_bytes += data.len();
        content.chunks.push(frame);
        wake(content);
        Ok(())
    }

    /// Ends the answer; a second call has no effect.
    pub(super) fn end(&self, outcome: Outcome) {
        let mut content = self.lock();
        if content.outcome.is_none() {
            content.outcome = Some(outcome);
        }
        wake(content);
    }

    /// Discards the result, even while it is being read.
    ///
    /// The reader of a dead connection is not dropped as long as the connection seems open, and
    /// would otherwise hold the whole result in memory.
    pub(super) fn evict(&self) {
        let mut content = self.lock();
        content.chunks = Vec::new();
        content.result_bytes = 0;
        content.is_evicted = true;
        wake(content);
    }

    /// Size of the result so far.
    pub(super) fn result_bytes(&self) -> usize {
        self.lock().result_bytes
    }

    pub(super) fn add_reader(&self) -> ReaderId {
        let mut content = self.lock();
        content.last_reader_id += 1;
        content.last_reader_id
    }

    pub(super) fn remove_reader(&self, reader: ReaderId) {
        self.lock().wakers.retain(|(id, _)| *id != reader);
    }

    /// The content at a position; `None` registers the waker, which is called when there is more.
    pub(super) fn poll_part(
        &self,
        at: usize,
        reader: ReaderId,
        waker: &Waker,
    ) -> Option<AnswerPart> {
        let mut content = self.lock();
        if content.is_evicted {
            return Some(AnswerPart::Evicted);
        }
        if let Some(chunk) = content.chunks.get(at) {
            return Some(AnswerPart::Chunk(chunk.clone()));
        }
        if let Some(outcome) = &content.outcome {
            let chunks = u64::try_from(content.chunks.len()).unwrap_or(u64::MAX);
            return Some(AnswerPart::End(chunks, Box::new(outcome.clone())));
        }
        content.wakers.retain(|(id, _)| *id != reader);
        content.wakers.push((reader, waker.clone()));
        None
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wakes the readers after releasing the lock, because a woken reader acquires it at once.
fn wake(mut content: MutexGuard<'_, Content>) {
    let wakers = std::mem::take(&mut content.wakers);
    drop(content);
    for (_reader, waker) in wakers {
        waker.wake();
    }
}
