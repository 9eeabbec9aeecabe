//! Ends a connection whose peer reads nothing.
//!
//! Without it, a peer that stops reading would make the process hold its answer, and the
//! connection, for as long as the peer keeps the connection open.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use log::info;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// How long a peer may leave an answer unread without reading any part of it.
#[derive(Debug, Clone)]
pub struct StallLimit {
    /// Longest time without progress.
    pub timeout: Duration,
    /// Counts the connections that were ended.
    pub ended: Arc<AtomicU64>,
}

/// A stream that fails once a write has made no progress for the limit's time.
#[derive(Debug)]
pub(super) struct StallGuard<S> {
    stream: S,
    limit: Option<StallLimit>,
    /// Runs while a write waits for the peer.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl<S> StallGuard<S> {
    pub(super) const fn new(stream: S, limit: Option<StallLimit>) -> Self {
        Self {
            stream,
            limit,
            stalled: None,
        }
    }

    /// Passes on the outcome of a write, or an error if it has waited too long.
    fn check<T>(
        &mut self,
        outcome: Poll<io::Result<T>>,
        task: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        let Some(limit) = &self.limit else {
            return outcome;
        };
        if outcome.is_ready() {
            self.stalled = None;
            return outcome;
        }
        let stalled = self
            .stalled
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit.timeout)));
        ready!(stalled.as_mut().poll(task));
        limit.ended.fetch_add(1, Ordering::Relaxed);
        let waited_ms = u64::try_from(limit.timeout.as_millis()).unwrap_or(u64::MAX);
        info!(waited_ms; "server: answer not read, connection ended");
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for StallGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(task, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StallGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        content: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(task, content);
        self.check(outcome, task)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        contents: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(task, contents);
        self.check(outcome, task)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        let outcome = Pin::new(&mut self.stream).poll_flush(task);
        self.check(outcome, task)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(task)
    }
}
