//! Gives free servers their next batches.

use std::collections::BTreeMap;
use std::time::Duration;

use super::job::{Job, LARGE_RESULT_BYTES, PieceState};
use super::pace::paced;
use super::pool_state::{PoolState, StageServer};
use super::{Batch, BatchId, Batcher, JobFailure, PieceRef, RunningBatch, RunningPiece};
use crate::id::{ServerLife, ServiceId, ZoneId};
use crate::version::BatchSpec;

/// Times the expected time of a call after which it is given up.
const PATIENCE_FACTOR: f64 = 2.5;
/// Time that is always waited beyond the expected one.
const PATIENCE_MARGIN: Duration = Duration::from_millis(400);
/// Part of a piece's slack that it may wait for a near server: the later stages need the rest.
const NEAR_SLACK_PART: f64 = 0.5;
/// Slowness from which a server gets only what no other server could do in time.
const SLOW: f64 = 1.6;

/// Backlog of a service, as a part of a call, up to which late requests may begin there.
const SPARE_PART: f64 = 0.5;

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
        let mut batches = Vec::new();
        let Some(pool) = self.pools.get(service) else {
            return batches;
        };
        let Some(spec) = pool.spec else {
            return batches;
        };
        let mut free: Vec<ServerLife> = pool.free(now).map(|(id, _)| id.clone()).collect();
        let slowness = |pool: &PoolState, id: &ServerLife| {
            pool.servers
                .get(id)
                .map_or(1.0, |server| server.slowness(now))
        };
        let pool = &self.pools[service];
        free.sort_by(|a, b| slowness(pool, a).total_cmp(&slowness(pool, b)));
        for (index, server) in free.iter().enumerate() {
            let others = free.len() - index;
            if let Some(batch) = self.batch_for(service, spec, server, others, now) {
                batches.push(batch);
            }
        }
        batches
    }

    /// Forms one server's batch from the front of the queue.
    fn batch_for(
        &mut self,
        service: &ServiceId,
        spec: BatchSpec,
        server: &ServerLife,
        free_servers: usize,
        now: Duration,
    ) -> Option<Batch> {
        let chosen = self.choose(service, spec, server, free_servers, now);
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
        let state = pool.servers.get_mut(server)?;
        let expected = spec
            .time_of(items.len())
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
            patience: expected.mul_f64(PATIENCE_FACTOR) + PATIENCE_MARGIN,
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

    fn choose(
        &self,
        service: &ServiceId,
        spec: BatchSpec,
        server: &ServerLife,
        free_servers: usize,
        now: Duration,
    ) -> Vec<PieceRef> {
        let pool = &self.pools[service];
        let Some(maker) = pool.servers.get(server) else {
            return Vec::new();
        };
        let free_bytes = pool.free_bytes(server, now);
        let share = self.share(pool, spec, free_servers, now);
        let mut chosen: Vec<PieceRef> = Vec::new();
        let mut taken_bytes = 0;
        let mut ahead: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        for entry in pool.queue.iter() {
            if chosen.len() >= share {
                break;
            }
            let job = &self.jobs[&entry.job];
            let stage = &job.stages[entry.stage];
            if stage.not_before > now {
                continue;
            }
            let result_bytes = stage.order.result_bytes;
            let home = self.home_zone(job, entry.stage);
            let ahead = home.map(|home| ahead.entry(home).or_default());
            let is_for_another = home.is_some_and(|home| {
                let before = ahead.as_deref().copied().unwrap_or(0);
                !job.is_late
                    && maker.zone != *home
                    && waits_for_near(pool, spec, home, before, stage.latest_start, now)
            });
            let has_place = !is_for_another
                && (!job.is_late || self.has_spare(job, now))
                && !is_too_slow(pool, spec, maker, stage.latest_start, job.is_late, now);
            if let Some(ahead) = ahead {
                *ahead += stage.order.pieces;
            }
            if !has_place {
                continue;
            }
            // A stage's pieces stay together: the next stage waits for all of them.
            for piece in stage.waiting_pieces() {
                if chosen.len() >= spec.max_pieces || taken_bytes + result_bytes > free_bytes {
                    break;
                }
                taken_bytes += result_bytes;
                chosen.push(PieceRef {
                    job: entry.job,
                    stage: entry.stage,
                    piece,
                });
            }
        }
        chosen
    }

    /// Pieces that one of the free servers takes: a call's length grows with its pieces.
    fn share(
        &self,
        pool: &PoolState,
        spec: BatchSpec,
        free_servers: usize,
        now: Duration,
    ) -> usize {
        let enough = spec.max_pieces.max(1) * free_servers;
        let mut startable = 0;
        for entry in pool.queue.iter() {
            let stage = &self.jobs[&entry.job].stages[entry.stage];
            if stage.not_before <= now {
                startable += stage.waiting_pieces().count();
            }
            if startable >= enough {
                break;
            }
        }
        startable
            .div_ceil(free_servers.max(1))
            .clamp(1, spec.max_pieces.max(1))
    }

    /// Whether all services of a late job have time to spare.
    fn has_spare(&self, job: &Job, now: Duration) -> bool {
        job.stages.iter().all(|stage| {
            let pool = self.pools.get(&stage.order.service);
            let spec = pool.and_then(|pool| pool.spec);
            let spare = spec.map_or(Duration::ZERO, |spec| spec.call_time.mul_f64(SPARE_PART));
            stage.order.pieces == 0
                || self.backlog(&stage.order.service, Duration::MAX, now) <= spare
        })
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

/// Whether a piece had better wait for a server in the availability zone that it belongs in.
fn waits_for_near(
    pool: &PoolState,
    spec: BatchSpec,
    home: &ZoneId,
    ahead: usize,
    latest_start: Duration,
    now: Duration,
) -> bool {
    let near = pool.in_use(now).filter(|(_, server)| server.zone == *home);
    let usable = near.filter(|(_, server)| server.slowness(now) < SLOW);
    let free_at: Vec<_> = usable
        .map(|(_, server)| server.busy_until.max(now))
        .collect();
    let Some(first_free_at) = free_at.iter().min() else {
        return false;
    };
    let calls_ahead = ahead / (spec.max_pieces.max(1) * free_at.len());
    let call = spec.time_of(spec.max_pieces);
    let queue = call.saturating_mul(u32::try_from(calls_ahead).unwrap_or(u32::MAX));
    let slack = latest_start.saturating_sub(now);
    *first_free_at + queue <= now + slack.mul_f64(NEAR_SLACK_PART)
}

/// Whether a slow server would make a piece late that a usual one would not.
fn is_too_slow(
    pool: &PoolState,
    spec: BatchSpec,
    server: &StageServer,
    latest_start: Duration,
    is_late: bool,
    now: Duration,
) -> bool {
    let slowness = server.slowness(now);
    if slowness < SLOW || is_late {
        return false;
    }
    let is_usual = |other: &StageServer| other.slowness(now) < SLOW;
    let has_usual = pool.in_use(now).any(|(_, other)| is_usual(other));
    let extra = spec.time_of(spec.max_pieces / 2).mul_f64(slowness - 1.0);
    has_usual && now + extra > latest_start
}
