//! Routes from host names and paths to services.

use std::time::Duration;

use super::AllowedRegions;
use crate::id::{CallId, RouteId, ServiceId};
use crate::process::{AllowedZones, rendezvous};

/// Whether the requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    OnceOnly,
    /// Answers with a stream of events.
    Streaming {
        /// Whether a broken stream may be resumed at another server.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
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

/// A stage of work that runs before the request itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteStage {
    /// Service that computes the stage's pieces.
    pub service: ServiceId,
    /// Indexes of the stages whose results it needs.
    pub after: Vec<usize>,
    /// Typical size of one result.
    pub result_bytes: u64,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// Host name that it serves.
    pub host: String,
    /// Prefix of the paths that it serves.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// Maximum time that a caller waits for the answer.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub target_latency: Duration,
    /// Priority, 0 first.
    pub priority: u8,
    /// Services with their shares of the requests.
    pub services: Vec<(ServiceId, u32)>,
    /// Maximum number of servers that one request is sent to.
    pub max_attempts: u32,
    /// Stages that run before the request itself.
    pub stages: Vec<RouteStage>,
    /// Whether no key is needed.
    pub is_public: bool,
    /// Longest pause between two events of an answer that is on time, if one is set.
    pub max_event_gap: Option<Duration>,
    /// Regions whose servers it may use.
    pub allowed_regions: AllowedRegions,
    /// Zones in these regions, once the regions of the zones are known.
    pub allowed_zones: AllowedZones,
}

impl Route {
    /// Chooses the service for a call; the same call always gets the same one.
    #[must_use]
    pub fn service_for(&self, call: &CallId) -> Option<&ServiceId> {
        let score = rendezvous::score(0, call);
        let total: u64 = self
            .services
            .iter()
            .map(|(_, share)| u64::from(*share))
            .sum();
        if total == 0 {
            return self.services.first().map(|(service, _)| service);
        }
        let mut remaining = score % total;
        for (service, share) in &self.services {
            if remaining < u64::from(*share) {
                return Some(service);
            }
            remaining -= u64::from(*share);
        }
        None
    }
}
