//! Body of an answer: whole, or in chunks as they come.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::http::ConnectionClosed;

/// A chunk, or the wish to break the answer off.
pub(crate) type Chunk = Result<Bytes, ConnectionClosed>;

/// Time for what was already sent to leave before a break, else the server would drop it too.
const BEFORE_BREAK: Duration = Duration::from_millis(1);

/// Breaks an answer off, so that its reader gets what was sent and sees that it is not whole.
pub(crate) async fn break_off(chunks: &mpsc::Sender<Chunk>) {
    // Once there is room for all, the server has taken all chunks sent before.
    let taken = chunks.reserve_many(chunks.max_capacity()).await;
    drop(taken);
    tokio::time::sleep(BEFORE_BREAK).await;
    if chunks.send(Err(ConnectionClosed::ByFault)).await.is_err() {
        log::debug!("server: reader gone before the break");
    }
}

/// Body of an answer.
#[derive(Debug)]
pub(crate) enum ReplyBody {
    /// Known as a whole.
    Whole(Full<Bytes>),
    /// Chunks in order; an error breaks the answer off, so that its reader sees it is not whole.
    Chunks(mpsc::Receiver<Chunk>),
}

impl ReplyBody {
    /// A body known as a whole.
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
