//! Number of waiting pieces of each service, by their scheduled start.
//!
//! Counted for all services at once and reused for some milliseconds: counting for each new job
//! would scan all jobs each time.

use std::collections::BTreeMap;
use std::time::Duration;

use super::job::Job;
use super::scan_interval::scan_interval;
use crate::id::ServiceId;

/// Shortest time for which a count is reused; a few jobs arrive meanwhile.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(10);

/// Waiting pieces of all jobs.
#[derive(Debug, Default)]
pub(super) struct PendingWork {
    counted_at: Option<Duration>,
    services: BTreeMap<ServiceId, PendingPieces>,
}

#[derive(Debug, Default)]
struct PendingPieces {
    /// Scheduled starts in order, with the cumulative number of pieces and bytes of results up to
    /// each.
    on_time: Vec<(Duration, usize, u64)>,
    /// Pieces of jobs that were accepted since the count.
    recent: Vec<(Duration, usize, u64)>,
    late: usize,
}

impl PendingWork {
    /// Counts again if the last count is too old.
    pub(super) fn refresh<'a>(
        &mut self,
        jobs: impl ExactSizeIterator<Item = &'a Job>,
        now: Duration,
    ) {
        let refresh_interval = scan_interval(MIN_REFRESH_INTERVAL, jobs.len());
        let is_recent = |counted_at: Duration| now.saturating_sub(counted_at) < refresh_interval;
        if self.counted_at.is_some_and(is_recent) {
            return;
        }
        self.counted_at = Some(now);
        for pieces in self.services.values_mut() {
            pieces.on_time.clear();
            pieces.recent.clear();
            pieces.late = 0;
        }
        for job in jobs.filter(|job| !job.is_reported) {
            self.add_to(job, |pieces| &mut pieces.on_time);
        }
        for pieces in self.services.values_mut() {
            pieces.accumulate();
        }
    }

    /// On-time pieces of a service that are scheduled up to a time.
    pub(super) fn before(&self, service: &ServiceId, scheduled_start: Duration) -> usize {
        let pieces = self.services.get(service);
        pieces.map_or(0, |pieces| pieces.counted(scheduled_start).0)
    }

    /// On-time pieces of a service that are scheduled up to a time, and the bytes of their results,
    /// with those of jobs that were accepted since the count.
    pub(super) fn ahead(&self, service: &ServiceId, scheduled_start: Duration) -> (usize, u64) {
        let Some(pending) = self.services.get(service) else {
            return (0, 0);
        };
        let recent = pending.recent.iter();
        let recent = recent.filter(|(other, ..)| *other <= scheduled_start);
        recent.fold(
            pending.counted(scheduled_start),
            |(pieces, bytes), recent| (pieces + recent.1, bytes + recent.2),
        )
    }

    /// Adds a job that was accepted since the count.
    pub(super) fn add(&mut self, job: &Job) {
        self.add_to(job, |pieces| &mut pieces.recent);
    }

    /// Pieces of late jobs.
    pub(super) fn late(&self, service: &ServiceId) -> usize {
        self.services.get(service).map_or(0, |pieces| pieces.late)
    }

    /// Adds a job's waiting stages to a list of its services, or to their late pieces.
    fn add_to(
        &mut self,
        job: &Job,
        list: impl Fn(&mut PendingPieces) -> &mut Vec<(Duration, usize, u64)>,
    ) {
        for (index, stage) in job.stages.iter().enumerate() {
            let waiting = stage.waiting_pieces().count();
            if waiting == 0 {
                continue;
            }
            if !self.services.contains_key(&stage.spec.service) {
                let service = stage.spec.service.clone();
                self.services.insert(service, PendingPieces::default());
            }
            let Some(pieces) = self.services.get_mut(&stage.spec.service) else {
                continue;
            };
            if job.is_late {
                pieces.late += waiting;
            } else {
                let bytes = stage.spec.waiting_bytes(waiting);
                list(pieces).push((job.scheduled_start(index), waiting, bytes));
            }
        }
    }
}

impl PendingPieces {
    /// Pieces that were counted up to a time, and the bytes of their results.
    fn counted(&self, scheduled_start: Duration) -> (usize, u64) {
        let end = self
            .on_time
            .partition_point(|(other, ..)| *other <= scheduled_start);
        end.checked_sub(1).map_or((0, 0), |last| {
            let (_, pieces, bytes) = self.on_time[last];
            (pieces, bytes)
        })
    }

    fn accumulate(&mut self) {
        self.on_time.sort_unstable();
        let (mut piece_sum, mut byte_sum) = (0, 0_u64);
        for (_, pieces, bytes) in &mut self.on_time {
            piece_sum += *pieces;
            *pieces = piece_sum;
            byte_sum = byte_sum.saturating_add(*bytes);
            *bytes = byte_sum;
        }
    }
}
