//! The answer to an attempt, as a sequence of frames.

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

    /// Wraps the bytes of a digest that was computed incrementally.
    #[must_use]
    pub const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

/// Cost of one attempt, accounted to its organisation.
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
    /// Result code.
    pub code: ResultCode,
    /// HTTP status of the backend server; 0 if it was not called.
    pub backend_status: u16,
    /// Length of the whole result.
    pub length_bytes: u64,
    /// Digest of the whole result.
    pub digest: ResultDigest,
    /// Delay before a retry, for a refusal.
    pub retry_after_ms: Option<u64>,
    /// Cost of the attempt.
    pub cost: StageCost,
}

impl Outcome {
    /// Creates an outcome without a result.
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

/// A numbered chunk of a result.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Attempt that the chunk belongs to.
    pub attempt: AttemptId,
    /// Position of the chunk, consecutive from 0.
    pub sequence: u64,
    /// Bytes of the chunk.
    #[serde_as(as = "Bytes")]
    pub data: Vec<u8>,
}

/// The end of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Attempt that has ended.
    pub attempt: AttemptId,
    /// Number of chunks in the answer.
    pub chunks: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Status of the sidecar.
    pub stamp: Stamp,
}

/// One frame of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A chunk of the result.
    Chunk(Chunk),
    /// The last frame.
    End(End),
}
