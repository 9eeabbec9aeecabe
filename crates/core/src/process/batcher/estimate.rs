//! When a request's pieces can be done, from what waits before them.

use std::borrow::Cow;
use std::time::Duration;

use super::job::put_off;
use super::kept::open_pieces;
use super::{Batcher, JobFailure, JobRefusal, JobSpec, StageSpec};
use crate::id::ServiceId;

/// Part of the time left that a late request may need: beyond it, it is likely to be in vain.
const LATE_PART: f64 = 0.6;
/// Times its aim within which a late request must be done to be taken.
const LATE_AIMS: f64 = 2.5;
/// Shortest time to come back after a refusal.
const SHORTEST_RETRY: Duration = Duration::from_millis(300);
/// Longest time to come back after a refusal; callers wait no longer than a part of their time.
const LONGEST_RETRY: Duration = Duration::from_secs(2);

/// When the stages of a job must start.
#[derive(Debug)]
pub(super) struct Outlook {
    pub(super) latest_starts: Vec<Duration>,
    pub(super) path_time: Duration,
    /// Servers' time that each stage takes.
    pub(super) work: Vec<Duration>,
    pub(super) put_off: Duration,
    pub(super) is_late: bool,
}

impl Batcher {
    /// Works out a job's starts, or refuses what cannot be done in time.
    pub(super) fn outlook(
        &mut self,
        order: &JobSpec,
        now: Duration,
    ) -> Result<Outlook, JobRefusal> {
        self.open_work.refresh(self.jobs.values(), now);
        let whole = order;
        let order = &still_to_make(whole);
        let calls = self.call_times(order, now)?;
        let latest_starts = latest_starts(order, &calls, now);
        let work: Vec<_> = whole
            .stages
            .iter()
            .map(|stage| self.work_of(stage))
            .collect();
        let whole_work = work.iter().sum();
        let worth = self
            .worth
            .relative(&order.route, order.value_tokens, whole_work);
        let put_off = put_off(order.rank, worth);
        let waits = order
            .stages
            .iter()
            .zip(&latest_starts)
            .map(|(stage, start)| self.backlog(&stage.service, *start + put_off, now));
        let waits: Vec<_> = waits.collect();
        let done = done_at(order, &calls, &waits, now);
        let is_late = done + order.engine_time > now + order.target_latency_left;
        if is_late {
            self.check_late(order, &calls, now)?;
        }
        self.note_arrival(order, now);
        Ok(Outlook {
            path_time: done_at(order, &calls, &[], now).saturating_sub(now),
            work,
            latest_starts,
            put_off,
            is_late,
        })
    }

    /// Server time that a stage's pieces take in full batches.
    fn work_of(&self, stage: &StageSpec) -> Duration {
        let spec = self.pools.get(&stage.service).and_then(|pool| pool.spec);
        let Some(spec) = spec else {
            return Duration::ZERO;
        };
        let max_pieces = u32::try_from(spec.max_pieces.max(1)).unwrap_or(1);
        let pieces = u32::try_from(stage.pieces).unwrap_or(u32::MAX);
        (spec.piece_time + spec.call_time / max_pieces).saturating_mul(pieces)
    }

    /// Refuses a late job that would not be done in what the others leave over.
    fn check_late(
        &self,
        order: &JobSpec,
        calls: &[Duration],
        now: Duration,
    ) -> Result<(), JobRefusal> {
        let waits = order
            .stages
            .iter()
            .map(|stage| self.late_wait(&stage.service, now).whole());
        let waits: Vec<_> = waits.collect();
        let done = done_at(order, calls, &waits, now);
        let allowed = order
            .deadline_left
            .mul_f64(LATE_PART)
            .min(order.target_latency_left + order.target_latency.mul_f64(LATE_AIMS - 1.0));
        if done + order.engine_time <= now + allowed {
            return Ok(());
        }
        let excess = (done + order.engine_time).saturating_sub(now + order.target_latency_left);
        Err(JobRefusal {
            retry_after: excess.clamp(SHORTEST_RETRY, LONGEST_RETRY),
            reason: JobFailure::Late,
        })
    }

    /// Notes the work that a job brings, for what later jobs may expect.
    fn note_arrival(&mut self, order: &JobSpec, now: Duration) {
        for stage in &order.stages {
            let Some(pool) = self.pools.get_mut(&stage.service) else {
                continue;
            };
            let work = pool.time_for(stage.pieces, now);
            pool.note_arriving(work, now);
        }
    }

    /// Expected time of one call of each stage.
    fn call_times(&self, order: &JobSpec, now: Duration) -> Result<Vec<Duration>, JobRefusal> {
        let no_server = JobRefusal {
            retry_after: SHORTEST_RETRY,
            reason: JobFailure::NoServer,
        };
        let time_of = |stage: &StageSpec| {
            if stage.pieces == 0 {
                return Ok(Duration::ZERO);
            }
            let pool = self.pools.get(&stage.service).ok_or(no_server)?;
            let spec = pool.spec.ok_or(no_server)?;
            if pool.in_use(now).next().is_none() {
                return Err(no_server);
            }
            let usual_pieces = stage.pieces.max(spec.max_pieces / 2).min(spec.max_pieces);
            Ok(spec.call_time_for(usual_pieces))
        };
        order.stages.iter().map(time_of).collect()
    }

    /// Time in which a service works off what goes before a place and is not late.
    pub(super) fn backlog(&self, service: &ServiceId, before: Duration, now: Duration) -> Duration {
        self.time_for(service, self.open_work.before(service, before), now)
    }

    fn time_for(&self, service: &ServiceId, pieces: usize, now: Duration) -> Duration {
        let pool = self.pools.get(service);
        pool.map_or(Duration::ZERO, |pool| pool.time_for(pieces, now))
    }
}

/// An order without the pieces that are kept.
fn still_to_make(order: &JobSpec) -> Cow<'_, JobSpec> {
    if order.retained.is_empty() {
        return Cow::Borrowed(order);
    }
    let mut left = order.clone();
    for (stage, open) in left.stages.iter_mut().zip(open_pieces(order)) {
        stage.pieces = open;
    }
    Cow::Owned(left)
}

/// When the last stage is done, if each service first works off what goes before.
fn done_at(order: &JobSpec, calls: &[Duration], waits: &[Duration], now: Duration) -> Duration {
    let mut done = vec![now; order.stages.len()];
    for (index, stage) in order.stages.iter().enumerate() {
        let inputs = stage.depends_on.iter().filter_map(|after| done.get(*after));
        let inputs_at = inputs.max().copied().unwrap_or(now);
        done[index] = if stage.pieces == 0 {
            inputs_at
        } else {
            let free_at = now + waits.get(index).copied().unwrap_or_default();
            inputs_at.max(free_at) + calls[index]
        };
    }
    done.into_iter().max().unwrap_or(now)
}

/// Latest start of each stage that still meets the aim.
fn latest_starts(order: &JobSpec, calls: &[Duration], now: Duration) -> Vec<Duration> {
    let aim_at = (now + order.target_latency_left).saturating_sub(order.engine_time);
    let mut starts = vec![aim_at; order.stages.len()];
    for index in (0..order.stages.len()).rev() {
        let needing = order.stages.iter().enumerate();
        let needing = needing.filter(|(_, stage)| stage.depends_on.contains(&index));
        let end = needing
            .map(|(later, _)| starts[later])
            .min()
            .unwrap_or(aim_at);
        starts[index] = end.saturating_sub(calls[index]);
    }
    starts
}
