//! The stages that wait for one service, in the order in which their pieces are sent.
//!
//! Stages with the same result size share a lane, so that a server with little free storage finds a
//! result that fits without examining those that do not.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::btree_set;
use std::iter::Peekable;
use std::time::Duration;

use super::JobId;

/// A stage with waiting pieces; on-time requests come first, then in the order of scheduled start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Entry {
    pub(super) is_late: bool,
    pub(super) scheduled_start: Duration,
    pub(super) job: JobId,
    pub(super) stage: usize,
    /// Storage that each of its results occupies.
    pub(super) result_bytes: u64,
}

/// Waiting stages in order.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// By result size; empty lanes are dropped.
    lanes: BTreeMap<u64, BTreeSet<Entry>>,
}

impl Queue {
    pub(super) fn insert(&mut self, entry: Entry) {
        let lane = self.lanes.entry(entry.result_bytes).or_default();
        lane.insert(entry);
    }

    pub(super) fn remove(&mut self, entry: &Entry) {
        let Some(lane) = self.lanes.get_mut(&entry.result_bytes) else {
            return;
        };
        lane.remove(entry);
        if lane.is_empty() {
            self.lanes.remove(&entry.result_bytes);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.lanes.values().map(BTreeSet::len).sum()
    }

    /// Stages in the order in which they are sent.
    pub(super) fn in_order(&self) -> InOrder<'_> {
        let lanes = self.lanes.iter();
        let lanes = lanes.map(|(result_bytes, entries)| (*result_bytes, entries.iter().peekable()));
        InOrder {
            lanes: lanes.collect(),
        }
    }
}

type Lane<'a> = (u64, Peekable<btree_set::Iter<'a, Entry>>);

/// Iterates over waiting stages in order.
pub(super) struct InOrder<'a> {
    lanes: Vec<Lane<'a>>,
}

impl<'a> InOrder<'a> {
    /// The next stage whose results fit into a capacity.
    pub(super) fn next_within(&mut self, capacity_bytes: u64) -> Option<&'a Entry> {
        let lanes = self.lanes.iter_mut();
        let fitting = lanes.filter(|(result_bytes, _)| *result_bytes <= capacity_bytes);
        let heads = fitting.filter_map(|(_, lane)| Some((*lane.peek()?, lane)));
        let (_, lane) = heads.min_by_key(|(head, _)| *head)?;
        lane.next()
    }
}
