//! Says which entries of a table cannot be read, once each.

use std::collections::BTreeMap;
use std::time::Duration;

use log::warn;
use tokio::time::Instant;

/// Entries that are remembered; more are told again with each write.
const MOST_KNOWN: usize = 1_000;
/// Lines of one table in a span: enough to see what is wrong, few beside a busy gateway's others.
const MOST_LINES: u32 = 20;
/// The span.
const SPAN: Duration = Duration::from_secs(10);
/// Longest key or reason in a line: entries may be of the store's largest size.
const MOST_CHARACTERS: usize = 120;

/// Entries that were refused, with the reason that was told.
///
/// Guards against another writer that fills a table or writes its entries over and over: each would
/// write a line, and lines take the time that requests need. Told once an entry and reason, and
/// only some in a span, what is left out is counted.
#[derive(Debug)]
pub(super) struct RefusedEntries {
    table: &'static str,
    told: BTreeMap<String, String>,
    span_began: Instant,
    lines: u32,
    left_out: u64,
}

impl RefusedEntries {
    pub(super) fn new(table: &'static str) -> Self {
        Self {
            table,
            told: BTreeMap::new(),
            span_began: Instant::now(),
            lines: 0,
            left_out: 0,
        }
    }

    /// Notes an entry and why it cannot be read.
    pub(super) fn note(&mut self, key: &str, reason: &str) {
        let (key, reason) = (shortened(key), shortened(reason));
        if self.told.get(&key) == Some(&reason) {
            return;
        }
        if self.may_write() {
            warn!(
                table = self.table, key = key.as_str(), reason = reason.as_str(),
                left_out = self.left_out;
                "store: entry names nothing"
            );
            self.left_out = 0;
        } else {
            self.left_out += 1;
        }
        if self.told.len() < MOST_KNOWN || self.told.contains_key(&key) {
            self.told.insert(key, reason);
        }
    }

    /// Forgets an entry that is gone or can be read.
    pub(super) fn forget(&mut self, key: &str) {
        if !self.told.is_empty() {
            self.told.remove(&shortened(key));
        }
    }

    fn may_write(&mut self) -> bool {
        if self.span_began.elapsed() >= SPAN {
            self.span_began = Instant::now();
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= MOST_LINES
    }
}

fn shortened(text: &str) -> String {
    text.chars().take(MOST_CHARACTERS).collect()
}
