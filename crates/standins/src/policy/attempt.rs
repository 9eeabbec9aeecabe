//! One attempt of a run.

use std::time::Duration;

use amaranthscale_core::id::{AttemptId, HostId};

/// State of an attempt, at the entry and at the sidecar.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Id used by the core's decisions.
    pub(super) id: AttemptId,
    /// Request of the attempt.
    pub(super) request: usize,
    /// Number of the request's try.
    pub(super) try_number: u32,
    /// Server of the attempt.
    pub(super) server: usize,
    /// Host of that server.
    pub(super) host: HostId,
    /// When the entry sent it.
    pub(super) sent_at: Duration,
    /// Time after which it must not start.
    pub(super) expiry: Duration,
    /// Whether the entry no longer waits for it.
    pub(super) is_ended: bool,
    /// When it reached the sidecar.
    pub(super) queued_at: Duration,
    /// When it started at the backend server.
    pub(super) started_at: Option<Duration>,
    /// When it ended at the backend server.
    pub(super) stopped_at: Option<Duration>,
    /// Whether its result was used for the request.
    pub(super) is_used: bool,
}

impl Attempt {
    /// Whether the backend server ran it, at least in part.
    pub(super) const fn ran(&self) -> bool {
        self.started_at.is_some()
    }

    /// Whether it occupies a slot.
    pub(super) const fn is_running(&self) -> bool {
        self.started_at.is_some() && self.stopped_at.is_none()
    }
}
