//! The stages that wait for one service, in the order in which their pieces are sent.

use std::collections::BTreeSet;
use std::time::Duration;

use super::JobId;

/// A stage with pieces that wait: requests that can meet their aim first, by their place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Entry {
    pub(super) is_late: bool,
    pub(super) place: Duration,
    pub(super) job: JobId,
    pub(super) stage: usize,
}

/// Waiting stages, kept in order as they come and go.
#[derive(Debug, Default)]
pub(super) struct Queue {
    entries: BTreeSet<Entry>,
}

impl Queue {
    pub(super) fn insert(&mut self, entry: Entry) {
        self.entries.insert(entry);
    }

    pub(super) fn remove(&mut self, entry: &Entry) {
        self.entries.remove(entry);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Stages in the order in which they are sent.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
