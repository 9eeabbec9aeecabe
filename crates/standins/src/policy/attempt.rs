//! One attempt of a run.

use std::time::Duration;

use amaranthscale_core::id::{AttemptId, HostId};

/// What is known of an attempt, at the entry and at the sidecar.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Identifier in the core's decisions.
    pub(super) id: AttemptId,
    /// Request that it works for.
    pub(super) request: usize,
    /// Which ask of the request.
    pub(super) ask: u32,
    /// Server that it was sent to.
    pub(super) server: usize,
    /// Host of that server.
    pub(super) host: HostId,
    /// When the entry sent it.
    pub(super) sent_at: Duration,
    /// Point after which it may not start.
    pub(super) expiry: Duration,
    /// Whether the entry waits for it no more.
    pub(super) is_ended: bool,
    /// When it reached the sidecar.
    pub(super) queued_at: Duration,
    /// When it started at the backend server.
    pub(super) started_at: Option<Duration>,
    /// When it ended there.
    pub(super) stopped_at: Option<Duration>,
    /// Whether its result was passed on.
    pub(super) is_used: bool,
}

impl Attempt {
    /// Whether the backend server ran it, be it in part.
    pub(super) const fn ran(&self) -> bool {
        self.started_at.is_some()
    }

    /// Whether it holds a slot.
    pub(super) const fn is_running(&self) -> bool {
        self.started_at.is_some() && self.stopped_at.is_none()
    }
}
