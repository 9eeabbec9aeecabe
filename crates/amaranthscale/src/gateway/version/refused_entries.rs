//! Says which entries of a table cannot be read, once each.

use std::collections::BTreeMap;

use log::warn;

use super::line_budget::LineBudget;

/// Entries that are remembered; more are told again with each write.
const MOST_KNOWN: usize = 1_000;
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
    lines: LineBudget,
}

impl RefusedEntries {
    pub(super) fn new(table: &'static str) -> Self {
        Self {
            table,
            told: BTreeMap::new(),
            lines: LineBudget::new(),
        }
    }

    /// Notes an entry and why it cannot be read.
    pub(super) fn note(&mut self, key: &str, reason: &str) {
        let (key, reason) = (shortened(key), shortened(reason));
        if self.told.get(&key) == Some(&reason) {
            return;
        }
        if let Some(left_out) = self.lines.take() {
            warn!(
                table = self.table, key = key.as_str(), reason = reason.as_str(), left_out;
                "store: entry names nothing"
            );
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
}

fn shortened(text: &str) -> String {
    text.chars().take(MOST_CHARACTERS).collect()
}
