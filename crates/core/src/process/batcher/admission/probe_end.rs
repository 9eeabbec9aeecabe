use std::time::Duration;

use crate::id::{CallId, ServiceId};

/// When the binding service of a refused job would have started it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeEnd {
    /// The refused call.
    pub call: CallId,
    /// The service for which the job would have waited the longest.
    pub service: ServiceId,
    /// Time from the refusal until the service would have started the job's stage.
    pub waited: Duration,
    /// Time within which it had to start.
    pub limit: Duration,
    /// Whether it would have started at all before the job's target was missed; otherwise `waited`
    /// is a lower bound.
    pub has_started: bool,
}

impl ProbeEnd {
    /// Whether the job was refused although it would have been in time.
    #[must_use]
    pub fn is_false_refusal(&self) -> bool {
        self.has_started && self.waited <= self.limit
    }
}
