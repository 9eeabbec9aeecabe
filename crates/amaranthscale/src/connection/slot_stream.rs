//! A stream that records on its connection's slot what is read and sent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::connection_slots::ConnectionSlot;

/// A stream and its connection's slot.
#[derive(Debug)]
pub(super) struct SlotStream<S> {
    stream: S,
    slot: Arc<ConnectionSlot>,
}

impl<S> SlotStream<S> {
    pub(super) const fn new(stream: S, slot: Arc<ConnectionSlot>) -> Self {
        Self { stream, slot }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for SlotStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(task, buffer))?;
        if buffer.filled().len() > before {
            self.slot.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for SlotStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        content: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(task, content)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        contents: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(task, contents)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The server flushes once it has no more bytes to write.
    fn poll_flush(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(task))?;
        self.slot.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(task)
    }
}
