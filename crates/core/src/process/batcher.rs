//! Forms batches out of the pieces of many requests, for the servers of stage services.
//!
//! A call to such a server costs much by itself and little for each piece, and a server works on
//! one call at a time, so one owner takes the pieces of all entries' requests and gives each server
//! the next batch the moment it is free. The owner keeps the account of the servers' turns and of
//! the room for results: a result takes room at its maker from the start of the call until it is
//! freed. Intermediate results are freed once the stages that need them are done, the last ones
//! when the request lets go.
//!
//! Pieces go in the order of the latest start that still meets their request's aim. A request that
//! cannot meet it runs in what is left over; one that cannot be done at all is refused at once.
//! Large results are made in the availability zone of their reader where that is in time.
//!
//! Two owners at once break nothing: their calls meet at the servers, which refuse what is too
//! much, and a piece may be made twice.

mod ends;
mod estimate;
mod fill;
mod job;
mod kept;
mod late;
mod lives;
mod message;
mod near;
mod open_work;
mod pace;
mod pool_state;
mod queue;
mod route_worth;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{ServerIncarnation, ServiceId};
use crate::process::server_availability::ServerAvailability;
use crate::process::server_list::ServerRecord;
use crate::version::{BatchSpec, Routing};

#[doc(inline)]
pub use kept::RetainedResult;
#[doc(inline)]
pub use message::{
    Batch, BatchEnd, BatchId, BatchItem, DEFAULT_ENGINE_TIME, FreeRequest, JobEvent, JobFailure,
    JobId, JobRefusal, JobSpec, PieceEnd, PieceInput, StageSpec, StageTimes,
};

use job::{Job, PieceState, StageState};
use lives::ListedLives;
use open_work::OpenWork;
use pool_state::PoolState;
use queue::Entry;
use route_worth::RouteWorth;

/// How long a new owner takes the servers to be shared with the one before.
const TAKE_OVER: Duration = Duration::from_secs(1);

/// Forms batches and keeps the account of servers' turns and room.
#[derive(Debug, Default)]
pub struct Batcher {
    pools: BTreeMap<ServiceId, PoolState>,
    jobs: BTreeMap<JobId, Job>,
    batches: BTreeMap<BatchId, RunningBatch>,
    frees: BTreeMap<ServerIncarnation, FreeRequest>,
    events: Vec<JobEvent>,
    open_work: OpenWork,
    swept_at: Duration,
    next_job: u64,
    next_batch: u64,
    worth: RouteWorth,
    examined_stages: u64,
    /// Until when other owners may use the same servers.
    shared_until: Duration,
    is_stopping: bool,
}

#[derive(Debug)]
struct RunningBatch {
    service: ServiceId,
    server: ServerIncarnation,
    address: SocketAddr,
    pieces: Vec<RunningPiece>,
    sent_at: Duration,
    /// Room that the server was taken to have when the call was sent.
    free_bytes: u64,
}

/// A piece in a call with the room that it takes, which outlives its job.
#[derive(Debug, Clone, Copy)]
struct RunningPiece {
    piece: PieceRef,
    result_bytes: u64,
}

/// Names a piece of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PieceRef {
    job: JobId,
    stage: usize,
    piece: usize,
}

impl Batcher {
    /// A batcher that knows no service.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the services and their servers as they are now, each with what may be sent to it.
    pub fn set_servers<'a>(
        &mut self,
        routing: &Routing,
        servers: impl Iterator<Item = (&'a ServerRecord, ServerAvailability)>,
        now: Duration,
    ) {
        let specs: BTreeMap<ServiceId, BatchSpec> = routing
            .pools()
            .filter_map(|pool| Some((pool.service.clone(), pool.batch?)))
            .collect();
        for (service, spec) in &specs {
            let pool = self.pools.entry(service.clone()).or_default();
            pool.set_spec(*spec);
        }
        let mut listed: BTreeMap<&ServiceId, Vec<(&ServerRecord, ServerAvailability)>> =
            BTreeMap::new();
        let mut lives = ListedLives::new();
        for (server, server_availability) in servers {
            lives.insert(server.incarnation.id().clone(), server.incarnation.clone());
            if server_availability.is_usable()
                || server_availability == ServerAvailability::Evacuated
            {
                let of_service = listed.entry(&server.service).or_default();
                of_service.push((server, server_availability));
            }
        }
        for (service, pool) in &mut self.pools {
            let empty = Vec::new();
            pool.set_servers(listed.get(service).unwrap_or(&empty));
        }
        self.end_replaced(&lives, now);
    }

    /// Takes a request's work, or refuses what cannot be done in time.
    pub fn submit(&mut self, mut order: JobSpec, now: Duration) -> Result<JobId, JobRefusal> {
        if !order.is_well_formed() {
            return Err(JobRefusal {
                retry_after: Duration::ZERO,
                reason: JobFailure::Malformed,
            });
        }
        if self.jobs.is_empty() {
            // Another owner may have been at work until now.
            self.shared_until = self.shared_until.max(now + TAKE_OVER);
        }
        self.keep_usable(&mut order);
        let outlook = self.outlook(&order, now)?;
        let id = JobId(self.next_job);
        self.next_job += 1;
        let job = Job::new(order, outlook, now);
        self.jobs.insert(id, job);
        self.take_kept(id, now);
        self.advance(id, now);
        Ok(id)
    }

    /// Ends a job: what waits is dropped, what is made is freed.
    pub fn release(&mut self, id: JobId) {
        let Some(job) = self.forget(id) else {
            return;
        };
        for stage in job.stages.iter().filter(|stage| !stage.is_freed) {
            for piece in &stage.pieces {
                self.free_piece(&stage.order.service, stage.order.result_bytes, piece);
            }
        }
    }

    /// Results that may be dropped, by server, for servers that a function names.
    ///
    /// Their room counts as taken until [`Self::results_freed`] says that the server has dropped them.
    pub fn take_free_requests(
        &mut self,
        is_wanted: impl Fn(&ServerIncarnation) -> bool,
    ) -> Vec<FreeRequest> {
        let (taken, kept) = std::mem::take(&mut self.frees)
            .into_iter()
            .partition::<BTreeMap<_, _>, _>(|(server, _)| is_wanted(server));
        self.frees = kept;
        taken.into_values().collect()
    }

    /// Takes note that a server has dropped results, or never will know them again.
    pub fn results_freed(&mut self, frees: &FreeRequest) {
        if let Some(pool) = self.pools.get_mut(&frees.service) {
            pool.give_back(&frees.server, frees.total_bytes);
        }
    }

    /// What became of jobs since the last call.
    pub fn take_events(&mut self) -> Vec<JobEvent> {
        std::mem::take(&mut self.events)
    }

    /// Sends no more calls: what is open is for the next owner.
    pub const fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Sends calls again: there is no next owner.
    pub const fn resume(&mut self) {
        self.is_stopping = false;
    }

    /// Jobs to hand to the next owner after [`Self::stop`]: those that no call works on any more.
    ///
    /// What they had made stays at its servers, and nothing more is known of them here.
    pub fn hand_over(&mut self) -> Vec<JobId> {
        if !self.is_stopping {
            return Vec::new();
        }
        let is_idle = |job: &Job| !job.is_reported && !job.has_running();
        let idle = self.jobs.iter().filter(|(_, job)| is_idle(job));
        let idle: Vec<_> = idle.map(|(id, _)| *id).collect();
        for id in &idle {
            self.forget(*id);
        }
        idle
    }

    /// Takes a job out of the queues and of the account.
    fn forget(&mut self, id: JobId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        for stage in &job.stages {
            if let Some((entry, pool)) = stage.entry.zip(self.pools.get_mut(&stage.order.service)) {
                pool.queue.remove(&entry);
            }
        }
        Some(job)
    }

    /// Stages that wait for a server.
    #[must_use]
    pub fn queued_stages(&self) -> usize {
        self.pools.values().map(|pool| pool.queue.len()).sum()
    }

    /// Waiting stages that free servers have looked at since the start: what decisions cost.
    #[must_use]
    pub const fn examined_stages(&self) -> u64 {
        self.examined_stages
    }

    /// Jobs that are not released.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Puts the pieces of stages that can start in their services' queues.
    fn advance(&mut self, id: JobId, now: Duration) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for index in job.startable() {
            let stage = &mut job.stages[index];
            stage.is_queued = true;
            stage.clock.queued_at = now;
        }
        if job.is_done() && !job.is_reported {
            job.is_reported = true;
            let handles = job.last_results();
            let times = job.stages.iter().map(StageState::times).collect();
            self.events.push(JobEvent::Done(id, handles, times));
        }
        self.place_in_queues(id);
    }

    /// Puts a job's waiting stages where they now belong.
    fn place_in_queues(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for index in 0..job.stages.len() {
            let stage = &job.stages[index];
            let waits = stage.is_queued && !job.is_reported && stage.has_waiting();
            let entry = waits.then(|| Entry {
                is_late: job.is_late,
                place: job.place(index),
                job: id,
                stage: index,
                result_bytes: stage.order.result_bytes,
            });
            if entry == stage.entry {
                continue;
            }
            let pool = self.pools.entry(stage.order.service.clone()).or_default();
            if let Some(old) = &stage.entry {
                pool.queue.remove(old);
            }
            if let Some(new) = entry {
                pool.queue.insert(new);
            }
            job.stages[index].entry = entry;
        }
    }

    /// Frees the results of stages that nothing needs any more.
    fn free_used(&mut self, id: JobId, now: Duration) {
        let is_shared = self.shared_until > now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut freed = Vec::new();
        for index in job.used_up(now, is_shared) {
            let stage = &mut job.stages[index];
            stage.is_freed = true;
            self.events.push(JobEvent::ResultsDropped(id, index));
            let order = &stage.order;
            freed.push((
                order.service.clone(),
                order.result_bytes,
                stage.pieces.clone(),
            ));
        }
        for (service, result_bytes, pieces) in freed {
            for piece in &pieces {
                self.free_piece(&service, result_bytes, piece);
            }
        }
    }

    fn free_piece(&mut self, service: &ServiceId, result_bytes: u64, piece: &PieceState) {
        let PieceState::Made {
            handle,
            server,
            address,
        } = piece
        else {
            return;
        };
        let frees = self
            .frees
            .entry(server.clone())
            .or_insert_with(|| FreeRequest {
                server: server.clone(),
                address: *address,
                service: service.clone(),
                handles: Vec::new(),
                total_bytes: 0,
            });
        frees.handles.push(handle.clone());
        frees.total_bytes += result_bytes;
    }

    fn fail(&mut self, id: JobId, failure: JobFailure) {
        if let Some(job) = self.jobs.get_mut(&id)
            && !job.is_reported
        {
            job.is_reported = true;
            self.events.push(JobEvent::Failed(id, failure));
        }
        self.place_in_queues(id);
    }
}
