//! Messages to and from a batch owner.

use std::net::SocketAddr;

use amaranthscale_core::id::{ResultHandle, ServerIncarnation};
use amaranthscale_core::process::{
    BatchEnd, BatchId, FreeRequest, JobFailure, JobId, JobSpec, RetainedResult, ServerLoad,
};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::JobGuard;

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// All results are computed.
    Done(Vec<ResultHandle>),
    /// The job was not accepted; nothing of it was begun.
    Refused {
        /// Milliseconds after which to retry.
        retry_after_ms: u64,
        /// Reason.
        reason: JobFailure,
    },
    /// The job was abandoned.
    Failed(JobFailure),
    /// The owner's gateway is stopping and accepts no jobs.
    Stopping,
}

/// Progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobUpdate {
    /// Some of its results are computed.
    Made(Vec<RetainedResult>),
    /// The connection to a server ended during a call with some of its pieces.
    CutOff {
        /// The server.
        server: ServerIncarnation,
        /// The server's address.
        address: SocketAddr,
    },
    /// The results of a stage are no longer available.
    Dropped(usize),
    /// The outcome; no further update follows.
    Ended(JobOutcome),
}

impl JobUpdate {
    /// The owner has admitted the job.
    ///
    /// No results yet, so that gateways of earlier versions understand it.
    #[must_use]
    pub const fn admitted() -> Self {
        Self::Made(Vec::new())
    }

    /// Whether it only says that the owner has admitted the job.
    #[must_use]
    pub const fn is_admitted(&self) -> bool {
        matches!(self, Self::Made(results) if results.is_empty())
    }
}

/// Origin of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobSource {
    /// A request at this gateway, which has no other owner to try.
    Local,
    /// Another gateway, which can try the next owner.
    Peer,
}

/// Messages to a batch owner.
#[derive(Debug)]
pub enum BatchOwnerMessage {
    /// Submits a job.
    Submit(Submission),
    /// Ends a job and frees its results.
    Release(JobId),
    /// A batch call has ended.
    CallEnded(BatchId, BatchEnd, Option<ServerLoad>),
    /// A call that frees results has ended.
    ResultsFreed(FreeRequest),
    /// Routing or servers have changed.
    ClusterChanged,
    /// Processes queued work; carries the time at which that was due.
    Tick(Instant),
    /// Accepts no more jobs of other gateways.
    Stop,
}

/// A job on its way to its owner.
#[derive(Debug)]
pub struct Submission {
    /// The job's stages and deadlines.
    pub spec: JobSpec,
    /// Receives the job once it is accepted; without a receiver the job is released.
    pub accepted: oneshot::Sender<JobGuard>,
    /// Receives the job's updates.
    pub updates: mpsc::UnboundedSender<JobUpdate>,
    /// Origin of the job.
    pub source: JobSource,
    /// When the job arrived at this process.
    pub arrived_at: Instant,
}
