//! LRU cache of prompt prefixes.

use std::collections::VecDeque;

use tokio::time::Instant;

use crate::engine::CacheEventKind;
use crate::engine::cache_event_log::CacheEventLog;

/// LRU cache of prompt prefixes with limited memory.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_bytes: usize,
    used_bytes: usize,
    /// Least recently used first.
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

    /// Marks a prefix as used; true if it was cached. If not, it is cached now, unless it exceeds
    /// the whole memory.
    pub(crate) fn touch(&mut self, now: Instant, prefix: &str, size_bytes: usize) -> bool {
        if let Some(entry) = self.remove(prefix) {
            self.entries.push_back(entry);
            return true;
        }
        if size_bytes <= self.capacity_bytes {
            self.evict_until_fits(now, size_bytes);
            self.store(now, prefix, size_bytes);
        }
        false
    }

    /// The events of this cache.
    pub(crate) fn events(&self) -> &CacheEventLog {
        &self.events
    }

    fn remove(&mut self, prefix: &str) -> Option<Entry> {
        let is_wanted = |entry: &Entry| entry.prefix == prefix;
        let position = self.entries.iter().position(is_wanted)?;
        self.entries.remove(position)
    }

    fn evict_until_fits(&mut self, now: Instant, size_bytes: usize) {
        while self.used_bytes + size_bytes > self.capacity_bytes
            && let Some(evicted) = self.entries.pop_front()
        {
            self.used_bytes -= evicted.size_bytes;
            let prefix = &evicted.prefix;
            self.events.record(now, CacheEventKind::Evicted, prefix);
        }
    }

    fn store(&mut self, now: Instant, prefix: &str, size_bytes: usize) {
        self.used_bytes += size_bytes;
        self.entries.push_back(Entry {
            prefix: prefix.to_owned(),
            size_bytes,
        });
        self.events.record(now, CacheEventKind::Stored, prefix);
    }
}
