//! Logs entries of a table that cannot be parsed, once each.

use std::collections::BTreeMap;

use log::warn;

use super::log_limiter::LogLimiter;

/// Maximum number of remembered entries; others are logged again at each write.
const MAX_LOGGED: usize = 1_000;
/// Maximum length of a key or reason in a line, as entries may have the store's maximum size.
const MAX_CHARACTERS: usize = 120;

/// Logs invalid entries, once for each entry and reason.
///
/// Another writer may fill a table or write its entries repeatedly, and a log line for each would
/// take CPU time from requests. The rate of lines is limited as well, and suppressed lines are
/// counted.
#[derive(Debug)]
pub(super) struct InvalidEntryLog {
    table: &'static str,
    logged: BTreeMap<String, String>,
    log_limiter: LogLimiter,
}

impl InvalidEntryLog {
    pub(super) fn new(table: &'static str) -> Self {
        Self {
            table,
            logged: BTreeMap::new(),
            log_limiter: LogLimiter::new(),
        }
    }

    /// Records an invalid entry and the reason.
    pub(super) fn record(&mut self, key: &str, reason: &str) {
        let (key, reason) = (truncated(key), truncated(reason));
        if self.logged.get(&key) == Some(&reason) {
            return;
        }
        if let Some(left_out) = self.log_limiter.allow() {
            warn!(
                table = self.table, key = key.as_str(), reason = reason.as_str(), left_out;
                "store: invalid entry"
            );
        }
        if self.logged.len() < MAX_LOGGED || self.logged.contains_key(&key) {
            self.logged.insert(key, reason);
        }
    }

    /// Removes an entry that was dropped or is valid now.
    pub(super) fn remove(&mut self, key: &str) {
        if !self.logged.is_empty() {
            self.logged.remove(&truncated(key));
        }
    }
}

fn truncated(text: &str) -> String {
    text.chars().take(MAX_CHARACTERS).collect()
}
