//! What a claim row proves about one attempt.

use super::{ClaimRow, ClaimState};
use crate::id::{AttemptId, RowVersion};
use crate::wire::Row;

/// Status of one attempt, as far as its claim row proves it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    /// It has not claimed the call and still may.
    MayStart,
    /// It holds the claim and may make the call.
    Claimed,
    /// It did not make the call and never will.
    NeverRan,
    /// The call has ended or was abandoned; the row does not show which attempt made it.
    Closed,
}

/// Returns what a row proves about an attempt that was dispatched with version `ticket_version`.
///
/// No history is needed, even if the row is newer than a write of ours whose reply was lost: a
/// started row never becomes free once its call was made.
#[must_use]
pub fn attempt_status(row: &Row, attempt: AttemptId, ticket_version: RowVersion) -> AttemptStatus {
    if row.version <= ticket_version {
        return AttemptStatus::MayStart;
    }
    match ClaimRow::parse(row).map(|claim| claim.state) {
        Some(ClaimState::Started {
            attempt: holder, ..
        }) if holder == attempt => AttemptStatus::Claimed,
        Some(ClaimState::Started { .. } | ClaimState::Cancelled { .. }) => AttemptStatus::NeverRan,
        Some(ClaimState::Finished { .. } | ClaimState::Unknown) | None => AttemptStatus::Closed,
    }
}
