//! Expected time of a stage.

/// Expected time of one stage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StageEstimate {
    /// Time in the sidecar's queue.
    pub queue_ms: u64,
    /// Time at the backend server.
    pub service_ms: u64,
}

impl StageEstimate {
    /// Sum of queue and service time.
    #[must_use]
    pub const fn total_ms(self) -> u64 {
        self.queue_ms.saturating_add(self.service_ms)
    }
}
