//! The response body of a stream.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

use super::answer::TruncatedAnswer;

/// Response body with the events of the relay's task.
pub(super) struct StreamBody {
    pub(super) events: mpsc::UnboundedReceiver<Result<Bytes, TruncatedAnswer>>,
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        let events = self.events.poll_recv(context);
        events.map(|event| event.map(|event| event.map(Frame::data)))
    }
}
