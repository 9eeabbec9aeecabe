//! Limits of a sidecar's queue.

/// Limits on the attempts that are queued and run at one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FairQueueLimits {
    /// Attempts that the backend server runs at once.
    pub slots: u32,
    /// Attempts that may be queued.
    pub capacity: usize,
    /// Slots that trial work may not take.
    pub paid_reserve_slots: u32,
}
