//! Delay of an organisation's jobs behind those of others of its rank.
//!
//! Start-time fair queueing: each job advances its organisation's virtual start by the fraction of a
//! service's time that it takes. Refused jobs count as well: only admitted ones wait, and their queue
//! is too short to tell an organisation that requests ten times its share from one that does not. Virtual time advances with the capacity that the
//! rank has, divided among the organisations whose start is ahead of it. An organisation that takes
//! no more than its share is not ahead for long, and one that is alone has all capacity.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::OrganisationId;
use crate::process::count::as_f64;

/// Longest delay: as long as the delay of half the average value, so that a share counts for more
/// than usual differences in value. It decays within as long after a burst.
const MAX_DELAY: Duration = Duration::from_secs(6);

/// Virtual time of one rank.
#[derive(Debug, Default)]
pub(super) struct FairDelay {
    virtual_s: f64,
    at: Duration,
    starts: BTreeMap<OrganisationId, u64>,
    /// Organisations whose start is ahead of the virtual time, earliest first; starts are in
    /// virtual microseconds.
    ahead: BTreeSet<(u64, OrganisationId)>,
}

fn seconds(units: u64) -> f64 {
    Duration::from_micros(units).as_secs_f64()
}

fn units(seconds: f64) -> u64 {
    let duration = Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(MAX_DELAY);
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl FairDelay {
    /// Delay of the organisation's next job, with the fraction of the capacity that its rank has.
    pub(super) fn delay(
        &mut self,
        organisation: &OrganisationId,
        capacity: f64,
        now: Duration,
    ) -> Duration {
        self.advance(capacity, now);
        let Some(start) = self.starts.get(organisation) else {
            return Duration::ZERO;
        };
        let ahead_s = (seconds(*start) - self.virtual_s).max(0.0);
        let sharing = as_f64(self.ahead.len()).max(1.0);
        Duration::try_from_secs_f64(ahead_s * sharing / capacity)
            .map_or(MAX_DELAY, |delay| delay.min(MAX_DELAY))
    }

    /// Whether no other organisation has taken more than its share up to now.
    pub(super) fn is_alone(&self, organisation: &OrganisationId) -> bool {
        self.ahead.iter().all(|(_, other)| other == organisation)
    }

    /// Charges a job, whose work takes some seconds of all the service's servers.
    pub(super) fn charge(&mut self, organisation: &OrganisationId, work_s: f64, capacity: f64) {
        let virtual_now = units(self.virtual_s);
        let start = self.starts.get(organisation).copied().unwrap_or(0);
        self.ahead.remove(&(start, organisation.clone()));
        // An idle organisation accumulates no credit.
        let next = start.max(virtual_now).saturating_add(units(work_s).max(1));
        let sharing = as_f64(self.ahead.len() + 1);
        let latest_s = self.virtual_s + MAX_DELAY.as_secs_f64() * capacity / sharing;
        let next = next.min(units(latest_s).max(start).max(1));
        self.starts.insert(organisation.clone(), next);
        self.ahead.insert((next, organisation.clone()));
    }

    fn advance(&mut self, capacity: f64, now: Duration) {
        let mut left_s = now.saturating_sub(self.at).as_secs_f64() * capacity;
        self.at = now;
        while let Some((start, organisation)) = self.ahead.first().cloned() {
            let sharing = as_f64(self.ahead.len());
            let gap_s = (seconds(start) - self.virtual_s).max(0.0);
            if left_s < gap_s * sharing {
                self.virtual_s += left_s / sharing;
                return;
            }
            left_s -= gap_s * sharing;
            self.virtual_s = self.virtual_s.max(seconds(start));
            self.ahead.pop_first();
            self.starts.remove(&organisation);
        }
        // Nothing is ahead: starts count from zero again, which keeps the numbers small.
        self.virtual_s = 0.0;
    }
}
