//! Assigns batches to free servers.

use std::collections::BTreeMap;
use std::time::Duration;

use super::admission::StartedPlaces;
use super::job::{Job, LARGE_RESULT_BYTES, PieceState, StageState};
use super::pool_state::{PoolState, size_by_pace};
use super::queue::Entry;
use super::scan_interval::scan_interval;
use super::zone_availability::ZoneAvailability;
use super::{Batch, BatchId, Batcher, JobFailure, PieceRef, RunningBatch, RunningPiece};
use crate::id::{ServerIncarnation, ServiceId, ZoneId};
use crate::version::BatchSpec;

/// Multiple of a call's expected time after which it times out.
const TIMEOUT_FACTOR: f64 = 2.5;
/// Constant part of the timeout beyond the expected time.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(400);
/// Backlog of a service, as a fraction of a call, up to which late requests may start there.
const SPARE_BACKLOG_FRACTION: f64 = 0.5;

/// Waiting stages that are examined for one free server. A call holds some tens of pieces, so a
/// stage behind hundreds of more urgent stages that all wait for another server is seldom sent
/// before them.
const MAX_EXAMINED: usize = 1024;

/// Shortest time between two sweeps over all jobs.
const MIN_SWEEP_INTERVAL: Duration = Duration::from_millis(20);

impl Batcher {
    /// Batches to send now.
    pub fn next_batches(&mut self, now: Duration) -> Vec<Batch> {
        if self.is_stopping {
            return Vec::new();
        }
        if now.saturating_sub(self.swept_at) >= scan_interval(MIN_SWEEP_INTERVAL, self.jobs.len()) {
            self.swept_at = now;
            self.sweep(now);
            self.displace_unreachable(now);
            if let Some(admission) = self.admission.as_mut() {
                admission.expire_probes(now);
            }
        }
        let admission = self.admission.as_ref();
        let has_probes =
            |service: &ServiceId| admission.is_some_and(|admission| admission.has_probes(service));
        let has_work = |service: &ServiceId, pool: &PoolState| {
            (!pool.queue.is_empty() || has_probes(service)) && pool.has_available(now)
        };
        let ready = self.pools.iter();
        let ready = ready.filter(|(service, pool)| has_work(service, pool));
        let services: Vec<_> = ready.map(|(service, _)| service.clone()).collect();
        if services.is_empty() {
            return Vec::new();
        }
        self.pending_work.refresh(self.jobs.values(), now);
        services
            .iter()
            .flat_map(|service| self.form_batches(service, now))
            .collect()
    }

    /// Handles all jobs that are expired or late, or whose results are not needed any more.
    fn sweep(&mut self, now: Duration) {
        self.fail_evacuated();
        self.fail_expired(now);
        let jobs: Vec<_> = self.jobs.keys().copied().collect();
        for id in jobs {
            self.free_unneeded(id, now);
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.mark_late_if_overdue(now) {
                self.update_queues(id);
            }
        }
        self.abandon_hopeless(now);
    }

    /// Fails jobs with pieces that no server may compute.
    ///
    /// Guards against callers that wait in vain: it is unknown when a zone will be taken back, and
    /// a caller that is refused at once can still retry in time.
    fn fail_evacuated(&mut self) {
        let evacuated = self.pools.iter().filter(|(_, pool)| pool.is_evacuated());
        let evacuated: Vec<_> = evacuated.map(|(service, _)| service.clone()).collect();
        let is_restricted = |job: &Job| !job.spec.allowed_zones.is_all();
        if evacuated.is_empty() && !self.jobs.values().any(is_restricted) {
            return;
        }
        let is_unservable = |job: &Job, service: &ServiceId| {
            let pool = self.pools.get(service);
            evacuated.contains(service)
                || (is_restricted(job)
                    && pool.is_some_and(|pool| !pool.has_server_in(&job.spec.allowed_zones)))
        };
        let is_stuck = |job: &Job| {
            let mut waiting = job.stages.iter().filter(|stage| stage.has_waiting());
            !job.is_reported && waiting.any(|stage| is_unservable(job, &stage.spec.service))
        };
        let stuck = self.jobs.iter().filter(|(_, job)| is_stuck(job));
        let stuck: Vec<_> = stuck.map(|(id, _)| *id).collect();
        for id in stuck {
            self.fail(id, JobFailure::NoServer);
        }
    }

    fn fail_expired(&mut self, now: Duration) {
        let is_expired = |job: &Job| {
            let is_over = if job.is_committed {
                job.deadline_at <= now
            } else {
                // A job that has hardly begun needs most of its path time, and waits no longer than
                // this.
                job.abandon_at <= now || job.deadline_at <= now + job.path_time
            };
            is_over && !job.is_reported
        };
        let jobs = self.jobs.iter().filter(|(_, job)| is_expired(job));
        let expired: Vec<_> = jobs.map(|(id, _)| *id).collect();
        for id in expired {
            self.fail(id, JobFailure::Late);
        }
    }

    fn form_batches(&mut self, service: &ServiceId, now: Duration) -> Vec<Batch> {
        let Some((pool, spec)) = self.pools.get(service).and_then(|p| Some((p, p.spec?))) else {
            return Vec::new();
        };
        let available = pool.available(now);
        let mut available: Vec<_> = available
            .map(|(incarnation, server)| (server.slowness(now), incarnation.clone()))
            .collect();
        available.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let min_pieces = pool.min_batch_size(spec, now);
        let mut waiting_pieces =
            self.waiting_pieces(pool, spec.max_pieces.max(1) * available.len());
        let mut batches = Vec::new();
        let mut started = Vec::new();
        for (index, (slowness, server)) in available.iter().enumerate() {
            let servers_left = available.len() - index;
            // The time of a call grows with its pieces, so free servers share the waiting pieces,
            // unless the smaller calls would leave the servers unable to keep up with arriving
            // work.
            let target_size = waiting_pieces.div_ceil(servers_left).max(min_pieces);
            let target_size = target_size.clamp(1, spec.max_pieces.max(1));
            let target_size = if self.is_paced {
                size_by_pace(target_size, *slowness)
            } else {
                target_size
            };
            if let Some(batch) =
                self.form_batch(service, spec, server, target_size, &mut started, now)
            {
                waiting_pieces = waiting_pieces.saturating_sub(batch.items.len());
                batches.push(batch);
            }
        }
        self.end_probes(service, spec, &batches, started, now);
        batches
    }

    /// Ends the probes of refused jobs whose stages would start with the calls that start now.
    fn end_probes(
        &mut self,
        service: &ServiceId,
        spec: BatchSpec,
        batches: &[Batch],
        mut started: Vec<Duration>,
        now: Duration,
    ) {
        let Some((pool, admission)) = self.pools.get(service).zip(self.admission.as_mut()) else {
            return;
        };
        if !admission.has_probes(service) {
            return;
        }
        let called = batches.iter().map(|batch| &batch.server);
        let free = pool.available(now).map(|(incarnation, _)| incarnation);
        let servers: Vec<_> = called.chain(free).collect();
        let free_bytes = servers.iter().map(|server| pool.free_bytes(server, now));
        let first = pool.queue.in_order().next_within(u64::MAX);
        started.sort_unstable();
        let places = StartedPlaces {
            places: servers.len() * spec.max_pieces.max(1),
            started,
            first_waiting: first
                .filter(|entry| !entry.is_late)
                .map(|entry| entry.scheduled_start),
            free_bytes: free_bytes.sum(),
        };
        admission.end_probes(service, &places, now);
    }

    /// Number of waiting pieces, counted up to `enough`.
    fn waiting_pieces(&self, pool: &PoolState, enough: usize) -> usize {
        let mut waiting = pool.queue.in_order();
        let mut waiting_pieces = 0;
        while waiting_pieces < enough
            && let Some(entry) = waiting.next_within(u64::MAX)
        {
            let stage = &self.jobs[&entry.job].stages[entry.stage];
            waiting_pieces += stage.waiting_pieces().count();
        }
        waiting_pieces
    }

    /// Forms one server's batch from the head of the queue.
    fn form_batch(
        &mut self,
        service: &ServiceId,
        spec: BatchSpec,
        server: &ServerIncarnation,
        target_size: usize,
        started: &mut Vec<Duration>,
        now: Duration,
    ) -> Option<Batch> {
        let chosen = self.choose_pieces(service, spec, server, target_size, now);
        if chosen.is_empty() {
            return None;
        }
        started.extend(chosen.iter().map(|piece| {
            let job = &self.jobs[&piece.job];
            if job.is_late {
                Duration::MAX
            } else {
                job.scheduled_start(piece.stage)
            }
        }));
        let pool = self.pools.get_mut(service)?;
        let free_bytes = pool.free_bytes(server, now);
        let mut reserved_bytes = 0;
        let mut items = Vec::with_capacity(chosen.len());
        let mut pieces = Vec::with_capacity(chosen.len());
        for piece in &chosen {
            let job = self.jobs.get_mut(&piece.job)?;
            let Some(item) = job.batch_item(piece.stage, piece.piece, now) else {
                debug_assert!(false, "{piece:?} is queued without its inputs");
                continue;
            };
            job.mark_sent(piece.stage, now);
            items.push(item);
            let stage = &mut job.stages[piece.stage];
            if stage.timestamps.sent_at.is_none()
                && let Some((plan, admission)) = job.plan.as_ref().zip(self.admission.as_mut())
                && !job.is_late
            {
                let forecast = plan.stages[piece.stage];
                admission.record_start(
                    service,
                    job.spec.rank,
                    forecast,
                    stage.timestamps.queued_at.unwrap_or(now),
                    now,
                );
            }
            stage.pieces[piece.piece] = PieceState::Running;
            stage.timestamps.sent_at.get_or_insert(now);
            stage.timestamps.last_sent_at = now;
            let result_bytes = stage.spec.result_bytes;
            reserved_bytes += result_bytes;
            pieces.push(RunningPiece {
                piece: *piece,
                result_bytes,
            });
        }
        if items.is_empty() {
            return None;
        }
        pool.reserve(server, reserved_bytes);
        pool.record_send(server, now);
        let state = pool.servers.get_mut(server)?;
        let expected = spec
            .call_time_for(items.len())
            .mul_f64(state.slowness(now).max(1.0));
        state.calls += 1;
        state.busy_until = now + expected;
        let id = BatchId(self.next_batch);
        self.next_batch += 1;
        let batch = Batch {
            id,
            service: service.clone(),
            server: server.clone(),
            address: state.address,
            zone: state.zone.clone(),
            items,
            timeout: expected.mul_f64(TIMEOUT_FACTOR) + TIMEOUT_MARGIN,
        };
        let running = RunningBatch {
            service: service.clone(),
            server: server.clone(),
            address: batch.address,
            pieces,
            sent_at: now,
            free_bytes,
        };
        self.batches.insert(id, running);
        for piece in chosen {
            self.update_queues(piece.job);
        }
        Some(batch)
    }

    /// Pieces for one server, from the head of the queue.
    ///
    /// Guards against an owner that spends its time on searching: when servers are free but out of
    /// result storage, or the waiting stages are late or should wait for a server in another zone,
    /// each of the servers would search the whole queue at each event, the queue would grow
    /// meanwhile, and the owner would not recover from a burst. The search skips results that do
    /// not fit and examines a limited number of stages.
    fn choose_pieces(
        &mut self,
        service: &ServiceId,
        spec: BatchSpec,
        server: &ServerIncarnation,
        target_size: usize,
        now: Duration,
    ) -> Vec<PieceRef> {
        let pool = &self.pools[service];
        let Some(server_state) = pool.servers.get(server) else {
            return Vec::new();
        };
        let zones = ZoneAvailability::of(pool, spec, now);
        let mut spare_capacity = SpareCapacity::new(self, now);
        let mut free_bytes = pool.free_bytes(server, now);
        let mut chosen: Vec<PieceRef> = Vec::new();
        let mut ahead: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        let mut waiting = pool.queue.in_order();
        let mut examined = 0;
        while chosen.len() < target_size
            && examined < MAX_EXAMINED
            && let Some(entry) = waiting.next_within(free_bytes)
        {
            examined += 1;
            if entry.is_late && !spare_capacity.has_spare(service) {
                // All later entries are late as well.
                break;
            }
            let job = &self.jobs[&entry.job];
            if !job.spec.allowed_zones.contains(&server_state.zone) {
                continue;
            }
            let stage = &job.stages[entry.stage];
            let should_wait = self
                .preferred_zone(job, entry.stage)
                .is_some_and(|preferred| {
                    let ahead = ahead.entry(preferred).or_default();
                    let before = std::mem::replace(ahead, *ahead + stage.spec.pieces);
                    !job.is_late
                        && server_state.zone != *preferred
                        && zones.should_wait(preferred, before, stage.latest_start)
                });
            if should_wait
                || (job.is_late && !spare_capacity.all_have_spare(job))
                // The faster servers may be in zones that are not allowed.
                || (job.spec.allowed_zones.is_all()
                    && zones.is_faster_elsewhere(server_state, stage.latest_start, job.is_late))
            {
                continue;
            }
            let runs_alone = job.runs_alone();
            if runs_alone && !chosen.is_empty() {
                continue;
            }
            let pieces_left = spec.max_pieces - chosen.len();
            let pieces = fitting_pieces(entry, stage, pieces_left, &mut free_bytes);
            chosen.extend(pieces);
            if runs_alone && !chosen.is_empty() {
                break;
            }
        }
        self.examined_stages += u64::try_from(examined).unwrap_or(u64::MAX);
        chosen
    }

    /// Whether no on-time stage waits for a service, so that late jobs may start there.
    ///
    /// With admission by forecast, on-time jobs wait for later stages at any load, and nothing
    /// would be left for late ones if those were counted.
    fn has_no_on_time_work(&self, service: &ServiceId) -> bool {
        let queue = self.pools.get(service).map(|pool| &pool.queue);
        let first = queue.and_then(|queue| queue.in_order().next_within(u64::MAX));
        first.is_none_or(|entry| entry.is_late)
    }

    /// The availability zone in which computing a stage's pieces moves the fewest bytes; none for
    /// small results.
    fn preferred_zone<'a>(&'a self, job: &'a Job, stage: usize) -> Option<&'a ZoneId> {
        let spec = &job.stages[stage].spec;
        let output_bytes = spec.result_bytes * u64::try_from(spec.pieces).unwrap_or(0);
        let input_bytes = job.input_bytes(stage);
        if output_bytes.max(input_bytes) < LARGE_RESULT_BYTES {
            return None;
        }
        if output_bytes >= input_bytes {
            // Inputs of later stages may be stored anywhere: those stages follow them.
            let is_last = !job.has_dependents(stage);
            return is_last.then_some(&job.spec.reader_zone);
        }
        let source = job.input_server(stage)?;
        let mut pools = self.pools.values();
        let source = pools.find_map(|pool| pool.servers.get(source))?;
        Some(&source.zone)
    }
}

/// Pieces of a stage that go into one call, as many as fit: the next stage needs all of them.
fn fitting_pieces(
    entry: &Entry,
    stage: &StageState,
    max_pieces: usize,
    free_bytes: &mut u64,
) -> Vec<PieceRef> {
    let mut pieces = Vec::new();
    for piece in stage.waiting_pieces().take(max_pieces) {
        if entry.result_bytes > *free_bytes {
            break;
        }
        *free_bytes -= entry.result_bytes;
        pieces.push(PieceRef {
            job: entry.job,
            stage: entry.stage,
            piece,
        });
    }
    pieces
}

/// Which services have spare capacity for late requests, computed once per service.
struct SpareCapacity<'a> {
    batcher: &'a Batcher,
    now: Duration,
    known: BTreeMap<&'a ServiceId, bool>,
}

impl<'a> SpareCapacity<'a> {
    const fn new(batcher: &'a Batcher, now: Duration) -> Self {
        Self {
            batcher,
            now,
            known: BTreeMap::new(),
        }
    }

    fn has_spare(&mut self, service: &'a ServiceId) -> bool {
        let (batcher, now) = (self.batcher, self.now);
        *self.known.entry(service).or_insert_with(|| {
            if batcher.admission.is_some() {
                return batcher.has_no_on_time_work(service);
            }
            let spec = batcher.pools.get(service).and_then(|pool| pool.spec);
            let spare = spec.map_or(Duration::ZERO, |spec| {
                spec.call_time.mul_f64(SPARE_BACKLOG_FRACTION)
            });
            batcher.backlog(service, Duration::MAX, now) <= spare
        })
    }

    /// Whether all services of a late job have spare capacity.
    fn all_have_spare(&mut self, job: &'a Job) -> bool {
        let has_forecast = self.batcher.admission.is_some();
        let mut stages = job.stages.iter().enumerate();
        stages.all(|(index, stage)| {
            let is_later = has_forecast && stage.has_waiting() && !job.has_inputs(index);
            stage.spec.pieces == 0 || is_later || self.has_spare(&stage.spec.service)
        })
    }
}
