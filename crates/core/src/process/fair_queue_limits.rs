//! Sizes of a sidecar's queue.

/// Attempts that one backend server may hold, queued and running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FairQueueLimits {
    /// Attempts that the backend server takes at once.
    pub slots: u32,
    /// Attempts that may wait.
    pub capacity: usize,
    /// Slots that trial work may not take.
    pub paid_reserve_slots: u32,
}
