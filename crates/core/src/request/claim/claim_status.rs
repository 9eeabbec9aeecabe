//! Status of a call, as an entry reads it from a claim row.

use super::{ClaimRow, ClaimState, StoredResult};
use crate::id::{AttemptId, HostId, Incarnation, RowVersion};
use crate::wire::{CallFingerprint, Outcome, Row};

/// Status of a call, as its claim row shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStatus {
    /// The call was not made; an attempt may claim this version.
    Free {
        /// Version to claim.
        version: RowVersion,
    },
    /// An attempt holds the claim; its sidecar returns the answer.
    Started {
        /// Host of the sidecar.
        host: HostId,
        /// Incarnation of the sidecar.
        incarnation: Incarnation,
        /// Attempt that holds the claim.
        attempt: AttemptId,
        /// Version of the row.
        version: RowVersion,
    },
    /// The call was made and has ended.
    Finished {
        /// How it ended.
        outcome: Outcome,
        /// Where its result is stored.
        result: StoredResult,
    },
    /// The call may have been made and must not be made again.
    Unknown,
    /// The key was used for another call.
    KeyReused,
    /// The row cannot be read, so the call must not be made.
    Corrupt,
}

/// Reads the status of a call from its claim row.
///
/// A cancelled row is free for any call, since no call was made under its key.
#[must_use]
pub fn read_claim(row: &Row, fingerprint: &CallFingerprint) -> ClaimStatus {
    let version = row.version;
    if version == RowVersion::default() {
        return ClaimStatus::Free { version };
    }
    // An unreadable row may belong to a call that was made. Treating it as free could pay a
    // settlement twice, so calls are refused until an operator has checked the row.
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
