//! What a claim row tells an entry.

use super::{ClaimRow, ClaimState, StoredResult};
use crate::id::{AttemptId, HostId, Incarnation, RowVersion};
use crate::wire::{CallFingerprint, Outcome, Row};

/// What a claim row tells about a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStatus {
    /// Nobody has made the call; an attempt may claim this version.
    Free {
        /// Version to claim.
        version: RowVersion,
    },
    /// An attempt holds the claim; its sidecar has the answer.
    Started {
        /// Host of the sidecar.
        host: HostId,
        /// Life of the sidecar.
        incarnation: Incarnation,
        /// Attempt that holds the claim.
        attempt: AttemptId,
        /// Version of the row.
        version: RowVersion,
    },
    /// The call was made; this is its answer.
    Finished {
        /// How it ended.
        outcome: Outcome,
        /// Where its result lies.
        result: StoredResult,
    },
    /// The call may have been made and must not be made again.
    Unknown,
    /// The key stands for another call.
    KeyReused,
    /// The row cannot be read, so the call must not be made.
    Corrupt,
}

/// Reads a claim row on behalf of a call.
///
/// A cancelled row is free for any call, since nothing was done under its key.
#[must_use]
pub fn read_claim(row: &Row, fingerprint: &CallFingerprint) -> ClaimStatus {
    let version = row.version;
    if version == RowVersion::default() {
        return ClaimStatus::Free { version };
    }
    // A row that cannot be read may stand for a call that was made. Taking it for free would show
    // as a second settlement, so it is refused until an operator has looked at it.
    let Some(claim) = ClaimRow::parse(row) else {
        return ClaimStatus::Corrupt;
    };
    let is_same_call = claim.fingerprint == *fingerprint;
    match claim.state {
        ClaimState::Cancelled { .. } => ClaimStatus::Free { version },
        _ if !is_same_call => ClaimStatus::KeyReused,
        ClaimState::Started {
            host,
            incarnation,
            attempt,
        } => ClaimStatus::Started {
            host,
            incarnation,
            attempt,
            version,
        },
        ClaimState::Finished { outcome, result } => ClaimStatus::Finished { outcome, result },
        ClaimState::Unknown => ClaimStatus::Unknown,
    }
}
