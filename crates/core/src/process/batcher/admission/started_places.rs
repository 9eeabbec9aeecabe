use std::time::Duration;

/// Places for pieces in the calls that a service starts now, or could start.
#[derive(Debug)]
pub(in crate::process::batcher) struct StartedPlaces {
    /// Places in the calls that start now and in calls to the servers that are still free.
    pub(in crate::process::batcher) places: usize,
    /// Scheduled starts of the pieces that start now, in ascending order; late ones have none and
    /// go last.
    pub(in crate::process::batcher) started: Vec<Duration>,
    /// Scheduled start of the first on-time piece that waits on.
    pub(in crate::process::batcher) first_waiting: Option<Duration>,
    /// Free result storage of the servers that get these calls.
    pub(in crate::process::batcher) free_bytes: u64,
}

impl StartedPlaces {
    /// Places that a piece with a scheduled start would find: those of pieces behind it, and the
    /// unused ones unless a piece before it waits for them.
    pub(super) fn left_for(&self, scheduled_start: Duration) -> usize {
        let is_before = |start: &Duration| *start <= scheduled_start;
        let before = self.started.partition_point(is_before);
        if self.first_waiting.as_ref().is_some_and(is_before) {
            self.started.len() - before
        } else {
            self.places.saturating_sub(before)
        }
    }
}
