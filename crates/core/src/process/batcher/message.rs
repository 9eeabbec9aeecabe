//! Input and output types of the batcher.

use std::net::SocketAddr;
use std::time::Duration;

use super::{RefusedForecast, RetainedResult};
use crate::id::{
    CallId, OrganisationId, ResultHandle, RouteId, ServerIncarnation, ServiceId, ZoneId,
};
use crate::process::{AllowedZones, Cell, Rank};

/// Identifies a job of the batcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub(super) u64);

/// Identifies a call to a stage server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub(super) u64);

/// The pieces of one stage of a request.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StageSpec {
    /// Service that computes them.
    pub service: ServiceId,
    /// Stages whose results they depend on.
    #[serde(rename = "after")]
    pub depends_on: Vec<usize>,
    /// Number of pieces; with none, the stage is skipped.
    pub pieces: usize,
    /// Typical size of one result.
    pub result_bytes: u64,
}

impl StageSpec {
    /// Storage that the results of some of its pieces occupy.
    pub(super) fn waiting_bytes(&self, pieces: usize) -> u64 {
        let pieces = u64::try_from(pieces).unwrap_or(u64::MAX);
        self.result_bytes.saturating_mul(pieces)
    }
}

/// The work that is done before a request runs at its engine.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JobSpec {
    /// Id of the caller's call.
    pub call: CallId,
    /// Route of the request.
    pub route: RouteId,
    /// Cell that computes its pieces.
    pub cell: Cell,
    /// Key from which the first stages compute their pieces.
    pub piece_key: String,
    /// All stages of the route, in order.
    pub stages: Vec<StageSpec>,
    /// Its urgency relative to others.
    pub rank: Rank,
    /// Organisation of the caller, if its key names one.
    #[serde(default)]
    pub organisation: Option<OrganisationId>,
    /// Whether an earlier owner admitted it.
    #[serde(default)]
    pub was_admitted: bool,
    /// Value of the answer relative to others, in tokens of engine work; 0 if not known.
    #[serde(rename = "worth_tokens")]
    pub value_tokens: u64,
    /// Time from the start of the call within which the answer has its full value.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "aim_ms")]
    pub target_latency: Duration,
    /// Remaining time to the target latency.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "aim_left_ms")]
    pub target_latency_left: Duration,
    /// Remaining time to the deadline, after which the results have no value.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_left_ms")]
    pub deadline_left: Duration,
    /// Expected time from the results to the engine's first event.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "engine_ms", default = "default_engine_time")]
    pub engine_time: Duration,
    /// Availability zone of the engine that reads the final results.
    pub reader_zone: ZoneId,
    /// Availability zones whose servers may compute its pieces.
    #[serde(default)]
    #[serde(skip_serializing_if = "AllowedZones::is_all")]
    pub allowed_zones: AllowedZones,
    /// Results that were computed under an earlier owner.
    #[serde(default)]
    #[serde(rename = "kept")]
    pub retained: Vec<RetainedResult>,
}

/// Expected time to an engine's first event until measured times are available.
pub const DEFAULT_ENGINE_TIME: Duration = Duration::from_millis(110);

const fn default_engine_time() -> Duration {
    DEFAULT_ENGINE_TIME
}

/// Largest number of pieces of one stage; requests have about ten.
const MAX_PIECES: usize = 1_000;
/// Largest number of stages of one request.
const MAX_STAGES: usize = 32;

impl JobSpec {
    /// Whether the stages are valid.
    ///
    /// Guards against a number of pieces that would take all memory, and against stages that depend
    /// on themselves or on stages that do not exist.
    #[must_use]
    pub fn is_well_formed(&self) -> bool {
        let mut stages = self.stages.iter().enumerate();
        self.cell.is_well_formed()
            && self.stages.len() <= MAX_STAGES
            && self.retained.len() <= MAX_STAGES * MAX_PIECES
            && stages.all(|(index, stage)| {
                let comes_before = |input: &usize| *input < index;
                stage.pieces <= MAX_PIECES && stage.depends_on.iter().all(comes_before)
            })
    }
}

/// One piece within a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchItem {
    /// Id of the caller's call.
    pub call: CallId,
    /// Index of the stage in its route.
    pub stage: usize,
    /// Index of the piece within the stage.
    pub piece: usize,
    /// Remaining time to the deadline.
    pub deadline_left: Duration,
    /// The request's key for the first stages, results of earlier stages for the others.
    pub input: PieceInput,
}

/// The input of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceInput {
    /// The request's own key.
    Key(String),
    /// Results of all pieces of the stages it depends on.
    Results(Vec<ResultHandle>),
}

/// A call to a stage server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Id of the call.
    pub id: BatchId,
    /// Service of the server.
    pub service: ServiceId,
    /// The server.
    pub server: ServerIncarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Pieces to compute.
    pub items: Vec<BatchItem>,
    /// Time after which the call times out.
    pub timeout: Duration,
}

/// How one piece of a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceEnd {
    /// Computed; the handle of its result.
    Completed(ResultHandle),
    /// Its deadline had passed when the server came to it.
    Late,
    /// A result that it depends on is gone.
    InputMissing,
    /// The server has no storage left for its result.
    StorageFull,
    /// The server failed.
    Failed,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchEnd {
    /// The server answered for each piece, in order.
    Pieces(Vec<PieceEnd>),
    /// Nothing was sent, as the server may not be used any more.
    NotSent,
    /// The server rejected the call.
    Rejected,
    /// Another server now listens at the address.
    OtherServer,
    /// No answer came: the call may have run.
    NoAnswer,
    /// The connection ended after the call was sent: the server may have crashed.
    ConnectionLost,
}

/// An event in the life cycle of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobEvent {
    /// All pieces are computed: the result handles for the engine, and the times of the stages.
    Done(JobId, Vec<ResultHandle>, Vec<StageTimes>),
    /// The job has failed.
    Failed(JobId, JobFailure),
    /// The job gave way to more urgent work, or can no longer be reached: it may be submitted
    /// again.
    Displaced(JobId, JobRefusal),
    /// The connection was lost during a call with some of its pieces.
    ConnectionLost(JobId, ServerIncarnation, SocketAddr),
    /// Some results are stored; their age counts from now.
    ResultsStored(JobId, Vec<RetainedResult>),
    /// A stage's results are freed, or will be recomputed.
    ResultsDropped(JobId, usize),
}

/// Time spent in one stage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StageTimes {
    /// From the last input to the first sent piece.
    pub waited: Duration,
    /// From then to the last result.
    pub worked: Duration,
}

/// Why a job failed or was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum JobFailure {
    /// It cannot meet its deadline or has waited too long.
    Late,
    /// Its pieces failed too often.
    Failing,
    /// A service has no usable server.
    NoServer,
    /// The batch owner is behind and accepts no more jobs at the moment.
    Overloaded,
    /// Its stages are invalid: too many pieces, or inputs that do not precede them.
    Malformed,
}

impl std::fmt::Display for JobFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Late => "late",
            Self::Failing => "failing",
            Self::NoServer => "no-server",
            Self::Overloaded => "overloaded",
            Self::Malformed => "malformed",
        })
    }
}

/// A job that was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobRefusal {
    /// Time after which a retry makes sense.
    pub retry_after: Duration,
    /// Why.
    pub reason: JobFailure,
    /// The forecast that was above its limit, if the refusal is for a forecast.
    pub forecast: Option<RefusedForecast>,
}

impl JobRefusal {
    /// A refusal that is not for a forecast.
    #[must_use]
    pub const fn new(reason: JobFailure, retry_after: Duration) -> Self {
        Self {
            retry_after,
            reason,
            forecast: None,
        }
    }
}

/// Results that a server may free.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreeRequest {
    /// The server that stores them.
    pub server: ServerIncarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// Service of the server.
    pub service: ServiceId,
    /// Handles of the results.
    pub handles: Vec<ResultHandle>,
    /// Storage that they occupy.
    pub total_bytes: u64,
}
