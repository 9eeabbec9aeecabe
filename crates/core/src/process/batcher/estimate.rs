//! When a request's pieces can be done, from what waits before them.

use std::time::Duration;

use super::job::{LARGE_RESULT_BYTES, PieceState};
use super::{Batcher, JobFailure, JobRefused, PipelineOrder};
use crate::id::ServiceId;

/// Time that an engine takes to its first event beside the stages.
pub(super) const ENGINE_TIME: Duration = Duration::from_millis(110);
/// Part of the time left that a late request may need: beyond it, it is likely to be in vain.
const LATE_PART: f64 = 0.6;
/// Shortest time to come back after a refusal.
const SHORTEST_RETRY: Duration = Duration::from_millis(300);
/// Longest time to come back after a refusal; callers wait no longer than a part of their time.
const LONGEST_RETRY: Duration = Duration::from_secs(2);
/// Part of the spare time that a large result is held back for the longer stages beside it.
const HELD_BACK_PART: f64 = 0.7;

/// When the stages of a job must and may start.
#[derive(Debug)]
pub(super) struct Outlook {
    pub(super) latest_starts: Vec<Duration>,
    pub(super) not_before: Vec<Duration>,
    pub(super) is_late: bool,
}

impl Batcher {
    /// Works out a job's starts, or refuses what cannot be done in time.
    pub(super) fn outlook(
        &self,
        order: &PipelineOrder,
        now: Duration,
    ) -> Result<Outlook, JobRefused> {
        let calls = self.call_times(order, now)?;
        let done = self.done_at(order, &calls, now, false);
        let is_late = done + ENGINE_TIME > now + order.aim_left;
        if is_late {
            self.check_late(order, &calls, now)?;
        }
        let latest_starts = latest_starts(order, &calls, now);
        let not_before = not_before(order, &calls, now);
        Ok(Outlook {
            latest_starts,
            not_before,
            is_late,
        })
    }

    fn check_late(
        &self,
        order: &PipelineOrder,
        calls: &[Duration],
        now: Duration,
    ) -> Result<(), JobRefused> {
        let done = self.done_at(order, calls, now, true);
        let allowed = order.deadline_left.mul_f64(LATE_PART);
        if done + ENGINE_TIME <= now + allowed {
            return Ok(());
        }
        let excess = (done + ENGINE_TIME).saturating_sub(now + order.aim_left);
        Err(JobRefused {
            retry_after: excess.clamp(SHORTEST_RETRY, LONGEST_RETRY),
            reason: JobFailure::Late,
        })
    }

    /// Expected time of one call of each stage.
    fn call_times(
        &self,
        order: &PipelineOrder,
        now: Duration,
    ) -> Result<Vec<Duration>, JobRefused> {
        let no_server = JobRefused {
            retry_after: SHORTEST_RETRY,
            reason: JobFailure::NoServer,
        };
        let time_of = |stage: &super::StageOrder| {
            if stage.pieces == 0 {
                return Ok(Duration::ZERO);
            }
            let pool = self.pools.get(&stage.service).ok_or(no_server)?;
            let spec = pool.spec.ok_or(no_server)?;
            if pool.in_use(now).next().is_none() {
                return Err(no_server);
            }
            let usual_pieces = stage.pieces.max(spec.max_pieces / 2).min(spec.max_pieces);
            Ok(spec.time_of(usual_pieces))
        };
        order.stages.iter().map(time_of).collect()
    }

    /// When the last stage is done, if each service first works off what goes before.
    fn done_at(
        &self,
        order: &PipelineOrder,
        calls: &[Duration],
        now: Duration,
        behind_late: bool,
    ) -> Duration {
        let mut done = vec![now; order.stages.len()];
        for (index, stage) in order.stages.iter().enumerate() {
            let inputs = stage.after.iter().filter_map(|after| done.get(*after));
            let inputs_at = inputs.max().copied().unwrap_or(now);
            if stage.pieces == 0 {
                done[index] = inputs_at;
                continue;
            }
            let free_at = now + self.backlog(&stage.service, behind_late, now);
            done[index] = inputs_at.max(free_at) + calls[index];
        }
        done.into_iter().max().unwrap_or(now)
    }

    /// Time in which a service works off what is not started yet.
    fn backlog(&self, service: &ServiceId, behind_late: bool, now: Duration) -> Duration {
        let Some(pool) = self.pools.get(service) else {
            return Duration::ZERO;
        };
        let Some(spec) = pool.spec else {
            return Duration::ZERO;
        };
        let jobs = self.jobs.values().filter(|job| behind_late || !job.is_late);
        let stages = jobs.flat_map(|job| &job.stages);
        let own = stages.filter(|stage| stage.order.service == *service);
        let is_open = |piece: &&PieceState| **piece == PieceState::Waiting;
        let pieces: usize = own
            .map(|stage| stage.pieces.iter().filter(is_open).count())
            .sum();
        let capacity: f64 = pool
            .in_use(now)
            .map(|(_, server)| 1.0 / server.slowness(now))
            .sum();
        let max_pieces = u32::try_from(spec.max_pieces.max(1)).unwrap_or(1);
        let piece_time = spec.piece_time + spec.call_time / max_pieces;
        let work = piece_time.saturating_mul(u32::try_from(pieces).unwrap_or(u32::MAX));
        let lanes = capacity * f64::from(u32::try_from(spec.slots.max(1)).unwrap_or(1));
        work.div_f64(lanes.max(0.2))
    }
}

/// Latest start of each stage that still meets the aim.
fn latest_starts(order: &PipelineOrder, calls: &[Duration], now: Duration) -> Vec<Duration> {
    let aim_at = (now + order.aim_left).saturating_sub(ENGINE_TIME);
    let mut starts = vec![aim_at; order.stages.len()];
    for index in (0..order.stages.len()).rev() {
        let needing = order.stages.iter().enumerate();
        let needing = needing.filter(|(_, stage)| stage.after.contains(&index));
        let end = needing
            .map(|(later, _)| starts[later])
            .min()
            .unwrap_or(aim_at);
        starts[index] = end.saturating_sub(calls[index]);
    }
    starts
}

/// Earliest start of stages whose large results would wait for longer stages beside them.
fn not_before(order: &PipelineOrder, calls: &[Duration], now: Duration) -> Vec<Duration> {
    let mut ends = vec![Duration::ZERO; order.stages.len()];
    for (index, stage) in order.stages.iter().enumerate() {
        let inputs = stage.after.iter().filter_map(|after| ends.get(*after));
        ends[index] = inputs.max().copied().unwrap_or_default() + calls[index];
    }
    let longest = ends.iter().max().copied().unwrap_or_default();
    let is_needed = |index: usize| {
        order
            .stages
            .iter()
            .any(|stage| stage.after.contains(&index))
    };
    let start = |(index, stage): (usize, &super::StageOrder)| {
        let is_large = stage.result_bytes >= LARGE_RESULT_BYTES;
        if is_large && stage.after.is_empty() && !is_needed(index) {
            now + longest.saturating_sub(ends[index]).mul_f64(HELD_BACK_PART)
        } else {
            now
        }
    };
    order.stages.iter().enumerate().map(start).collect()
}
