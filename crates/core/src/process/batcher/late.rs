//! Estimates the wait of late jobs, and gives up those that wait in vain.

use std::collections::BTreeMap;
use std::time::Duration;

use super::job::Job;
use super::{Batcher, JobId};
use crate::id::ServiceId;

/// Fraction of a service's time that is always assumed to be left for late jobs.
const MIN_SPARE_FRACTION: f64 = 0.1;

/// How long late jobs wait for a service.
#[derive(Debug, Default)]
pub(super) struct LateWait {
    /// Time until the on-time pieces are completed.
    on_time: Duration,
    /// Pieces of late jobs.
    pieces: usize,
    /// Time that each of them takes on spare capacity.
    piece_time: Duration,
}

impl LateWait {
    /// Time until all waiting pieces are completed.
    pub(super) fn total(&self) -> Duration {
        let pieces = u32::try_from(self.pieces).unwrap_or(u32::MAX);
        self.on_time + self.piece_time.saturating_mul(pieces)
    }
}

impl Batcher {
    /// Wait of late jobs for a service, given the rate of arriving work.
    pub(super) fn late_wait(&self, service: &ServiceId, now: Duration) -> LateWait {
        let Some(pool) = self.pools.get(service) else {
            return LateWait::default();
        };
        let spare = (1.0 - pool.arrival_load(now)).max(MIN_SPARE_FRACTION);
        LateWait {
            on_time: self.backlog(service, Duration::MAX, now),
            pieces: self.pending_work.late(service),
            piece_time: pool.processing_time(1, now).div_f64(spare),
        }
    }

    /// Gives up late jobs that cannot complete before their time limit, the last in order first.
    ///
    /// Guards against a long overload, as after an outage of the store: late jobs would wait in
    /// vain until their time limit, although their callers could have retried long before. Each job
    /// that is given up shortens the wait of those before it.
    pub(super) fn abandon_hopeless(&mut self, now: Duration) {
        let is_protected = |job: &Job| job.plan.as_ref().is_some_and(|plan| plan.is_protected);
        let may_abandon =
            |job: &Job| job.is_late && !job.is_committed && !job.is_reported && !is_protected(job);
        let late = self.jobs.iter().filter(|(_, job)| may_abandon(job));
        let mut late: Vec<_> = late
            .map(|(id, job)| (job.first_scheduled_start(), *id))
            .collect();
        if late.is_empty() {
            return;
        }
        late.sort_unstable();
        self.pending_work.refresh(self.jobs.values(), now);
        let services = self.pools.keys();
        let mut waits: BTreeMap<_, _> = services
            .map(|service| (service.clone(), self.late_wait(service, now)))
            .collect();
        for (_, id) in late.into_iter().rev() {
            if self.is_hopeless(id, &waits, now) {
                self.subtract_job(id, &mut waits);
                self.give_up_late(id, now);
            }
        }
    }

    fn is_hopeless(&self, id: JobId, waits: &BTreeMap<ServiceId, LateWait>, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let waiting = job.stages.iter().filter(|stage| stage.has_waiting());
        let waits = waiting.filter_map(|stage| waits.get(&stage.spec.service));
        let longest = waits.map(LateWait::total).max().unwrap_or_default();
        now + longest + job.remaining_path_time() > job.abandon_at
    }

    fn subtract_job(&self, id: JobId, waits: &mut BTreeMap<ServiceId, LateWait>) {
        let stages = self.jobs.get(&id).into_iter().flat_map(|job| &job.stages);
        for stage in stages {
            if let Some(wait) = waits.get_mut(&stage.spec.service) {
                wait.pieces = wait.pieces.saturating_sub(stage.waiting_pieces().count());
            }
        }
    }
}
