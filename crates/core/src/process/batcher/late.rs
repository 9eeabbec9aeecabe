//! How long late jobs wait, and which of them wait in vain.

use std::collections::BTreeMap;
use std::time::Duration;

use super::job::Job;
use super::{Batcher, JobFailure, JobId};
use crate::id::ServiceId;

/// Part of a service's time that late jobs are always taken to have.
const LEAST_LEFT_OVER: f64 = 0.1;

/// How long late jobs wait for a service.
#[derive(Debug, Default)]
pub(super) struct LateWait {
    /// Time until what is not late is worked off.
    on_time: Duration,
    /// Pieces of late jobs.
    pieces: usize,
    /// Time that each of them takes in what the others leave over.
    piece_time: Duration,
}

impl LateWait {
    /// Time until all that waits is worked off.
    pub(super) fn whole(&self) -> Duration {
        let pieces = u32::try_from(self.pieces).unwrap_or(u32::MAX);
        self.on_time + self.piece_time.saturating_mul(pieces)
    }
}

impl Batcher {
    /// Wait of late jobs for a service, beside what goes on arriving.
    pub(super) fn late_wait(&self, service: &ServiceId, now: Duration) -> LateWait {
        let Some(pool) = self.pools.get(service) else {
            return LateWait::default();
        };
        let left_over = (1.0 - pool.arriving(now)).max(LEAST_LEFT_OVER);
        LateWait {
            on_time: self.backlog(service, Duration::MAX, now),
            pieces: self.open_work.late(service),
            piece_time: pool.time_for(1, now).div_f64(left_over),
        }
    }

    /// Gives up late jobs that will not be done before they are given up anyway, last ones first.
    ///
    /// Guards against a long shortage, as after an outage of the store: late jobs would be held to
    /// their end in vain, and their callers could have come back long before. Each one that goes
    /// shortens the wait of those before it.
    pub(super) fn give_up_hopeless(&mut self, now: Duration) {
        let may_go = |job: &Job| job.is_late && !job.is_committed && !job.is_reported;
        let late = self.jobs.iter().filter(|(_, job)| may_go(job));
        let mut late: Vec<_> = late.map(|(id, job)| (job.first_place(), *id)).collect();
        if late.is_empty() {
            return;
        }
        late.sort_unstable();
        self.open_work.refresh(self.jobs.values(), now);
        let services = self.pools.keys();
        let mut waits: BTreeMap<_, _> = services
            .map(|service| (service.clone(), self.late_wait(service, now)))
            .collect();
        for (_, id) in late.into_iter().rev() {
            if self.is_hopeless(id, &waits, now) {
                self.take_out(id, &mut waits);
                self.fail(id, JobFailure::Late);
            }
        }
    }

    fn is_hopeless(&self, id: JobId, waits: &BTreeMap<ServiceId, LateWait>, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let open = job.stages.iter().filter(|stage| stage.has_waiting());
        let waits = open.filter_map(|stage| waits.get(&stage.order.service));
        let longest = waits.map(LateWait::whole).max().unwrap_or_default();
        now + longest + job.path_left() > job.held_until
    }

    fn take_out(&self, id: JobId, waits: &mut BTreeMap<ServiceId, LateWait>) {
        let stages = self.jobs.get(&id).into_iter().flat_map(|job| &job.stages);
        for stage in stages {
            if let Some(wait) = waits.get_mut(&stage.order.service) {
                wait.pieces = wait.pieces.saturating_sub(stage.waiting_pieces().count());
            }
        }
    }
}
