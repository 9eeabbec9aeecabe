//! Estimates when a request's pieces will be completed, given the work queued before them.

use std::borrow::Cow;
use std::time::Duration;

use super::admission::AdmissionPlan;
use super::job::priority_delay;
use super::retained_result::remaining_pieces;
use super::{Batcher, JobFailure, JobRefusal, JobSpec, StageSpec};
use crate::id::ServiceId;

/// Fraction of the remaining time that a late request may need: above it, its work would probably
/// be wasted.
const LATE_DEADLINE_FRACTION: f64 = 0.6;
/// Multiple of its target latency within which a late request must complete to be accepted.
const LATE_TARGET_FACTOR: f64 = 2.5;
/// Shortest retry delay after a refusal.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Longest retry delay after a refusal; callers wait for a fraction of their deadline at most.
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// When the stages of a job must start, and how long they take.
#[derive(Debug)]
pub(super) struct Estimate {
    pub(super) latest_starts: Vec<Duration>,
    pub(super) path_time: Duration,
    /// Server time that each stage takes.
    pub(super) work: Vec<Duration>,
    pub(super) priority_delay: Duration,
    pub(super) is_late: bool,
    /// What it is admitted by, with admission by forecast.
    pub(super) plan: Option<AdmissionPlan>,
}

impl Batcher {
    /// Estimates a job's schedule, or refuses a job that cannot be completed in time.
    pub(super) fn estimate(
        &mut self,
        job_spec: &JobSpec,
        now: Duration,
    ) -> Result<Estimate, JobRefusal> {
        self.pending_work.refresh(self.jobs.values(), now);
        if self.admission.is_some() {
            return self.estimate_by_forecast(job_spec, now);
        }
        let full_spec = job_spec;
        let job_spec = &remaining_work(full_spec);
        let calls = self.call_times(job_spec, now)?;
        let latest_starts = latest_starts(job_spec, &calls, now);
        let (work, relative_value) = self.work_and_value(full_spec);
        let priority_delay = priority_delay(job_spec.rank, relative_value);
        let waits = job_spec
            .stages
            .iter()
            .zip(&latest_starts)
            .map(|(stage, start)| self.backlog(&stage.service, *start + priority_delay, now));
        let waits: Vec<_> = waits.collect();
        let done = completion_time(job_spec, &calls, &waits, now);
        let is_late = done + job_spec.engine_time > now + job_spec.target_latency_left;
        if is_late {
            self.check_late(job_spec, &calls, now)?;
        }
        self.record_arrival(job_spec, now);
        Ok(Estimate {
            path_time: completion_time(job_spec, &calls, &[], now).saturating_sub(now),
            work,
            latest_starts,
            priority_delay,
            is_late,
            plan: None,
        })
    }

    /// Server time that each stage takes, and the value of the answer per work relative to its route.
    pub(super) fn work_and_value(&mut self, full_spec: &JobSpec) -> (Vec<Duration>, f64) {
        let stages = full_spec.stages.iter();
        let work: Vec<_> = stages.map(|stage| self.stage_work(stage)).collect();
        let total_work = work.iter().sum();
        let relative_value =
            self.route_values
                .relative(&full_spec.route, full_spec.value_tokens, total_work);
        (work, relative_value)
    }

    /// Server time that a stage's pieces take in full batches.
    fn stage_work(&self, stage: &StageSpec) -> Duration {
        let spec = self.pools.get(&stage.service).and_then(|pool| pool.spec);
        let Some(spec) = spec else {
            return Duration::ZERO;
        };
        let max_pieces = u32::try_from(spec.max_pieces.max(1)).unwrap_or(1);
        let pieces = u32::try_from(stage.pieces).unwrap_or(u32::MAX);
        (spec.piece_time + spec.call_time / max_pieces).saturating_mul(pieces)
    }

    /// Refuses a late job that spare capacity would not complete in time.
    fn check_late(
        &self,
        job_spec: &JobSpec,
        calls: &[Duration],
        now: Duration,
    ) -> Result<(), JobRefusal> {
        let waits = job_spec
            .stages
            .iter()
            .map(|stage| self.late_wait(&stage.service, now).total());
        let waits: Vec<_> = waits.collect();
        let done = completion_time(job_spec, calls, &waits, now);
        let allowed = allowed_late(job_spec, LATE_TARGET_FACTOR);
        if done + job_spec.engine_time <= now + allowed {
            return Ok(());
        }
        let excess =
            (done + job_spec.engine_time).saturating_sub(now + job_spec.target_latency_left);
        Err(JobRefusal::new(
            JobFailure::Late,
            excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        ))
    }

    /// Records the work that a job adds, for the estimates of later jobs.
    pub(super) fn record_arrival(&mut self, job_spec: &JobSpec, now: Duration) {
        for stage in &job_spec.stages {
            let Some(pool) = self.pools.get_mut(&stage.service) else {
                continue;
            };
            let work = pool.processing_time(stage.pieces, now);
            pool.add_arrival(work, now);
        }
    }

    /// Expected time of one call of each stage.
    pub(super) fn call_times(
        &self,
        job_spec: &JobSpec,
        now: Duration,
    ) -> Result<Vec<Duration>, JobRefusal> {
        let no_server = JobRefusal::new(JobFailure::NoServer, MIN_RETRY_AFTER);
        let time_of = |stage: &StageSpec| {
            if stage.pieces == 0 {
                return Ok(Duration::ZERO);
            }
            let pool = self.pools.get(&stage.service).ok_or(no_server)?;
            let spec = pool.spec.ok_or(no_server)?;
            let zones = &job_spec.allowed_zones;
            let has_none = pool.usable(now).next().is_none() && pool.backoff_left(now).is_none();
            if has_none || (!zones.is_all() && !pool.has_server_in(zones)) {
                return Err(no_server);
            }
            let usual_pieces = stage.pieces.max(spec.max_pieces / 2).min(spec.max_pieces);
            Ok(spec.call_time_for(usual_pieces))
        };
        job_spec.stages.iter().map(time_of).collect()
    }

    /// Time in which a service completes the on-time pieces that are scheduled up to a time, from
    /// when one of its servers may be used.
    pub(super) fn backlog(&self, service: &ServiceId, before: Duration, now: Duration) -> Duration {
        let pool = self.pools.get(service);
        let backoff_left = pool.and_then(|pool| pool.backoff_left(now));
        let pieces = self.pending_work.before(service, before);
        backoff_left.unwrap_or_default() + self.processing_time(service, pieces, now)
    }

    fn processing_time(&self, service: &ServiceId, pieces: usize, now: Duration) -> Duration {
        let pool = self.pools.get(service);
        pool.map_or(Duration::ZERO, |pool| pool.processing_time(pieces, now))
    }
}

/// Time within which a late request must complete: a fraction of its deadline, and a multiple of its
/// target latency.
pub(super) fn allowed_late(job_spec: &JobSpec, target_factor: f64) -> Duration {
    let by_target =
        job_spec.target_latency_left + job_spec.target_latency.mul_f64(target_factor - 1.0);
    let by_deadline = job_spec.deadline_left.mul_f64(LATE_DEADLINE_FRACTION);
    by_deadline.min(by_target)
}

/// The spec without the pieces whose results are retained.
pub(super) fn remaining_work(job_spec: &JobSpec) -> Cow<'_, JobSpec> {
    if job_spec.retained.is_empty() {
        return Cow::Borrowed(job_spec);
    }
    let mut remaining = job_spec.clone();
    for (stage, pieces) in remaining.stages.iter_mut().zip(remaining_pieces(job_spec)) {
        stage.pieces = pieces;
    }
    Cow::Owned(remaining)
}

/// When the last stage is done, if each service first completes the work queued before.
pub(super) fn completion_time(
    job_spec: &JobSpec,
    calls: &[Duration],
    waits: &[Duration],
    now: Duration,
) -> Duration {
    let mut done = vec![now; job_spec.stages.len()];
    for (index, stage) in job_spec.stages.iter().enumerate() {
        let inputs = stage.depends_on.iter().filter_map(|input| done.get(*input));
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

/// Latest start of each stage that still meets the target latency.
pub(super) fn latest_starts(
    job_spec: &JobSpec,
    calls: &[Duration],
    now: Duration,
) -> Vec<Duration> {
    let target_at = (now + job_spec.target_latency_left).saturating_sub(job_spec.engine_time);
    let mut starts = vec![target_at; job_spec.stages.len()];
    for index in (0..job_spec.stages.len()).rev() {
        let dependents = job_spec.stages.iter().enumerate();
        let dependents = dependents.filter(|(_, stage)| stage.depends_on.contains(&index));
        let end = dependents
            .map(|(later, _)| starts[later])
            .min()
            .unwrap_or(target_at);
        starts[index] = end.saturating_sub(calls[index]);
    }
    starts
}
