//! Which origins of streams a gateway saves in the store, in which rows, and when rows are removed.
//!
//! Origins are saved so that streams can be taken up after the loss of all gateways. Each save writes
//! one row and removes those whose streams can no longer be taken up. A save whose answer is lost is
//! repeated under the same name, so that a row is written twice at most and never left behind.

use std::collections::VecDeque;
use std::time::Duration;

use super::origin_row::{OriginRow, OriginRowId, StreamGroup};
use super::stream_fingerprint::StreamFingerprint;
use super::stream_origins::StreamOrigin;
use crate::id::InstanceId;

/// Maximum number of streams in one row; encoded, it is below the limit of a store's row.
const MAX_ROW_STREAMS: usize = 4_000;
/// Maximum number of rows that one save removes.
const MAX_REMOVED: usize = 50;

/// One write of origins, and the rows that it removes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginSave {
    /// The row to write; none if only rows are removed.
    pub put: Option<(OriginRowId, OriginRow)>,
    /// Rows to remove.
    pub removed: Vec<OriginRowId>,
    taken: usize,
    until: Duration,
}

/// Collects origins and decides what is saved.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::{OriginSaver, StreamFingerprint, StreamKey, StreamOrigin};
///
/// let key = StreamKey { organisation: None, call: "c1".parse().unwrap() };
/// let stream = StreamFingerprint::of(&key);
/// let origin = StreamOrigin { service: "pool".parse().unwrap(), version: None };
/// let mut saver = OriginSaver::new("g1".parse().unwrap(), 100);
/// saver.add(stream, origin, Duration::from_secs(30));
/// let save = saver.next_save(Duration::ZERO, Duration::from_secs(500)).unwrap();
/// saver.record_saved(&save);
/// assert_eq!(saver.next_save(Duration::ZERO, Duration::from_secs(500)), None);
/// ```
#[derive(Debug)]
pub struct OriginSaver {
    instance: InstanceId,
    max_unsaved: usize,
    next_number: u64,
    /// Streams that are not saved, each with the time until which it may be taken up.
    unsaved: VecDeque<(Duration, StreamFingerprint, StreamOrigin)>,
    /// Rows of this gateway with the time until which they are needed.
    saved: VecDeque<(Duration, OriginRowId)>,
}

impl OriginSaver {
    /// Creates a saver that holds a number of unsaved origins; more are dropped.
    #[must_use]
    pub const fn new(instance: InstanceId, max_unsaved: usize) -> Self {
        Self {
            instance,
            max_unsaved,
            next_number: 0,
            unsaved: VecDeque::new(),
            saved: VecDeque::new(),
        }
    }

    /// Adds an origin that is needed until a time.
    pub fn add(&mut self, stream: StreamFingerprint, origin: StreamOrigin, until: Duration) {
        if self.unsaved.len() < self.max_unsaved {
            self.unsaved.push_back((until, stream, origin));
        }
    }

    /// Whether a later save is due: there are origins to save or rows to remove.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.unsaved.is_empty() && self.saved.is_empty()
    }

    /// The next save, if there is anything to write, or if all rows can be removed.
    pub fn next_save(&mut self, now: Duration, store_now: Duration) -> Option<OriginSave> {
        while self
            .unsaved
            .front()
            .is_some_and(|(until, ..)| *until <= now)
        {
            self.unsaved.pop_front();
        }
        let taken = self.unsaved.len().min(MAX_ROW_STREAMS);
        let needed = self.unsaved.iter().take(taken);
        let needed = needed.filter(|(until, ..)| *until > now);
        let until = needed.clone().map(|(until, ..)| *until).max();
        let groups = StreamGroup::collect(needed.map(|(_, stream, origin)| (*stream, origin)));
        let removed = self.removable(now);
        let put = until.map(|until| {
            let id = OriginRowId {
                instance: self.instance.clone(),
                number: self.next_number,
            };
            let row = OriginRow {
                until: store_now + until.saturating_sub(now),
                groups,
            };
            (id, row)
        });
        // Rows are removed by the way; only the last ones are worth a write of their own.
        let is_last = !removed.is_empty() && removed.len() == self.saved.len().min(MAX_REMOVED);
        (put.is_some() || is_last).then_some(OriginSave {
            put,
            removed,
            taken,
            until: until.unwrap_or(now),
        })
    }

    /// Records that the store has taken a save.
    pub fn record_saved(&mut self, save: &OriginSave) {
        self.unsaved.drain(..save.taken.min(self.unsaved.len()));
        self.saved.retain(|(_, id)| !save.removed.contains(id));
        if let Some((id, _)) = &save.put {
            self.saved.push_back((save.until, id.clone()));
            self.next_number += 1;
        }
    }

    fn removable(&self, now: Duration) -> Vec<OriginRowId> {
        let expired = self.saved.iter().filter(|(until, _)| *until <= now);
        let ids = expired.map(|(_, id)| id.clone());
        ids.take(MAX_REMOVED).collect()
    }
}
