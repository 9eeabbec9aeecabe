//! Gives free servers their next batches.

use std::collections::BTreeMap;
use std::time::Duration;

use super::job::{Job, LARGE_RESULT_BYTES, PieceState, StageState};
use super::near::NearServers;
use super::pace::paced;
use super::pool_state::PoolState;
use super::queue::Entry;
use super::{Batch, BatchId, Batcher, JobFailure, PieceRef, RunningBatch, RunningPiece};
use crate::id::{ServerIncarnation, ServiceId, ZoneId};
use crate::version::BatchSpec;

/// Times the expected time of a call after which it is given up.
const PATIENCE_FACTOR: f64 = 2.5;
/// Time that is always waited beyond the expected one.
const PATIENCE_MARGIN: Duration = Duration::from_millis(400);
/// Backlog of a service, as a part of a call, up to which late requests may begin there.
const SPARE_PART: f64 = 0.5;

/// Waiting stages that one free server looks at. A call holds some tens of pieces, so what stands
/// behind hundreds of more urgent stages that all wait for another server seldom goes before them.
const MOST_LOOKED_AT: usize = 1024;

/// Time between two looks at all jobs, at least.
const SWEEP: Duration = Duration::from_millis(20);

impl Batcher {
    /// Batches to send now.
    pub fn next_batches(&mut self, now: Duration) -> Vec<Batch> {
        if self.is_stopping {
            return Vec::new();
        }
        if now.saturating_sub(self.swept_at) >= paced(SWEEP, self.jobs.len()) {
            self.swept_at = now;
            self.sweep(now);
        }
        let has_work = |pool: &PoolState| !pool.queue.is_empty() && pool.has_free(now);
        let ready = self.pools.iter().filter(|(_, pool)| has_work(pool));
        let services: Vec<_> = ready.map(|(service, _)| service.clone()).collect();
        if services.is_empty() {
            return Vec::new();
        }
        self.open_work.refresh(self.jobs.values(), now);
        services
            .iter()
            .flat_map(|service| self.batches_of(service, now))
            .collect()
    }

    /// Looks at all jobs: what is expired, late, or has results that nothing needs.
    fn sweep(&mut self, now: Duration) {
        self.fail_evacuated();
        self.fail_expired(now);
        let jobs: Vec<_> = self.jobs.keys().copied().collect();
        for id in jobs {
            self.free_used(id, now);
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.grow_late(now) {
                self.place_in_queues(id);
            }
        }
        self.give_up_hopeless(now);
    }

    /// Ends jobs with pieces that no server may make.
    ///
    /// Guards against callers held in vain: nothing says when a zone is taken back, and one that
    /// is told at once may come back in time.
    fn fail_evacuated(&mut self) {
        let evacuated = self.pools.iter().filter(|(_, pool)| pool.is_evacuated());
        let evacuated: Vec<_> = evacuated.map(|(service, _)| service.clone()).collect();
        if evacuated.is_empty() {
            return;
        }
        let is_stuck = |job: &Job| {
            let mut open = job.stages.iter().filter(|stage| stage.has_waiting());
            !job.is_reported && open.any(|stage| evacuated.contains(&stage.order.service))
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
                // What has little behind it needs most of its path, and is not held long in vain.
                job.held_until <= now || job.deadline_at <= now + job.path_time
            };
            is_over && !job.is_reported
        };
        let jobs = self.jobs.iter().filter(|(_, job)| is_expired(job));
        let expired: Vec<_> = jobs.map(|(id, _)| *id).collect();
        for id in expired {
            self.fail(id, JobFailure::Late);
        }
    }

    fn batches_of(&mut self, service: &ServiceId, now: Duration) -> Vec<Batch> {
        let Some((pool, spec)) = self.pools.get(service).and_then(|p| Some((p, p.spec?))) else {
            return Vec::new();
        };
        let free = pool.free(now);
        let mut free: Vec<_> = free
            .map(|(life, server)| (server.slowness(now), life.clone()))
            .collect();
        free.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let least = pool.least_share(spec, now);
        let mut startable = self.startable(pool, spec.max_pieces.max(1) * free.len());
        let mut batches = Vec::new();
        for (index, (_, server)) in free.iter().enumerate() {
            let others = free.len() - index;
            // A call's length grows with its pieces, so free servers share what waits, as far as all
            // servers together then still make what arrives.
            let share = startable.div_ceil(others).max(least);
            let share = share.clamp(1, spec.max_pieces.max(1));
            if let Some(batch) = self.batch_for(service, spec, server, share, now) {
                startable = startable.saturating_sub(batch.items.len());
                batches.push(batch);
            }
        }
        batches
    }

    /// Pieces that wait, as far as so many are of use.
    fn startable(&self, pool: &PoolState, enough: usize) -> usize {
        let mut waiting = pool.queue.in_order();
        let mut startable = 0;
        while startable < enough
            && let Some(entry) = waiting.next_within(u64::MAX)
        {
            let stage = &self.jobs[&entry.job].stages[entry.stage];
            startable += stage.waiting_pieces().count();
        }
        startable
    }

    /// Forms one server's batch from the front of the queue.
    fn batch_for(
        &mut self,
        service: &ServiceId,
        spec: BatchSpec,
        server: &ServerIncarnation,
        share: usize,
        now: Duration,
    ) -> Option<Batch> {
        let chosen = self.choose(service, spec, server, share, now);
        if chosen.is_empty() {
            return None;
        }
        let pool = self.pools.get_mut(service)?;
        let free_bytes = pool.free_bytes(server, now);
        let mut reserved_bytes = 0;
        let mut items = Vec::with_capacity(chosen.len());
        let mut pieces = Vec::with_capacity(chosen.len());
        for piece in &chosen {
            let job = self.jobs.get_mut(&piece.job)?;
            job.start(piece.stage, now);
            items.push(job.item(piece.stage, piece.piece, now));
            let stage = &mut job.stages[piece.stage];
            stage.pieces[piece.piece] = PieceState::Running;
            stage.clock.sent_at.get_or_insert(now);
            stage.clock.last_sent_at = now;
            let result_bytes = stage.order.result_bytes;
            reserved_bytes += result_bytes;
            pieces.push(RunningPiece {
                piece: *piece,
                result_bytes,
            });
        }
        pool.reserve(server, reserved_bytes);
        pool.count_send(server, now);
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
            timeout: expected.mul_f64(PATIENCE_FACTOR) + PATIENCE_MARGIN,
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
            self.place_in_queues(piece.job);
        }
        Some(batch)
    }

    /// Pieces for one server, from the front of the queue.
    ///
    /// Guards against an owner whose time goes into looking: when servers are free but out of
    /// room, or what waits is late or had better wait for a near server, each of them would look at
    /// the whole queue at each event, the queue would grow by that, and the owner would not come
    /// back from a burst. A look passes over what cannot fit and ends after a fixed number.
    fn choose(
        &mut self,
        service: &ServiceId,
        spec: BatchSpec,
        server: &ServerIncarnation,
        share: usize,
        now: Duration,
    ) -> Vec<PieceRef> {
        let pool = &self.pools[service];
        let Some(maker) = pool.servers.get(server) else {
            return Vec::new();
        };
        let near = NearServers::of(pool, spec, now);
        let mut with_spare = SpareServices::new(self, now);
        let mut free_bytes = pool.free_bytes(server, now);
        let mut chosen: Vec<PieceRef> = Vec::new();
        let mut ahead: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        let mut waiting = pool.queue.in_order();
        let mut looked_at = 0;
        while chosen.len() < share
            && looked_at < MOST_LOOKED_AT
            && let Some(entry) = waiting.next_within(free_bytes)
        {
            looked_at += 1;
            if entry.is_late && !with_spare.has(service) {
                // All that follows is late as well.
                break;
            }
            let job = &self.jobs[&entry.job];
            let stage = &job.stages[entry.stage];
            let is_for_another = self.home_zone(job, entry.stage).is_some_and(|home| {
                let ahead = ahead.entry(home).or_default();
                let before = std::mem::replace(ahead, *ahead + stage.order.pieces);
                !job.is_late && maker.zone != *home && near.wait(home, before, stage.latest_start)
            });
            if is_for_another
                || (job.is_late && !with_spare.has_all(job))
                || near.are_faster(maker, stage.latest_start, job.is_late)
            {
                continue;
            }
            let goes_alone = job.goes_alone();
            if goes_alone && !chosen.is_empty() {
                continue;
            }
            let left = spec.max_pieces - chosen.len();
            let pieces = fitting_pieces(entry, stage, left, &mut free_bytes);
            chosen.extend(pieces);
            if goes_alone && !chosen.is_empty() {
                break;
            }
        }
        self.examined_stages += u64::try_from(looked_at).unwrap_or(u64::MAX);
        chosen
    }

    /// The availability zone in which a stage's pieces move the fewest bytes, if it matters.
    fn home_zone<'a>(&'a self, job: &'a Job, stage: usize) -> Option<&'a ZoneId> {
        let order = &job.stages[stage].order;
        let output_bytes = order.result_bytes * u64::try_from(order.pieces).unwrap_or(0);
        let input_bytes = job.input_bytes(stage);
        if output_bytes.max(input_bytes) < LARGE_RESULT_BYTES {
            return None;
        }
        if output_bytes >= input_bytes {
            // Results for later stages may lie anywhere: those stages follow them.
            let is_last = !job.is_needed(stage);
            return is_last.then_some(&job.order.reader_zone);
        }
        let maker = job.input_server(stage)?;
        let mut pools = self.pools.values();
        let maker = pools.find_map(|pool| pool.servers.get(maker))?;
        Some(&maker.zone)
    }
}

/// Pieces of a stage that go into a call, together as far as they fit: the next stage waits for all.
fn fitting_pieces(
    entry: &Entry,
    stage: &StageState,
    most: usize,
    free_bytes: &mut u64,
) -> Vec<PieceRef> {
    let mut pieces = Vec::new();
    for piece in stage.waiting_pieces().take(most) {
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

/// Which services have time to spare for late requests, asked once a service.
struct SpareServices<'a> {
    batcher: &'a Batcher,
    now: Duration,
    known: BTreeMap<&'a ServiceId, bool>,
}

impl<'a> SpareServices<'a> {
    const fn new(batcher: &'a Batcher, now: Duration) -> Self {
        Self {
            batcher,
            now,
            known: BTreeMap::new(),
        }
    }

    fn has(&mut self, service: &'a ServiceId) -> bool {
        let (batcher, now) = (self.batcher, self.now);
        *self.known.entry(service).or_insert_with(|| {
            let spec = batcher.pools.get(service).and_then(|pool| pool.spec);
            let spare = spec.map_or(Duration::ZERO, |spec| spec.call_time.mul_f64(SPARE_PART));
            batcher.backlog(service, Duration::MAX, now) <= spare
        })
    }

    /// Whether all services of a late job have time to spare.
    fn has_all(&mut self, job: &'a Job) -> bool {
        let mut stages = job.stages.iter();
        stages.all(|stage| stage.order.pieces == 0 || self.has(&stage.order.service))
    }
}
