//! What is said to an owner of batches, and what it tells.

use std::net::SocketAddr;

use amaranthscale_core::id::{ResultHandle, ServerIncarnation};
use amaranthscale_core::process::{
    BatchEnd, BatchId, FreeRequest, JobFailure, JobId, JobSpec, RetainedResult, ServerLoad,
};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// What a job came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// All pieces are made.
    Done(Vec<ResultHandle>),
    /// The job was not taken; nothing of it was begun.
    Refused {
        /// Milliseconds after which there may be place.
        retry_after_ms: u64,
        /// Why.
        reason: JobFailure,
    },
    /// The job was given up.
    Failed(JobFailure),
    /// This gateway is about to stop and takes no jobs.
    Stopping,
}

/// What an owner tells of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobUpdate {
    /// Some of its pieces are made.
    Made(Vec<RetainedResult>),
    /// A call with some of its pieces was cut off at a server.
    CutOff {
        /// The server.
        server: ServerIncarnation,
        /// Where it listened.
        address: SocketAddr,
    },
    /// What was made of a stage is there no more.
    Dropped(usize),
    /// What it came to; nothing follows.
    Ended(JobOutcome),
}

/// Where a job comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobSource {
    /// A request at this gateway, for which no other gateway is left to ask.
    Local,
    /// Another gateway, which can ask the next owner.
    Peer,
}

/// Messages to the owner of the batches.
#[derive(Debug)]
pub enum BatchOwnerMessage {
    /// Takes a job.
    Submit(Submission),
    /// Ends a job and frees its results.
    Release(JobId),
    /// A call has ended.
    Ended(BatchId, BatchEnd, Option<ServerLoad>),
    /// A call that frees results has ended.
    Freed(FreeRequest),
    /// Routing or servers have changed.
    Changed,
    /// Looks at what waits; names when that was due.
    Look(Instant),
    /// Takes no more jobs.
    Stop,
}

/// A job on its way to its owner.
#[derive(Debug)]
pub struct Submission {
    /// What is to be made.
    pub order: JobSpec,
    /// Tells the sender the job's id at once.
    pub id: oneshot::Sender<JobId>,
    /// Tells what becomes of it by and by.
    pub updates: mpsc::UnboundedSender<JobUpdate>,
    /// Where it comes from.
    pub source: JobSource,
    /// When it arrived at this process.
    pub arrived: Instant,
}
