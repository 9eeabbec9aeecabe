//! Weighted fair shares of organisations within one class.
//!
//! Start-time fair queueing: each organisation has a virtual start time, which each popped attempt
//! advances by its expected time divided by the organisation's weight. The earliest start goes
//! first, so over time each busy organisation gets backend time in proportion to its weight.

use std::collections::{BTreeMap, BTreeSet};

use super::QueuedAttempt;
use crate::id::{AttemptId, OrganisationId};
use crate::unit::SidecarClock;

/// Virtual time units per millisecond, fine enough for weights up to a thousand to make a
/// difference.
const UNITS_PER_MS: u64 = 1_000;

/// Position within an organisation's queue: earliest expiry first, then order of arrival.
type Position = (SidecarClock, u64);

/// Waiting attempts of one organisation.
#[derive(Debug, Default)]
struct OrganisationQueue {
    start: u64,
    waiting: BTreeMap<Position, QueuedAttempt>,
}

/// Queue and position of a waiting attempt.
#[derive(Debug, Clone)]
struct Location {
    organisation: OrganisationId,
    position: Position,
}

/// Waiting attempts of one class.
#[derive(Debug, Default)]
pub(super) struct FairShare {
    virtual_time: u64,
    arrivals: u64,
    queues: BTreeMap<OrganisationId, OrganisationQueue>,
    locations: BTreeMap<AttemptId, Location>,
    by_arrival: BTreeMap<u64, AttemptId>,
    by_latest_start: BTreeSet<(SidecarClock, AttemptId)>,
}

impl FairShare {
    /// Number of waiting attempts.
    pub(super) fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether an attempt waits here.
    pub(super) fn contains(&self, attempt: &AttemptId) -> bool {
        self.locations.contains_key(attempt)
    }

    /// Queues an attempt.
    pub(super) fn push(&mut self, item: QueuedAttempt) {
        let position = (item.expiry, self.arrivals);
        let location = Location {
            organisation: item.organisation.clone(),
            position,
        };
        self.locations.insert(item.attempt, location);
        self.by_arrival.insert(self.arrivals, item.attempt);
        self.by_latest_start
            .insert((item.latest_start(), item.attempt));
        self.arrivals += 1;
        let queue = self.queues.entry(item.organisation.clone()).or_default();
        // An idle organisation must not accumulate credit: on its return it would take every slot
        // at once, and the others would wait for as long as it had been idle.
        if queue.waiting.is_empty() {
            queue.start = queue.start.max(self.virtual_time);
        }
        queue.waiting.insert(position, item);
    }

    /// Removes and returns the next attempt.
    pub(super) fn pop(&mut self) -> Option<QueuedAttempt> {
        let busy = self
            .queues
            .values_mut()
            .filter(|queue| !queue.waiting.is_empty());
        let queue = busy.min_by_key(|queue| queue.start)?;
        let item = queue.waiting.values().next()?;
        let (attempt, weight) = (item.attempt, item.weight.get());
        let units = item.expected_ms.max(1).saturating_mul(UNITS_PER_MS);
        self.virtual_time = queue.start;
        queue.start = queue.start.saturating_add(units / u64::from(weight));
        let item = self.remove(&attempt);
        self.drop_idle();
        item
    }

    /// Removes and returns the attempt that arrived last.
    pub(super) fn pop_newest(&mut self) -> Option<QueuedAttempt> {
        let (_, attempt) = self.by_arrival.last_key_value()?;
        let attempt = *attempt;
        self.remove(&attempt)
    }

    /// Removes one attempt, if it is queued.
    pub(super) fn remove(&mut self, attempt: &AttemptId) -> Option<QueuedAttempt> {
        let location = self.locations.remove(attempt)?;
        let queue = self.queues.get_mut(&location.organisation)?;
        let item = queue.waiting.remove(&location.position)?;
        self.by_arrival.remove(&location.position.1);
        self.by_latest_start
            .remove(&(item.latest_start(), item.attempt));
        Some(item)
    }

    /// Removes and returns all attempts that can no longer end in time.
    pub(super) fn take_late(&mut self, now: SidecarClock) -> Vec<QueuedAttempt> {
        let mut late = Vec::new();
        while let Some((latest_start, attempt)) = self.by_latest_start.first().copied() {
            if latest_start >= now {
                break;
            }
            late.extend(self.remove(&attempt));
        }
        late
    }

    fn drop_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.queues
            .retain(|_, queue| !queue.waiting.is_empty() || queue.start > virtual_time);
    }
}
