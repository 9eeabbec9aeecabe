//! Forms batches out of the pieces of many requests, for the servers of stage services.
//!
//! A call to such a server has a high fixed cost and a low cost per piece, and a server processes
//! one call at a time. So a single owner collects the pieces of all entries' requests and sends
//! each server its next batch as soon as the server is free. The owner tracks the servers' calls
//! and their result storage: a result occupies storage at the server that computes it from the
//! start of the call until it is freed. Intermediate results are freed once the stages that depend
//! on them are done, final ones when the request releases them.
//!
//! Pieces are sent in the order of the latest start that still meets their request's target
//! latency. A request that cannot meet it runs on spare capacity; one that cannot be completed at
//! all is refused at once. Large results are computed in the availability zone of their reader
//! where time allows.
//!
//! Two simultaneous owners are safe: their calls meet at the servers, which reject the excess, and
//! a piece may be computed twice.

mod admission;
mod ends;
mod estimate;
mod fill;
mod job;
mod late;
mod message;
mod pending_work;
mod pool_state;
mod queue;
mod restarts;
mod retained_result;
mod route_values;
mod scan_interval;
mod zone_availability;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{ServerIncarnation, ServiceId};
use crate::process::server_availability::ServerAvailability;
use crate::process::server_list::ServerRecord;
use crate::version::{BatchSpec, Routing};

#[doc(inline)]
pub use admission::{Bound, ProbeEnd, RefusedForecast};
#[doc(inline)]
pub use message::{
    Batch, BatchEnd, BatchId, BatchItem, DEFAULT_ENGINE_TIME, FreeRequest, JobEvent, JobFailure,
    JobId, JobRefusal, JobSpec, PieceEnd, PieceInput, StageSpec, StageTimes,
};
#[doc(inline)]
pub use retained_result::RetainedResult;

use admission::Admission;
use job::{Job, PieceState, StageState};
use pending_work::PendingWork;
use pool_state::PoolState;
use queue::Entry;
use restarts::ListedIncarnations;
use route_values::RouteValues;

/// Time after a takeover during which the previous owner may still use the servers.
const TAKEOVER_SHARING: Duration = Duration::from_secs(1);

/// Forms batches and tracks the servers' calls and result storage.
#[derive(Debug, Default)]
pub struct Batcher {
    pools: BTreeMap<ServiceId, PoolState>,
    jobs: BTreeMap<JobId, Job>,
    batches: BTreeMap<BatchId, RunningBatch>,
    free_requests: BTreeMap<ServerIncarnation, FreeRequest>,
    events: Vec<JobEvent>,
    pending_work: PendingWork,
    swept_at: Duration,
    next_job: u64,
    next_batch: u64,
    route_values: RouteValues,
    examined_stages: u64,
    /// Until when another owner may be using the same servers.
    shared_until: Duration,
    is_stopping: bool,
    /// Whether slow servers get fewer pieces in a call.
    is_paced: bool,
    /// State of admission by forecast, if it is enabled.
    admission: Option<Admission>,
}

#[derive(Debug)]
struct RunningBatch {
    service: ServiceId,
    server: ServerIncarnation,
    address: SocketAddr,
    pieces: Vec<RunningPiece>,
    sent_at: Duration,
    /// Free result storage that was assumed at the server when the call was sent.
    free_bytes: u64,
}

/// A piece in a call with the storage reserved for its result, which may outlive its job.
#[derive(Debug, Clone, Copy)]
struct RunningPiece {
    piece: PieceRef,
    result_bytes: u64,
}

/// Identifies a piece of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PieceRef {
    job: JobId,
    stage: usize,
    piece: usize,
}

impl Batcher {
    /// A batcher without services.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether calls to slow servers get fewer pieces.
    #[must_use]
    pub const fn with_paced_calls(mut self, is_paced: bool) -> Self {
        self.is_paced = is_paced;
        self
    }

    /// Sets whether jobs are admitted by a forecast of their whole path.
    #[must_use]
    pub fn with_forecast(mut self, is_enabled: bool) -> Self {
        self.admission = is_enabled.then(Admission::default);
        self
    }

    /// Replaces the services and their servers, each with its availability.
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
        let mut incarnations = ListedIncarnations::new();
        for (server, server_availability) in servers {
            incarnations.insert(server.incarnation.id().clone(), server.incarnation.clone());
            if server_availability.is_usable_in_time()
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
        self.end_replaced_incarnations(&incarnations, now);
    }

    /// Accepts a job, or refuses one that cannot be completed in time.
    pub fn submit(&mut self, mut spec: JobSpec, now: Duration) -> Result<JobId, JobRefusal> {
        if !spec.is_well_formed() {
            return Err(JobRefusal::new(JobFailure::Malformed, Duration::ZERO));
        }
        if self.jobs.is_empty() {
            // Another owner may have been active until now.
            self.shared_until = self.shared_until.max(now + TAKEOVER_SHARING);
        }
        self.retain_usable(&mut spec);
        let estimate = self.estimate(&spec, now)?;
        let id = JobId(self.next_job);
        self.next_job += 1;
        let job = Job::new(spec, estimate, now);
        self.jobs.insert(id, job);
        self.adopt_retained(id, now);
        self.count_admitted(id);
        self.advance(id, now);
        Ok(id)
    }

    /// Ends a job: discards its waiting pieces and frees its results.
    pub fn release(&mut self, id: JobId) {
        let Some(job) = self.remove_job(id) else {
            return;
        };
        for stage in job.stages.iter().filter(|stage| !stage.is_freed) {
            for piece in &stage.pieces {
                self.free_piece(&stage.spec.service, stage.spec.result_bytes, piece);
            }
        }
    }

    /// Removes and returns the requests to free results, for the servers that the predicate
    /// selects.
    ///
    /// The results count as stored until [`Self::results_freed`] confirms that the server has freed
    /// them.
    pub fn take_free_requests(
        &mut self,
        is_wanted: impl Fn(&ServerIncarnation) -> bool,
    ) -> Vec<FreeRequest> {
        let (wanted, others) = std::mem::take(&mut self.free_requests)
            .into_iter()
            .partition::<BTreeMap<_, _>, _>(|(server, _)| is_wanted(server));
        self.free_requests = others;
        wanted.into_values().collect()
    }

    /// Records that a server has freed results, or that the incarnation that stored them is gone.
    pub fn results_freed(&mut self, request: &FreeRequest) {
        if let Some(pool) = self.pools.get_mut(&request.service) {
            pool.release(&request.server, request.total_bytes);
        }
    }

    /// Job events since the last call.
    pub fn take_events(&mut self) -> Vec<JobEvent> {
        std::mem::take(&mut self.events)
    }

    /// Stops sending calls, so that unfinished jobs can be handed to the next owner.
    pub const fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Resumes sending calls, as no other owner takes over.
    pub const fn resume(&mut self) {
        self.is_stopping = false;
    }

    /// Jobs to hand to the next owner after [`Self::stop`]: those with no call in flight.
    ///
    /// Their results stay at the servers, and the batcher forgets the jobs.
    pub fn hand_over(&mut self) -> Vec<JobId> {
        if !self.is_stopping {
            return Vec::new();
        }
        let is_idle = |job: &Job| !job.is_reported && !job.has_running();
        let idle = self.jobs.iter().filter(|(_, job)| is_idle(job));
        let idle: Vec<_> = idle.map(|(id, _)| *id).collect();
        for id in &idle {
            self.remove_job(*id);
        }
        idle
    }

    /// Removes a job from the queues.
    fn remove_job(&mut self, id: JobId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        for stage in &job.stages {
            if let Some((entry, pool)) = stage.entry.zip(self.pools.get_mut(&stage.spec.service)) {
                pool.queue.remove(&entry);
            }
        }
        Some(job)
    }

    /// Number of stages that wait for a server.
    #[must_use]
    pub fn queued_stages(&self) -> usize {
        self.pools.values().map(|pool| pool.queue.len()).sum()
    }

    /// Waiting stages that were examined for free servers since the start: a measure of scheduling
    /// cost.
    #[must_use]
    pub const fn examined_stages(&self) -> u64 {
        self.examined_stages
    }

    /// Number of jobs that are not released.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Queues the pieces of stages whose inputs are stored, and those of lost inputs.
    fn advance(&mut self, id: JobId, now: Duration) {
        self.recompute_lost_inputs(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.record_queued(now);
        if job.is_done() && !job.is_reported {
            job.is_reported = true;
            let handles = job.final_results();
            let times = job.stages.iter().map(StageState::times).collect();
            self.events.push(JobEvent::Done(id, handles, times));
        }
        self.update_queues(id);
    }

    /// Moves a job's waiting stages to their current positions in the queues.
    fn update_queues(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for index in 0..job.stages.len() {
            let stage = &job.stages[index];
            let waits = !job.is_reported && job.is_ready(index);
            let entry = waits.then(|| Entry {
                is_late: job.is_late,
                scheduled_start: job.scheduled_start(index),
                job: id,
                stage: index,
                result_bytes: stage.spec.result_bytes,
            });
            if entry == stage.entry {
                continue;
            }
            let pool = self.pools.entry(stage.spec.service.clone()).or_default();
            if let Some(old) = &stage.entry {
                pool.queue.remove(old);
            }
            if let Some(new) = entry {
                pool.queue.insert(new);
            }
            job.stages[index].entry = entry;
        }
    }

    /// Frees the results of stages that no other stage needs any more.
    fn free_unneeded(&mut self, id: JobId, now: Duration) {
        let is_shared = self.shared_until > now;
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for index in job.unneeded_stages(now, is_shared) {
            self.free_stage(id, index);
        }
    }

    /// Frees the results of a completed stage.
    fn free_stage(&mut self, id: JobId, index: usize) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let stage = &mut job.stages[index];
        stage.is_freed = true;
        let (service, result_bytes) = (stage.spec.service.clone(), stage.spec.result_bytes);
        let pieces = stage.pieces.clone();
        self.events.push(JobEvent::ResultsDropped(id, index));
        for piece in &pieces {
            self.free_piece(&service, result_bytes, piece);
        }
    }

    fn free_piece(&mut self, service: &ServiceId, result_bytes: u64, piece: &PieceState) {
        let PieceState::Completed {
            handle,
            server,
            address,
        } = piece
        else {
            return;
        };
        let request = self
            .free_requests
            .entry(server.clone())
            .or_insert_with(|| FreeRequest {
                server: server.clone(),
                address: *address,
                service: service.clone(),
                handles: Vec::new(),
                total_bytes: 0,
            });
        request.handles.push(handle.clone());
        request.total_bytes += result_bytes;
    }

    fn fail(&mut self, id: JobId, failure: JobFailure) {
        if let Some(job) = self.jobs.get_mut(&id)
            && !job.is_reported
        {
            job.is_reported = true;
            self.events.push(JobEvent::Failed(id, failure));
        }
        self.update_queues(id);
    }
}
