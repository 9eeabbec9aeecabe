//! Body of an answer: complete, or streamed in chunks.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::http::ConnectionClosed;

/// A chunk, or the reason to cut the answer off.
pub(crate) type Chunk = Result<Bytes, ConnectionClosed>;

/// Delay before an answer is cut off: without it the server would also drop what was already sent.
const FLUSH_DELAY: Duration = Duration::from_millis(1);

/// Cuts an answer off, so that its reader receives what was sent and detects that it is incomplete.
pub(crate) async fn cut_off(chunks: &mpsc::Sender<Chunk>) {
    // When the whole capacity is free, the server has received all chunks sent before.
    let permits = chunks.reserve_many(chunks.max_capacity()).await;
    drop(permits);
    tokio::time::sleep(FLUSH_DELAY).await;
    if chunks.send(Err(ConnectionClosed::ByFault)).await.is_err() {
        log::debug!("server: reader gone before the break");
    }
}

/// Body of an answer.
#[derive(Debug)]
pub(crate) enum ReplyBody {
    /// A complete body.
    Whole(Full<Bytes>),
    /// Chunks in order; an error cuts the answer off, so that its reader detects that it is
    /// incomplete.
    Chunks(mpsc::Receiver<Chunk>),
}

impl ReplyBody {
    /// A complete body.
    pub(crate) fn whole(body: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(body.into()))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = ConnectionClosed;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionClosed>>> {
        match self.get_mut() {
            Self::Whole(full) => {
                let frame = Pin::new(full).poll_frame(context);
                frame.map_err(|never| match never {})
            }
            Self::Chunks(chunks) => {
                let chunk = chunks.poll_recv(context);
                chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(full) => full.is_end_stream(),
            Self::Chunks(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(full) => full.size_hint(),
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}
