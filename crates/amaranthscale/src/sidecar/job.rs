//! One attempt at a sidecar.

use std::sync::Arc;

use amaranthscale_core::unit::SidecarClock;
use amaranthscale_core::wire::Dispatch;
use bytes::Bytes;
use tokio::sync::Notify;

use super::answer::Answer;

/// One attempt at a sidecar.
#[derive(Debug)]
pub(super) struct Job {
    /// The attempt, without its input.
    pub(super) dispatch: Dispatch,
    /// Body for the backend server.
    pub(super) input: Bytes,
    /// Clock reading at which the attempt arrived.
    pub(super) arrival: SidecarClock,
    /// Clock reading at which its budget is exhausted.
    pub(super) deadline: SidecarClock,
    /// Its answer.
    pub(super) answer: Arc<Answer>,
    /// Notified when a revocation cancels the attempt.
    pub(super) cancel: Notify,
}

impl Job {
    pub(super) fn new(mut dispatch: Dispatch, arrival: SidecarClock, max_bytes: usize) -> Self {
        let input = Bytes::from(std::mem::take(&mut dispatch.input));
        Self {
            input,
            arrival,
            deadline: arrival.plus(dispatch.budget.duration()),
            answer: Arc::new(Answer::new(dispatch.attempt, max_bytes)),
            cancel: Notify::new(),
            dispatch,
        }
    }

    /// Whether the call may be cancelled or repeated.
    pub(super) const fn is_repeatable(&self) -> bool {
        self.dispatch.claim.is_none()
    }
}
