//! Log of cache events, published with a delay and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::engine::{CacheEvent, CacheEventKind};

/// Maximum number of retained events; for a reader that is behind, older ones are a gap.
const MAX_EVENTS: usize = 4096;

/// Log of cache events, published with a delay and with gaps.
#[derive(Debug)]
pub(crate) struct CacheEventLog {
    lag: Duration,
    gap_every: u64,
    last_number: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl CacheEventLog {
    /// Publishes events after `lag`, except each `gap_every`th one; 0 publishes all.
    pub(crate) fn new(lag: Duration, gap_every: u64) -> Self {
        Self {
            lag,
            gap_every,
            last_number: 0,
            events: VecDeque::new(),
        }
    }

    /// Records an event.
    pub(crate) fn record(&mut self, now: Instant, kind: CacheEventKind, prefix: &str) {
        self.last_number += 1;
        if self.gap_every > 0 && self.last_number.is_multiple_of(self.gap_every) {
            return;
        }
        let event = CacheEvent {
            number: self.last_number,
            kind,
            prefix: prefix.to_owned(),
        };
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Published events with numbers above `after`.
    pub(crate) fn after(&self, now: Instant, after: u64) -> Vec<CacheEvent> {
        let is_public = |recorded: &Instant| now.saturating_duration_since(*recorded) >= self.lag;
        let public = self
            .events
            .iter()
            .filter(|(recorded, _)| is_public(recorded));
        let events = public.map(|(_, event)| event);
        let newer = events.filter(|event| event.number > after);
        newer.cloned().collect()
    }
}
