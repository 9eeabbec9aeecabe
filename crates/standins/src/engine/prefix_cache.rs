//! Prompt prefixes in limited memory.

use std::collections::VecDeque;

use tokio::time::Instant;

use crate::engine::CacheEventKind;
use crate::engine::cache_event_log::CacheEventLog;

/// Prompt prefixes, of which the least recently used gives way.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_bytes: usize,
    used_bytes: usize,
    /// The least recently used first.
    entries: VecDeque<Entry>,
    events: CacheEventLog,
}

#[derive(Debug)]
struct Entry {
    prefix: String,
    size_bytes: usize,
}

impl PrefixCache {
    /// An empty cache.
    pub(crate) fn new(capacity_bytes: usize, events: CacheEventLog) -> Self {
        Self {
            capacity_bytes,
            used_bytes: 0,
            entries: VecDeque::new(),
            events,
        }
    }

    /// Uses a prefix; true if it was cached, else it is now, unless it exceeds the whole memory.
    pub(crate) fn touch(&mut self, now: Instant, prefix: &str, size_bytes: usize) -> bool {
        if let Some(entry) = self.take(prefix) {
            self.entries.push_back(entry);
            return true;
        }
        if size_bytes <= self.capacity_bytes {
            self.make_room(now, size_bytes);
            self.store(now, prefix, size_bytes);
        }
        false
    }

    /// The events of this cache.
    pub(crate) fn events(&self) -> &CacheEventLog {
        &self.events
    }

    fn take(&mut self, prefix: &str) -> Option<Entry> {
        let is_wanted = |entry: &Entry| entry.prefix == prefix;
        let position = self.entries.iter().position(is_wanted)?;
        self.entries.remove(position)
    }

    fn make_room(&mut self, now: Instant, size_bytes: usize) {
        while self.used_bytes + size_bytes > self.capacity_bytes
            && let Some(evicted) = self.entries.pop_front()
        {
            self.used_bytes -= evicted.size_bytes;
            let prefix = &evicted.prefix;
            self.events.note(now, CacheEventKind::Evicted, prefix);
        }
    }

    fn store(&mut self, now: Instant, prefix: &str, size_bytes: usize) {
        self.used_bytes += size_bytes;
        self.entries.push_back(Entry {
            prefix: prefix.to_owned(),
            size_bytes,
        });
        self.events.note(now, CacheEventKind::Stored, prefix);
    }
}
