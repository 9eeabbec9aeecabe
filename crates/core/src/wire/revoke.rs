//! Questions about an attempt whose answer has not come.

use serde::{Deserialize, Serialize};

use super::{Outcome, Stamp};
use crate::id::{AttemptId, Incarnation};
use crate::unit::{SidecarClock, TimeBudget};

/// Asks a sidecar to keep an attempt from starting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revoke {
    /// Attempt to revoke.
    pub attempt: AttemptId,
    /// Life of the sidecar that the attempt was sent to.
    pub incarnation: Incarnation,
    /// Expiry that the attempt carried.
    pub expiry: SidecarClock,
    /// Whether to cancel the attempt if it is running; only for work that may be repeated.
    pub cancel_running: bool,
}

/// What became of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevokeAnswer {
    /// It did not run and never will.
    Revoked,
    /// It is at the backend server.
    Running,
    /// It has ended.
    Finished(Outcome),
    /// Its expiry has passed and nothing is kept; whether it ran cannot be told.
    Forgotten,
    /// It was meant for another life of the sidecar; whether it ran cannot be told.
    OtherIncarnation,
}

/// Answer to a revocation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeReply {
    /// What became of the attempt.
    pub answer: RevokeAnswer,
    /// State of the sidecar.
    pub stamp: Stamp,
}

/// Asks on a new connection for the frames of an attempt that was sent before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Attempt whose answer is wanted.
    pub attempt: AttemptId,
    /// Life of the sidecar that the attempt was sent to.
    pub incarnation: Incarnation,
    /// First chunk that is wanted.
    pub from_chunk: u64,
    /// How long the answer may take.
    pub budget: TimeBudget,
}
