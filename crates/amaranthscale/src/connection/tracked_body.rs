//! A response body that keeps its request open until it is sent or dropped.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

use super::connection_slots::OpenAnswer;

/// A body and the request that it answers.
#[derive(Debug)]
pub(super) struct TrackedBody<B> {
    body: B,
    _open: OpenAnswer,
}

impl<B> TrackedBody<B> {
    pub(super) const fn new(body: B, open: OpenAnswer) -> Self {
        Self { body, _open: open }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(task)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
