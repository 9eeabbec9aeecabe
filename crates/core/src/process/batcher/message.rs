//! What goes into the batcher and what comes out.

use std::net::SocketAddr;
use std::time::Duration;

use super::RetainedResult;
use crate::id::{CallId, ResultHandle, RouteId, ServerIncarnation, ServiceId, ZoneId};
use crate::process::{Cell, Rank};

/// Names a job of the batcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub(super) u64);

/// Names a call to a stage server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub(super) u64);

/// The pieces that one stage of a request has.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StageSpec {
    /// Service that makes them.
    pub service: ServiceId,
    /// Stages whose results they need.
    #[serde(rename = "after")]
    pub depends_on: Vec<usize>,
    /// How many; none leaves the stage out.
    pub pieces: usize,
    /// Usual size of one result.
    pub result_bytes: u64,
}

/// The work that is done before a request runs at its engine.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JobSpec {
    /// The caller's send.
    pub call: CallId,
    /// The route that the request came on.
    pub route: RouteId,
    /// The cell that makes its pieces.
    pub cell: Cell,
    /// The caller's key of the pieces.
    pub piece_key: String,
    /// All stages of the route, in its order.
    pub stages: Vec<StageSpec>,
    /// How urgent it is against others.
    pub rank: Rank,
    /// Worth of the answer against others', in tokens of the engine's work; 0 if not known.
    #[serde(rename = "worth_tokens")]
    pub value_tokens: u64,
    /// Time from the caller's send within which the answer is of full worth.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "aim_ms")]
    pub target_latency: Duration,
    /// Time left until the results are of full worth no longer.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "aim_left_ms")]
    pub target_latency_left: Duration,
    /// Time left until they are of no worth.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_left_ms")]
    pub deadline_left: Duration,
    /// Time that the engine is likely to take from the results to the first event.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "engine_ms", default = "usual_engine_time")]
    pub engine_time: Duration,
    /// Availability zone of the engine that reads the last results.
    pub reader_zone: ZoneId,
    /// Results that an earlier owner had made.
    #[serde(default)]
    #[serde(rename = "kept")]
    pub retained: Vec<RetainedResult>,
}

/// Time that an engine takes to its first event while nothing better is known.
pub const DEFAULT_ENGINE_TIME: Duration = Duration::from_millis(110);

const fn usual_engine_time() -> Duration {
    DEFAULT_ENGINE_TIME
}

/// Most pieces of one stage; requests have some ten.
const MOST_PIECES: usize = 1_000;
/// Most stages of one request.
const MOST_STAGES: usize = 32;

impl JobSpec {
    /// Whether its stages can be.
    ///
    /// Guards against a caller that asks for a number of pieces which would take all memory, and
    /// against stages that wait for themselves or for ones that are not there.
    #[must_use]
    pub fn is_well_formed(&self) -> bool {
        let mut stages = self.stages.iter().enumerate();
        self.cell.is_well_formed()
            && self.stages.len() <= MOST_STAGES
            && self.retained.len() <= MOST_STAGES * MOST_PIECES
            && stages.all(|(index, stage)| {
                let comes_before = |after: &usize| *after < index;
                stage.pieces <= MOST_PIECES && stage.depends_on.iter().all(comes_before)
            })
    }
}

/// One piece within a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchItem {
    /// The caller's send.
    pub call: CallId,
    /// Stage of its route.
    pub stage: usize,
    /// Number of the piece within the stage.
    pub piece: usize,
    /// Time left for it.
    pub deadline_left: Duration,
    /// Key for the first stages, results of earlier pieces for the others.
    pub input: PieceInput,
}

/// What a piece is made from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceInput {
    /// The request's own key.
    Key(String),
    /// Results of all pieces of the stages before.
    Results(Vec<ResultHandle>),
}

/// A call to a stage server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Names the call.
    pub id: BatchId,
    /// Service of the server.
    pub service: ServiceId,
    /// The server.
    pub server: ServerIncarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Pieces to make.
    pub items: Vec<BatchItem>,
    /// Time after which the call is given up.
    pub timeout: Duration,
}

/// How one piece of a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceEnd {
    /// The result and its handle.
    Completed(ResultHandle),
    /// Its time was over at its turn.
    Late,
    /// A result that it needs is gone.
    InputMissing,
    /// The server has no room for its result.
    StorageFull,
    /// The server failed.
    Failed,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchEnd {
    /// The server answered for each piece, in order.
    Pieces(Vec<PieceEnd>),
    /// Nothing was sent: the server may be used no longer.
    NotSent,
    /// The server did not take the call.
    Rejected,
    /// The address has another server now.
    OtherServer,
    /// No answer came: the call may have run.
    NoAnswer,
    /// The connection ended after the call was sent: the server may have ended with it.
    ConnectionLost,
}

/// What became of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobEvent {
    /// All pieces are made: the handles that the engine needs, and where the time went.
    Done(JobId, Vec<ResultHandle>, Vec<StageTimes>),
    /// The job cannot be done.
    Failed(JobId, JobFailure),
    /// A call with some of its pieces was cut off at a server.
    ConnectionLost(JobId, ServerIncarnation, SocketAddr),
    /// Some pieces are made; their age counts from now.
    ResultsStored(JobId, Vec<RetainedResult>),
    /// A stage's results are freed, or are to be made anew.
    ResultsDropped(JobId, usize),
}

/// Where one stage's time went.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StageTimes {
    /// From the last input to the first piece in a call.
    pub waited: Duration,
    /// From there to the last result.
    pub worked: Duration,
}

/// Why a job cannot be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum JobFailure {
    /// Its time is over.
    Late,
    /// Its pieces failed too often.
    Failing,
    /// No server of a service is known.
    NoServer,
    /// The owner of the batches is behind and takes no more work for the moment.
    Overloaded,
    /// Its stages cannot be: too many pieces, or inputs that do not come before.
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

/// A job that is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobRefusal {
    /// Time after which there may be place.
    pub retry_after: Duration,
    /// Why.
    pub reason: JobFailure,
}

/// Results that a server may drop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreeRequest {
    /// The server that keeps them.
    pub server: ServerIncarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// Service of the server.
    pub service: ServiceId,
    /// Their names.
    pub handles: Vec<ResultHandle>,
    /// Room that they take.
    pub total_bytes: u64,
}
