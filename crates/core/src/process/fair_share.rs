//! Weighted fair shares of organisations within one class.
//!
//! Start-time fair queueing: each organisation carries a virtual start time, which a popped
//! attempt moves on by its expected time over the organisation's weight. The earliest start goes
//! first, so over time each busy organisation gets backend time in proportion to its weight.

use std::collections::BTreeMap;

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

/// Waiting attempts of one class.
#[derive(Debug, Default)]
pub(super) struct FairShare {
    virtual_time: u64,
    arrivals: u64,
    len: usize,
    lines: BTreeMap<OrganisationId, Line>,
}

impl FairShare {
    /// Attempts that wait.
    pub(super) const fn len(&self) -> usize {
        self.len
    }

    /// Whether an attempt waits here.
    pub(super) fn contains(&self, attempt: &AttemptId) -> bool {
        let mut waiting = self.lines.values().flat_map(|line| line.waiting.values());
        waiting.any(|item| item.attempt == *attempt)
    }

    /// Adds an attempt at its place.
    pub(super) fn push(&mut self, item: QueuedAttempt) {
        let line = self.lines.entry(item.organisation.clone()).or_default();
        // An idle organisation must not save up credit: it would then take every slot at once
        // when it comes back, and the others would wait for as long as it had been idle.
        if line.waiting.is_empty() {
            line.start = line.start.max(self.virtual_time);
        }
        line.waiting.insert((item.expiry, self.arrivals), item);
        self.arrivals += 1;
        self.len += 1;
    }

    /// Takes the attempt whose turn it is.
    pub(super) fn pop(&mut self) -> Option<QueuedAttempt> {
        let busy = self
            .lines
            .values_mut()
            .filter(|line| !line.waiting.is_empty());
        let line = busy.min_by_key(|line| line.start)?;
        let (_, item) = line.waiting.pop_first()?;
        self.virtual_time = line.start;
        let units = item.expected_ms.max(1).saturating_mul(UNITS_PER_MS);
        line.start = line
            .start
            .saturating_add(units / u64::from(item.weight.get()));
        self.len -= 1;
        self.forget_idle();
        Some(item)
    }

    /// Takes the attempt that arrived last.
    pub(super) fn pop_newest(&mut self) -> Option<QueuedAttempt> {
        let positions = self.lines.values().flat_map(|line| line.waiting.keys());
        let newest = positions.map(|(_, arrival)| *arrival).max()?;
        self.take_if(|(_, arrival), _| *arrival == newest).pop()
    }

    /// Takes one attempt out, if it waits here.
    pub(super) fn remove(&mut self, attempt: &AttemptId) -> bool {
        !self.take_if(|_, item| item.attempt == *attempt).is_empty()
    }

    /// Takes out all that could no longer end in time.
    pub(super) fn take_late(&mut self, now: SidecarClock) -> Vec<QueuedAttempt> {
        self.take_if(|_, item| !item.can_make_it(now))
    }

    fn take_if(
        &mut self,
        is_wanted: impl Fn(&Position, &QueuedAttempt) -> bool,
    ) -> Vec<QueuedAttempt> {
        let mut taken = Vec::new();
        for line in self.lines.values_mut() {
            let wanted = line
                .waiting
                .extract_if(.., |position, item| is_wanted(position, item));
            taken.extend(wanted.map(|(_, item)| item));
        }
        self.len -= taken.len();
        taken
    }

    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.lines
            .retain(|_, line| !line.waiting.is_empty() || line.start > virtual_time);
    }
}
