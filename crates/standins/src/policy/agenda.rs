//! The virtual clock and what is to happen on it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::event::Event;

/// Events in order of their time, then of their planning.
#[derive(Debug, Default)]
pub(super) struct Agenda {
    now: Duration,
    planned: u64,
    events: BTreeMap<(Duration, u64), Event>,
}

impl Agenda {
    /// Present time.
    pub(super) const fn now(&self) -> Duration {
        self.now
    }

    /// Plans an event at a time.
    pub(super) fn at(&mut self, time: Duration, event: Event) {
        self.events
            .insert((time.max(self.now), self.planned), event);
        self.planned += 1;
    }

    /// Plans an event some time from now.
    pub(super) fn after(&mut self, wait: Duration, event: Event) {
        self.at(self.now + wait, event);
    }

    /// Moves the clock to the next event and takes it.
    pub(super) fn next(&mut self) -> Option<Event> {
        let ((time, _), event) = self.events.pop_first()?;
        self.now = time;
        Some(event)
    }
}
