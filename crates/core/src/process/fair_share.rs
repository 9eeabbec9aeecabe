//! Weighted fair shares of organisations within one class.
//!
//! Start-time fair queueing: each organisation carries a virtual start time, which a popped
//! attempt moves on by its expected time over the organisation's weight. The earliest start goes
//! first, so over time each busy organisation gets backend time in proportion to its weight.

use std::collections::{BTreeMap, BTreeSet};

use super::QueuedAttempt;
use crate::id::{AttemptId, OrganisationId};
use crate::unit::SidecarClock;

/// Virtual time units in a millisecond; fine enough that weights up to a thousand still tell.
const UNITS_PER_MS: u64 = 1_000;

/// Position within an organisation: earliest expiry first, then order of arrival.
type Position = (SidecarClock, u64);

/// Waiting attempts of one organisation.
#[derive(Debug, Default)]
struct Line {
    start: u64,
    waiting: BTreeMap<Position, QueuedAttempt>,
}

/// Where an attempt waits.
#[derive(Debug, Clone)]
struct Place {
    organisation: OrganisationId,
    position: Position,
}

/// Waiting attempts of one class.
#[derive(Debug, Default)]
pub(super) struct FairShare {
    virtual_time: u64,
    arrivals: u64,
    lines: BTreeMap<OrganisationId, Line>,
    places: BTreeMap<AttemptId, Place>,
    by_arrival: BTreeMap<u64, AttemptId>,
    by_latest_start: BTreeSet<(SidecarClock, AttemptId)>,
}

impl FairShare {
    /// Attempts that wait.
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether an attempt waits here.
    pub(super) fn contains(&self, attempt: &AttemptId) -> bool {
        self.places.contains_key(attempt)
    }

    /// Adds an attempt at its place.
    pub(super) fn push(&mut self, item: QueuedAttempt) {
        let position = (item.expiry, self.arrivals);
        let place = Place {
            organisation: item.organisation.clone(),
            position,
        };
        self.places.insert(item.attempt, place);
        self.by_arrival.insert(self.arrivals, item.attempt);
        self.by_latest_start
            .insert((item.latest_start(), item.attempt));
        self.arrivals += 1;
        let line = self.lines.entry(item.organisation.clone()).or_default();
        // An idle organisation must not save up credit: it would then take every slot at once
        // when it comes back, and the others would wait for as long as it had been idle.
        if line.waiting.is_empty() {
            line.start = line.start.max(self.virtual_time);
        }
        line.waiting.insert(position, item);
    }

    /// Takes the attempt whose turn it is.
    pub(super) fn pop(&mut self) -> Option<QueuedAttempt> {
        let busy = self
            .lines
            .values_mut()
            .filter(|line| !line.waiting.is_empty());
        let line = busy.min_by_key(|line| line.start)?;
        let item = line.waiting.values().next()?;
        let (attempt, weight) = (item.attempt, item.weight.get());
        let units = item.expected_ms.max(1).saturating_mul(UNITS_PER_MS);
        self.virtual_time = line.start;
        line.start = line.start.saturating_add(units / u64::from(weight));
        let item = self.take(&attempt);
        self.forget_idle();
        item
    }

    /// Takes the attempt that arrived last.
    pub(super) fn pop_newest(&mut self) -> Option<QueuedAttempt> {
        let (_, attempt) = self.by_arrival.last_key_value()?;
        let attempt = *attempt;
        self.take(&attempt)
    }

    /// Takes one attempt out, if it waits here.
    pub(super) fn take(&mut self, attempt: &AttemptId) -> Option<QueuedAttempt> {
        let place = self.places.remove(attempt)?;
        let line = self.lines.get_mut(&place.organisation)?;
        let item = line.waiting.remove(&place.position)?;
        self.by_arrival.remove(&place.position.1);
        self.by_latest_start
            .remove(&(item.latest_start(), item.attempt));
        Some(item)
    }

    /// Takes out all that could no longer end in time.
    pub(super) fn take_late(&mut self, now: SidecarClock) -> Vec<QueuedAttempt> {
        let mut late = Vec::new();
        while let Some((latest_start, attempt)) = self.by_latest_start.first().copied() {
            if latest_start >= now {
                break;
            }
            late.extend(self.take(&attempt));
        }
        late
    }

    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.lines
            .retain(|_, line| !line.waiting.is_empty() || line.start > virtual_time);
    }
}
