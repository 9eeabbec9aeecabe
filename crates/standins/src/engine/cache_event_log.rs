//! Cache events, published late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::engine::{CacheEvent, CacheEventKind};

/// Events kept for late readers; older ones become a gap.
const KEPT_EVENTS: usize = 4096;

/// Cache events, published late and with gaps.
#[derive(Debug)]
pub(crate) struct CacheEventLog {
    lag: Duration,
    gap_every: u64,
    last_number: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl CacheEventLog {
    /// Publishes after `lag`, but never each `gap_every`th event; 0 publishes all.
    pub(crate) fn new(lag: Duration, gap_every: u64) -> Self {
        Self {
            lag,
            gap_every,
            last_number: 0,
            events: VecDeque::new(),
        }
    }

    /// Notes an event.
    pub(crate) fn note(&mut self, now: Instant, kind: CacheEventKind, prefix: &str) {
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
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Published events with numbers above `after`.
    pub(crate) fn after(&self, now: Instant, after: u64) -> Vec<CacheEvent> {
        let is_public = |noted: &Instant| now.saturating_duration_since(*noted) >= self.lag;
        let public = self.events.iter().filter(|(noted, _)| is_public(noted));
        let events = public.map(|(_, event)| event);
        let newer = events.filter(|event| event.number > after);
        newer.cloned().collect()
    }
}
