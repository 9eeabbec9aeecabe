//! Routes: what a host name and path lead to.

use std::time::Duration;

use crate::id::{CallId, RouteId, ServiceId};
use crate::process::rendezvous;

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    OnceOnly,
    /// Answers with events; may be taken up again at another server if resumable.
    Streaming {
        /// Whether a broken stream may go on at another server.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run again after it may have run.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::OnceOnly => false,
            Self::Streaming { is_resumable } => is_resumable,
        }
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// A stage of work that is done before a request runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteStage {
    /// Service that makes the stage's pieces.
    pub service: ServiceId,
    /// Stages whose results it needs, by index.
    pub after: Vec<usize>,
    /// Usual size of one result.
    pub result_bytes: u64,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// Host name that it serves.
    pub host: String,
    /// Start of the paths that it serves.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub target_latency: Duration,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services with their shares.
    pub services: Vec<(ServiceId, u32)>,
    /// Most servers that one request is sent to.
    pub max_attempts: u32,
    /// Work before the request itself.
    pub stages: Vec<RouteStage>,
    /// Whether no key is needed.
    pub is_public: bool,
}

impl Route {
    /// The service for a send; the same send always goes to the same one.
    #[must_use]
    pub fn service_for(&self, call: &CallId) -> Option<&ServiceId> {
        let draw = rendezvous::score(0, call);
        let total: u64 = self
            .services
            .iter()
            .map(|(_, share)| u64::from(*share))
            .sum();
        if total == 0 {
            return self.services.first().map(|(service, _)| service);
        }
        let mut left = draw % total;
        for (service, share) in &self.services {
            if left < u64::from(*share) {
                return Some(service);
            }
            left -= u64::from(*share);
        }
        None
    }
}
