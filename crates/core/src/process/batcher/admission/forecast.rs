//! Forecasts when a job is done, and admits it if that is in time.

use std::time::Duration;

use super::super::estimate::{Estimate, MAX_RETRY_AFTER, MIN_RETRY_AFTER};
use super::super::estimate::{allowed_late, completion_time, latest_starts, remaining_work};
use super::super::job::{Job, forecast_delay};
use super::super::{Batcher, JobFailure, JobId, JobRefusal, JobSpec};
use super::arriving::AdmittedStage;
use super::capacity::{Capacity, bytes_as_f64, fits_beside, longer};
use super::fluid_wait::fluid_wait;
use super::probe::Probe;
use super::{Admission, AdmissionPlan, Bound, RefusedForecast, StageForecast};
use crate::id::ServiceId;
use crate::process::Rank;

/// Multiple of its target latency within which a late request must complete; jobs that are not
/// begun by then are abandoned.
const LATE_TARGET_FACTOR: f64 = 2.0;
/// Fraction of a service's time below which it has no spare capacity for late jobs: its measured
/// load varies by as much.
const MIN_SPARE_FRACTION: f64 = 0.15;
/// Smallest fraction of a service's time that a rank's organisations share.
const MIN_RANK_CAPACITY: f64 = 0.05;
/// Wait of a service that does not reach a job.
const NEVER: Duration = Duration::from_mins(10);

/// Forecast of a job's path.
struct PathForecast {
    /// By the mean of the recent errors.
    done: Duration,
    /// By the favourable end of the recent errors.
    done_at_best: Duration,
    /// When the inputs of each stage are complete.
    inputs_at: Vec<Duration>,
    stages: Vec<StageForecast>,
    binding_stage: usize,
    bound: Bound,
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).map_or(NEVER, |duration| duration.min(NEVER))
}

impl Batcher {
    /// Estimates a job's schedule by forecast, or refuses it.
    pub(in crate::process::batcher) fn estimate_by_forecast(
        &mut self,
        full_spec: &JobSpec,
        now: Duration,
    ) -> Result<Estimate, JobRefusal> {
        let job_spec = &remaining_work(full_spec);
        let capacities = self.capacities(job_spec, now);
        let calls = self.call_times(job_spec, now)?;
        let calls: Vec<_> = calls
            .into_iter()
            .zip(&capacities)
            .zip(&job_spec.stages)
            .map(|((call, capacity), stage)| {
                capacity.as_ref().map_or(call, |capacity| {
                    let pieces = stage.pieces.max(capacity.usual_pieces);
                    duration(capacity.call_time_s(pieces) * capacity.slowness())
                })
            })
            .collect();
        let latest_starts = latest_starts(job_spec, &calls, now);
        let (work, relative_value) = self.work_and_value(full_spec);
        let by_priority = forecast_delay(job_spec.rank, relative_value);
        let (fair_delay, is_alone) = self.fair_delay(job_spec, &capacities, now);
        let priority_delay = by_priority + fair_delay;
        // An organisation's later jobs go after its earlier ones, whatever their common delay is.
        let class_delay = if is_alone {
            by_priority
        } else {
            priority_delay
        };
        let offset_of = |start: &Duration| (*start + class_delay).saturating_sub(now);
        let offsets: Vec<_> = latest_starts.iter().map(offset_of).collect();
        let starts = latest_starts.iter().map(|start| *start + priority_delay);
        let starts: Vec<_> = starts.collect();
        let path = self.forecast_path(job_spec, &capacities, &calls, &starts, &offsets, now);
        let limit = job_spec.target_latency_left;
        // What an earlier owner admitted keeps its place.
        let is_late =
            path.done_at_best + job_spec.engine_time > now + limit && !job_spec.was_admitted;
        self.charge_organisation(job_spec, &capacities, now);
        if is_late {
            let check = self.check_late_by_forecast(job_spec, &capacities, &calls, &path, now);
            if let Err(refusal) = check {
                self.leave_probes(job_spec, &latest_starts, &starts, &path, now);
                return Err(refusal);
            }
        }
        self.record_arrival(job_spec, now);
        if !is_late {
            self.record_admitted(job_spec, &capacities, &offsets, &path.stages, now);
        }
        Ok(Estimate {
            path_time: completion_time(job_spec, &calls, &[], now).saturating_sub(now),
            work,
            latest_starts,
            priority_delay,
            is_late,
            plan: Some(AdmissionPlan {
                started_delay: by_started_rank(job_spec),
                committed_delay: by_started_rank(job_spec).min(behind_most_urgent()),
                results_by: (now + limit).saturating_sub(job_spec.engine_time),
                is_protected: job_spec.was_admitted,
                stages: path.stages,
            }),
        })
    }

    fn forecast_path(
        &mut self,
        job_spec: &JobSpec,
        capacities: &[Option<Capacity>],
        calls: &[Duration],
        starts: &[Duration],
        offsets: &[Duration],
        now: Duration,
    ) -> PathForecast {
        let mut stages = vec![StageForecast::default(); job_spec.stages.len()];
        let mut done = vec![now; job_spec.stages.len()];
        let mut done_at_best = done.clone();
        let mut all_inputs_at = done.clone();
        let mut longest = Duration::ZERO;
        let (mut binding_stage, mut bound) = (0, Bound::Time);
        for (index, stage) in job_spec.stages.iter().enumerate() {
            let inputs_at = stage.depends_on.iter().map(|input| done[*input]);
            let inputs_at = inputs_at.max().unwrap_or(now);
            done[index] = inputs_at;
            let at_best = stage.depends_on.iter().map(|input| done_at_best[*input]);
            let inputs_at_best = at_best.max().unwrap_or(now);
            done_at_best[index] = inputs_at_best;
            all_inputs_at[index] = inputs_at;
            let Some((capacity, admission)) =
                capacities[index].as_ref().zip(self.admission.as_mut())
            else {
                continue;
            };
            let (pieces, bytes) = self.pending_work.ahead(&stage.service, starts[index]);
            let is_small = fits_beside(stage.result_bytes, pieces, bytes);
            let own_bytes = stage.waiting_bytes(stage.pieces);
            let bytes = bytes_as_f64(bytes.saturating_add(own_bytes));
            let inputs_in_s = inputs_at.saturating_sub(now).as_secs_f64();
            let (by_time, by_room) = admission
                .arriving
                .get(&stage.service)
                .map(|arriving| {
                    admission.examined_classes += u64::try_from(arriving.len()).unwrap_or(0);
                    let free_s = capacity.time_wait(0);
                    arriving.before(offsets[index], free_s, capacity.cost(), now)
                })
                .unwrap_or_default();
            let time_s = fluid_wait(capacity.time_wait(pieces), inputs_in_s, &by_time);
            let room_s = if is_small {
                0.0
            } else {
                fluid_wait(capacity.room_wait(bytes), inputs_in_s, &by_room)
            };
            let (wait_s, limited_by) = longer(time_s, room_s);
            stages[index].wait_s = wait_s;
            stages[index].margin_s = capacity.call_time_s(capacity.usual_pieces) / 2.0;
            stages[index].inputs_in_s = inputs_in_s;
            let (ratio, ratio_at_best) = admission.ratios(&stage.service, job_spec.rank, now);
            let wait = duration(wait_s * ratio);
            done[index] = inputs_at.max(now + wait) + calls[index];
            let wait_at_best = duration(wait_s * ratio_at_best);
            done_at_best[index] = inputs_at_best.max(now + wait_at_best) + calls[index];
            let waits_beyond_inputs = (now + wait).saturating_sub(inputs_at);
            if waits_beyond_inputs >= longest {
                longest = waits_beyond_inputs;
                (binding_stage, bound) = (index, limited_by);
            }
        }
        PathForecast {
            done: done.into_iter().max().unwrap_or(now),
            done_at_best: done_at_best.into_iter().max().unwrap_or(now),
            inputs_at: all_inputs_at,
            stages,
            binding_stage,
            bound,
        }
    }

    /// Leaves a probe of a refused job at each service that it would have waited for.
    fn leave_probes(
        &mut self,
        job_spec: &JobSpec,
        latest_starts: &[Duration],
        starts: &[Duration],
        path: &PathForecast,
        now: Duration,
    ) {
        let Some(admission) = self.admission.as_mut() else {
            return;
        };
        let limit = job_spec.target_latency_left;
        let limit_at = (now + limit).saturating_sub(job_spec.engine_time);
        for (index, stage) in job_spec.stages.iter().enumerate() {
            let forecast = path.stages[index];
            if stage.pieces == 0 || forecast.wait_s <= forecast.inputs_in_s {
                continue;
            }
            let probe = Probe {
                scheduled_start: starts[index],
                rank: job_spec.rank,
                pieces: stage.pieces,
                result_bytes: stage.result_bytes,
                call: (index == path.binding_stage).then(|| job_spec.call.clone()),
                latest_start: latest_starts[index],
                refused_at: now,
                inputs_at: path.inputs_at[index],
                limit_at,
                forecast,
            };
            admission.leave_probe(&stage.service, probe);
        }
    }

    /// Refuses a late job that spare capacity is not forecast to complete well before its deadline.
    fn check_late_by_forecast(
        &self,
        job_spec: &JobSpec,
        capacities: &[Option<Capacity>],
        calls: &[Duration],
        path: &PathForecast,
        now: Duration,
    ) -> Result<(), JobRefusal> {
        let stages = job_spec.stages.iter().zip(capacities);
        let waits = stages.map(|(stage, capacity)| {
            capacity.as_ref().map_or(Duration::ZERO, |capacity| {
                self.spare_wait(&stage.service, job_spec.rank, capacity, now)
            })
        });
        let waits: Vec<_> = waits.collect();
        let done = completion_time(job_spec, calls, &waits, now) + job_spec.engine_time;
        let allowed = allowed_late(job_spec, LATE_TARGET_FACTOR);
        if done <= now + allowed {
            return Ok(());
        }
        let forecast = (path.done + job_spec.engine_time).saturating_sub(now);
        let limit = job_spec.target_latency_left;
        Err(JobRefusal {
            retry_after: retry_after(forecast.saturating_sub(limit), job_spec.deadline_left),
            reason: JobFailure::Late,
            forecast: Some(RefusedForecast {
                forecast,
                limit,
                stage: path.binding_stage,
                bound: path.bound,
            }),
        })
    }

    /// Wait of a late job for spare capacity of a service.
    fn spare_wait(
        &self,
        service: &ServiceId,
        rank: Rank,
        capacity: &Capacity,
        now: Duration,
    ) -> Duration {
        let admission = self.admission.as_ref();
        let arriving = admission.and_then(|admission| admission.arriving.get(service));
        let load = arriving.map_or(0.0, |arriving| arriving.utilisation(capacity.cost(), now));
        let spare = 1.0 - load;
        let (pieces, bytes) = self.pending_work.ahead(service, Duration::MAX);
        let late = self.pending_work.late(service);
        if spare < MIN_SPARE_FRACTION {
            return NEVER;
        }
        let (wait_s, _) = capacity.wait(pieces + late, bytes_as_f64(bytes));
        let (ratio, _) =
            admission.map_or((1.0, 1.0), |admission| admission.ratios(service, rank, now));
        duration(wait_s * ratio / spare)
    }

    /// Whether spare capacity is forecast to complete a waiting job that became late.
    pub(super) fn is_reachable_late(&self, id: JobId, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let waiting = job.stages.iter().filter(|stage| stage.has_waiting());
        let waits = waiting.map(|stage| {
            let pool = self.pools.get(&stage.spec.service);
            let capacity = pool.and_then(|pool| Capacity::of(pool, now));
            capacity.map_or(NEVER, |capacity| {
                self.spare_wait(&stage.spec.service, job.spec.rank, &capacity, now)
            })
        });
        let wait = waits.max().unwrap_or_default();
        now + wait + job.remaining_path_time() <= job.abandon_at
    }

    /// Delay by which an organisation's job is ordered behind others of its rank, and whether no
    /// other organisation competes with it.
    fn fair_delay(
        &mut self,
        job_spec: &JobSpec,
        capacities: &[Option<Capacity>],
        now: Duration,
    ) -> (Duration, bool) {
        let Some((organisation, admission)) =
            job_spec.organisation.as_ref().zip(self.admission.as_mut())
        else {
            return (Duration::ZERO, true);
        };
        let capacity = admission.rank_capacity(job_spec, capacities, now);
        let fair_delay = admission.fair_delays.entry(job_spec.rank).or_default();
        let delay = fair_delay.delay(organisation, capacity, now);
        (delay, fair_delay.is_alone(organisation))
    }

    /// Records an admitted job, for the forecasts of later ones.
    fn record_admitted(
        &mut self,
        job_spec: &JobSpec,
        capacities: &[Option<Capacity>],
        offsets: &[Duration],
        forecasts: &[StageForecast],
        now: Duration,
    ) {
        let Some(admission) = self.admission.as_mut() else {
            return;
        };
        let stages = job_spec
            .stages
            .iter()
            .zip(capacities)
            .zip(offsets)
            .zip(forecasts);
        for (((stage, capacity), offset), forecast) in stages {
            if let Some(capacity) = capacity {
                let bytes = bytes_as_f64(stage.waiting_bytes(stage.pieces));
                let work_s = capacity.work_s(stage.pieces);
                let arriving = admission.arriving.entry(stage.service.clone()).or_default();
                let stage = AdmittedStage {
                    offset: *offset,
                    rank: job_spec.rank,
                    work_s,
                    bytes,
                    lag_s: forecast.inputs_in_s,
                };
                arriving.add(stage, now);
            }
        }
    }

    fn charge_organisation(
        &mut self,
        job_spec: &JobSpec,
        capacities: &[Option<Capacity>],
        now: Duration,
    ) {
        if let Some((organisation, admission)) =
            job_spec.organisation.as_ref().zip(self.admission.as_mut())
        {
            let work_s = binding(job_spec, capacities).map_or(0.0, |(_, work_s)| work_s);
            let capacity = admission.rank_capacity(job_spec, capacities, now);
            let fair_delay = admission.fair_delays.entry(job_spec.rank).or_default();
            fair_delay.charge(organisation, work_s, capacity);
        }
    }

    /// Adds a new job to the pending work that was counted before it.
    pub(in crate::process::batcher) fn count_admitted(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get(&id).filter(|job: &&Job| job.plan.is_some()) {
            self.pending_work.add(job);
        }
    }
}

impl Admission {
    /// Fraction of the binding service's time that the job's rank has.
    fn rank_capacity(
        &self,
        job_spec: &JobSpec,
        capacities: &[Option<Capacity>],
        now: Duration,
    ) -> f64 {
        let others = binding(job_spec, capacities).map_or(0.0, |(index, _)| {
            let arriving = self.arriving.get(&job_spec.stages[index].service);
            let per_work_s = capacities[index]
                .as_ref()
                .map_or(0.0, |capacity| capacity.cost().per_work_s);
            arriving.map_or(0.0, |arriving| {
                arriving.other_ranks(job_spec.rank, now) * per_work_s
            })
        });
        (1.0 - others).clamp(MIN_RANK_CAPACITY, 1.0)
    }
}

/// The stage that takes most of its service's capacity, and the seconds of all its servers that it
/// takes.
fn binding(job_spec: &JobSpec, capacities: &[Option<Capacity>]) -> Option<(usize, f64)> {
    let stages = job_spec.stages.iter().zip(capacities).enumerate();
    let costs = stages.filter_map(|(index, (stage, capacity))| {
        let capacity = capacity.as_ref()?;
        let cost = capacity.cost();
        let by_time = capacity.work_s(stage.pieces) * cost.per_work_s;
        let by_room = bytes_as_f64(stage.waiting_bytes(stage.pieces)) * cost.per_byte;
        Some((index, by_time.max(by_room)))
    });
    costs.max_by(|(_, a), (_, b)| a.total_cmp(b))
}

/// Delay of started work: the smallest one of its rank.
fn by_started_rank(job_spec: &JobSpec) -> Duration {
    forecast_delay(job_spec.rank, f64::MAX)
}

/// Delay of work that is mostly sent, of all ranks but the most urgent one: behind that one's new
/// work.
///
/// Guards against urgent jobs that miss short targets, as each of their stages would wait for the
/// rest of less urgent jobs.
fn behind_most_urgent() -> Duration {
    forecast_delay(Rank::default(), 0.0)
}

/// Retry time by the time that is missing, within the caller's useful range.
pub(super) fn retry_after(missing: Duration, deadline_left: Duration) -> Duration {
    let longest = MAX_RETRY_AFTER.min(deadline_left / 3).max(MIN_RETRY_AFTER);
    missing.clamp(MIN_RETRY_AFTER, longest)
}
