//! How many pieces of each service are not started, by their place.
//!
//! Worked out for all services at once and used for some milliseconds: asked for each new job, it
//! would cost a pass over all jobs each time.

use std::collections::BTreeMap;
use std::time::Duration;

use super::job::Job;
use super::pace::paced;
use crate::id::ServiceId;

/// How long one count is used at least; a few jobs come meanwhile.
const USED_FOR: Duration = Duration::from_millis(10);

/// Pieces that are not started, of all jobs.
#[derive(Debug, Default)]
pub(super) struct OpenWork {
    counted_at: Option<Duration>,
    services: BTreeMap<ServiceId, OpenPieces>,
}

#[derive(Debug, Default)]
struct OpenPieces {
    /// Places in order, with the pieces up to each.
    on_time: Vec<(Duration, usize)>,
    late: usize,
}

impl OpenWork {
    /// Counts anew if the last count is too old.
    pub(super) fn refresh<'a>(
        &mut self,
        jobs: impl ExactSizeIterator<Item = &'a Job>,
        now: Duration,
    ) {
        let used_for = paced(USED_FOR, jobs.len());
        let is_recent = |counted_at: Duration| now.saturating_sub(counted_at) < used_for;
        if self.counted_at.is_some_and(is_recent) {
            return;
        }
        self.counted_at = Some(now);
        for pieces in self.services.values_mut() {
            pieces.on_time.clear();
            pieces.late = 0;
        }
        for job in jobs.filter(|job| !job.is_reported) {
            self.count(job);
        }
        for pieces in self.services.values_mut() {
            pieces.add_up();
        }
    }

    /// Pieces of a service that are not late and go before a place.
    pub(super) fn before(&self, service: &ServiceId, place: Duration) -> usize {
        let Some(pieces) = self.services.get(service) else {
            return 0;
        };
        let end = pieces.on_time.partition_point(|(other, _)| *other <= place);
        end.checked_sub(1).map_or(0, |last| pieces.on_time[last].1)
    }

    /// Pieces of late jobs.
    pub(super) fn late(&self, service: &ServiceId) -> usize {
        self.services.get(service).map_or(0, |pieces| pieces.late)
    }

    fn count(&mut self, job: &Job) {
        for (index, stage) in job.stages.iter().enumerate() {
            let open = stage.waiting_pieces().count();
            if open == 0 {
                continue;
            }
            if !self.services.contains_key(&stage.order.service) {
                let service = stage.order.service.clone();
                self.services.insert(service, OpenPieces::default());
            }
            let Some(pieces) = self.services.get_mut(&stage.order.service) else {
                continue;
            };
            if job.is_late {
                pieces.late += open;
            } else {
                pieces.on_time.push((job.place(index), open));
            }
        }
    }
}

impl OpenPieces {
    fn add_up(&mut self) {
        self.on_time.sort_unstable();
        let mut sum = 0;
        for (_, pieces) in &mut self.on_time {
            sum += *pieces;
            *pieces = sum;
        }
    }
}
