//! What a claim row proves about one attempt.

use super::{ClaimRow, ClaimState};
use crate::id::{AttemptId, RowVersion};
use crate::wire::Row;

/// What a claim row proves about one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    /// It has not claimed, and may yet.
    MayStart,
    /// It holds the claim and may make the call.
    Claimed,
    /// It did not make the call and never will.
    NeverRan,
    /// The call has ended or is given up; the row does not tell which attempt made it.
    Closed,
}

/// Reads what a row proves about an attempt that carries a version.
///
/// The row may be newer than any write of ours whose answer was lost, so this needs no history:
/// a started row is never made free once its call is made.
#[must_use]
pub fn attempt_status(row: &Row, attempt: AttemptId, carried: RowVersion) -> AttemptStatus {
    if row.version <= carried {
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
