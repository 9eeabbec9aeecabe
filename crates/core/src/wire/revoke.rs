//! Messages about an attempt that has not been answered.

use serde::{Deserialize, Serialize};

use super::{Outcome, Stamp};
use crate::id::{AttemptId, Incarnation};
use crate::unit::{SidecarClock, TimeBudget};

/// Requests a sidecar to prevent an attempt from starting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revoke {
    /// Attempt to revoke.
    pub attempt: AttemptId,
    /// Incarnation of the sidecar that the attempt was sent to.
    pub incarnation: Incarnation,
    /// Expiry of the attempt.
    pub expiry: SidecarClock,
    /// Whether to cancel the attempt if it is running; only for repeatable work.
    pub cancel_running: bool,
}

/// State of an attempt, as answered to a revocation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevokeAnswer {
    /// It did not run and never will.
    Revoked,
    /// It is running at the backend server.
    Running,
    /// It has ended.
    Finished(Outcome),
    /// It has expired and has no record; it may have run.
    Forgotten,
    /// It was addressed to another incarnation of the sidecar; it may have run.
    OtherIncarnation,
}

/// Reply to a revocation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeReply {
    /// State of the attempt.
    pub answer: RevokeAnswer,
    /// Status of the sidecar.
    pub stamp: Stamp,
}

/// Requests the frames of an attempt that was sent earlier, on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Attempt whose answer is requested.
    pub attempt: AttemptId,
    /// Incarnation of the sidecar that the attempt was sent to.
    pub incarnation: Incarnation,
    /// First chunk to send.
    pub from_chunk: u64,
    /// Time left for the answer.
    pub budget: TimeBudget,
}
