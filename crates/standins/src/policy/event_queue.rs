//! Event queue with a virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;

use super::event::Event;

/// Scheduled events, ordered by time and then by when they were scheduled.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    now: Duration,
    scheduled: u64,
    events: BTreeMap<(Duration, u64), Event>,
}

impl EventQueue {
    /// Current time.
    pub(super) const fn now(&self) -> Duration {
        self.now
    }

    /// Schedules an event at a time.
    pub(super) fn at(&mut self, time: Duration, event: Event) {
        self.events
            .insert((time.max(self.now), self.scheduled), event);
        self.scheduled += 1;
    }

    /// Schedules an event after a delay.
    pub(super) fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    /// Removes the next event and moves the clock to its time.
    pub(super) fn next(&mut self) -> Option<Event> {
        let ((time, _), event) = self.events.pop_first()?;
        self.now = time;
        Some(event)
    }
}
