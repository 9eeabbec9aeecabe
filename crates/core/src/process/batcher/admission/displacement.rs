//! Displaces admitted jobs that can no longer be reached.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::job::{Job, StageState};
use super::super::{Batcher, JobEvent, JobFailure, JobId, JobRefusal};
use super::capacity::{Capacity, bytes_as_f64, fits_beside};
use super::forecast::retry_after;
use crate::id::ServiceId;
use crate::process::Rank;

/// Time by which a forecast may miss the target before the job is displaced: forecasts of single
/// jobs are wrong by about half a call.
const GRACE: Duration = Duration::from_millis(100);
/// Largest number of jobs that are tried as victims for one more urgent job.
const MAX_VICTIMS: usize = 8;

/// Wait of a service that does not reach a job.
const MAX_WAIT: Duration = Duration::from_mins(10);

/// Pieces and bytes ahead at each service.
type Backlog<'a> = BTreeMap<&'a ServiceId, (usize, u64)>;

/// Order in which jobs are displaced: least urgent first, then by the work that was spent on them.
type VictimKey = (Reverse<Rank>, Duration, JobId);

impl Batcher {
    /// Displaces jobs that cannot be completed in time any more.
    ///
    /// Guards against a loss of capacity, and against forecasts that were too low: if all jobs
    /// waited on, all of them would miss their targets one after the other. Jobs are visited in
    /// order; one that is not reachable takes the place of less urgent ones before it, or leaves.
    pub(in crate::process::batcher) fn displace_unreachable(&mut self, now: Duration) {
        if self.admission.is_none() {
            return;
        }
        for pool in self.pools.values_mut() {
            pool.observe_storage(now);
        }
        let displaced = self.unreachable(now);
        for (id, missing) in displaced {
            // A victim for a more urgent job, or one without spare capacity, is not left waiting.
            let job = self.jobs.get_mut(&id);
            let can_wait = job
                .as_ref()
                .is_some_and(|job| !job.has_started() && missing > Duration::ZERO);
            self.record_missed(id, missing, now);
            if can_wait && self.is_reachable_late(id, now) {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.is_late = true;
                }
                self.update_queues(id);
            } else {
                self.displace(id, missing, now);
            }
        }
    }

    /// Records that a job misses its target: it would not show otherwise that its forecast was too
    /// low, as only jobs that start do.
    fn record_missed(&mut self, id: JobId, missing: Duration, now: Duration) {
        let Some((job, admission)) = self.jobs.get(&id).zip(self.admission.as_mut()) else {
            return;
        };
        let Some(plan) = job.plan.as_ref().filter(|_| !missing.is_zero()) else {
            return;
        };
        let mut stages = job.stages.iter().zip(&plan.stages);
        if let Some((stage, forecast)) = stages.find(|(stage, _)| stage.has_waiting()) {
            let error = admission
                .errors
                .entry(stage.spec.service.clone())
                .or_default();
            let forecast_s = forecast.wait_s.max(forecast.inputs_in_s) + forecast.margin_s;
            let actual_s = forecast_s + missing.as_secs_f64();
            error.record(job.spec.rank, actual_s, forecast_s, now);
        }
    }

    /// Gives up a late job that waits in vain.
    pub(in crate::process::batcher) fn give_up_late(&mut self, id: JobId, now: Duration) {
        if self.admission.is_some() {
            self.displace(id, Duration::ZERO, now);
        } else {
            self.fail(id, JobFailure::Late);
        }
    }

    fn displace(&mut self, id: JobId, missing: Duration, now: Duration) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_reported) else {
            return;
        };
        job.is_reported = true;
        let deadline_left = job.deadline_at.saturating_sub(now);
        let refusal = JobRefusal::new(JobFailure::Late, retry_after(missing, deadline_left));
        self.events.push(JobEvent::Displaced(id, refusal));
        self.update_queues(id);
    }

    /// Jobs to displace, each with the time that it misses its target by; victims for others miss
    /// none.
    fn unreachable(&self, now: Duration) -> Vec<(JobId, Duration)> {
        let is_waiting = |job: &Job| {
            !job.is_reported && !job.is_late && job.stages.iter().any(StageState::has_waiting)
        };
        let waiting = self.jobs.iter().filter(|(_, job)| is_waiting(job));
        let mut in_order: Vec<_> = waiting
            .map(|(id, job)| (job.first_scheduled_start(), *id))
            .collect();
        if in_order.is_empty() {
            return Vec::new();
        }
        in_order.sort_unstable();
        let capacities: BTreeMap<_, _> = self
            .pools
            .iter()
            .filter_map(|(service, pool)| Some((service, Capacity::of(pool, now)?)))
            .collect();
        let mut backlog = Backlog::new();
        let mut victims: BTreeSet<VictimKey> = BTreeSet::new();
        let mut displaced = Vec::new();
        for (_, id) in in_order {
            let job = &self.jobs[&id];
            if job.is_committed || is_protected(job) {
                add(&mut backlog, job);
                continue;
            }
            let missing = missing(job, &backlog, &capacities, now);
            if missing > Duration::ZERO {
                let chosen = self.victims_for(job, &victims, &mut backlog, &capacities, now);
                if chosen.is_empty() {
                    displaced.push((id, missing));
                    continue;
                }
                for victim in chosen {
                    displaced.push((victim.2, Duration::ZERO));
                    victims.remove(&victim);
                }
            }
            add(&mut backlog, job);
            if !job.has_started() {
                victims.insert((Reverse(job.spec.rank), job.sunk_work(), id));
            }
        }
        displaced
    }

    /// Less urgent jobs without which a job is reachable; none if there are too few. Removes them
    /// from the backlog.
    fn victims_for<'a>(
        &'a self,
        job: &Job,
        victims: &BTreeSet<VictimKey>,
        backlog: &mut Backlog<'a>,
        capacities: &BTreeMap<&ServiceId, Capacity>,
        now: Duration,
    ) -> Vec<VictimKey> {
        let less_urgent = victims
            .iter()
            .take_while(|(rank, ..)| rank.0 > job.spec.rank);
        let mut chosen = Vec::new();
        for victim in less_urgent.take(MAX_VICTIMS) {
            remove(backlog, &self.jobs[&victim.2]);
            chosen.push(*victim);
            if missing(job, backlog, capacities, now).is_zero() {
                return chosen;
            }
        }
        for victim in chosen {
            add(backlog, &self.jobs[&victim.2]);
        }
        Vec::new()
    }
}

fn is_protected(job: &Job) -> bool {
    job.plan.as_ref().is_none_or(|plan| plan.is_protected)
}

/// Time by which a job misses its target, behind a backlog.
fn missing(
    job: &Job,
    backlog: &Backlog<'_>,
    capacities: &BTreeMap<&ServiceId, Capacity>,
    now: Duration,
) -> Duration {
    let mut done = vec![now; job.stages.len()];
    for (index, stage) in job.stages.iter().enumerate() {
        let inputs_at = stage.spec.depends_on.iter().map(|input| done[*input]);
        let inputs_at = inputs_at.max().unwrap_or(now);
        let capacity = capacities.get(&stage.spec.service);
        let waiting = capacity.filter(|_| stage.has_waiting());
        done[index] = waiting.map_or(inputs_at, |capacity| {
            let ahead = backlog.get(&stage.spec.service);
            let (pieces, bytes) = ahead.copied().unwrap_or_default();
            let is_small = fits_beside(stage.spec.result_bytes, pieces, bytes);
            let bytes = if is_small { 0 } else { bytes };
            let (wait_s, _) = capacity.wait(pieces, bytes_as_f64(bytes));
            let wait = Duration::try_from_secs_f64(wait_s).unwrap_or(MAX_WAIT);
            // In the smallest call: only what is certainly late is displaced.
            let call_s = capacity.call_time_s(stage.spec.pieces);
            inputs_at.max(now + wait.min(MAX_WAIT)) + Duration::from_secs_f64(call_s)
        });
    }
    let done = done.into_iter().max().unwrap_or(now);
    let limit = match &job.plan {
        // What is begun is worth completing late.
        Some(_) if job.has_started() => job.abandon_at,
        Some(plan) => plan.results_by + GRACE,
        None => job.abandon_at,
    };
    done.saturating_sub(limit)
}

fn add<'a>(backlog: &mut Backlog<'a>, job: &'a Job) {
    for stage in &job.stages {
        let pieces = stage.waiting_pieces().count();
        if pieces > 0 {
            let ahead = backlog.entry(&stage.spec.service).or_default();
            ahead.0 += pieces;
            ahead.1 += stage.spec.waiting_bytes(pieces);
        }
    }
}

fn remove(backlog: &mut Backlog<'_>, job: &Job) {
    for stage in &job.stages {
        let pieces = stage.waiting_pieces().count();
        if let Some(ahead) = backlog.get_mut(&stage.spec.service) {
            ahead.0 = ahead.0.saturating_sub(pieces);
            ahead.1 = ahead.1.saturating_sub(stage.spec.waiting_bytes(pieces));
        }
    }
}
