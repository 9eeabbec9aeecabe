//! The answer to an attempt, as a run of frames.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use sha2::{Digest as _, Sha256};

use super::Stamp;
use crate::id::AttemptId;
use crate::{Ran, ResultCode};

/// SHA-256 of a stage's whole result.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ResultDigest(
    #[serde_as(as = "serde_with::IfIsHumanReadable<serde_with::hex::Hex, Bytes>")] [u8; 32],
);

impl ResultDigest {
    /// Digests a whole result.
    #[must_use]
    pub fn of(result: impl AsRef<[u8]>) -> Self {
        Self(Sha256::digest(result.as_ref()).into())
    }

    /// Wraps the bytes of a digest computed piece by piece.
    #[must_use]
    pub const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

/// What one attempt cost, for the books of its organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageCost {
    /// Time spent in the sidecar's queue.
    pub queue_ms: u64,
    /// Time spent at the backend server.
    pub server_ms: u64,
    /// Tokens that the backend server generated.
    pub tokens: u64,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Numbered result.
    pub code: ResultCode,
    /// HTTP status of the backend server; 0 if it was not asked.
    pub backend_status: u16,
    /// Length of the whole result.
    pub length_bytes: u64,
    /// Digest of the whole result.
    pub digest: ResultDigest,
    /// When to come back, for a refusal.
    pub retry_after_ms: Option<u64>,
    /// What the attempt cost.
    pub cost: StageCost,
}

impl Outcome {
    /// An outcome without a result.
    #[must_use]
    pub fn without_result(code: ResultCode) -> Self {
        Self {
            code,
            backend_status: 0,
            length_bytes: 0,
            digest: ResultDigest::of([]),
            retry_after_ms: None,
            cost: StageCost::default(),
        }
    }

    /// Whether the attempt ran.
    #[must_use]
    pub const fn ran(&self) -> Ran {
        self.code.ran()
    }
}

/// A numbered piece of a result.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Attempt that the piece belongs to.
    pub attempt: AttemptId,
    /// Position of the piece, from 0 without gaps.
    pub sequence: u64,
    /// Bytes of the piece.
    #[serde_as(as = "Bytes")]
    pub data: Vec<u8>,
}

/// The end of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Attempt that has ended.
    pub attempt: AttemptId,
    /// Number of chunks that went before.
    pub chunks: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// State of the sidecar.
    pub stamp: Stamp,
}

/// One frame of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A piece of the result.
    Chunk(Chunk),
    /// The end; nothing follows.
    End(End),
}
