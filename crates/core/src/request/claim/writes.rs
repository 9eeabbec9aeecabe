//! The conditional writes that change the state of a claim row.

use super::{ClaimRow, ClaimState, StoredResult};
use crate::id::{AttemptId, HostId, Incarnation, RowVersion, WriteId};
use crate::version::ConditionalWrite;
use crate::wire::{CallFingerprint, ClaimKey, ClaimTicket, Outcome, Row};

/// Claims a call for an attempt, just before the call.
///
/// Only [`WriteStep::Won`](crate::version::WriteStep::Won) allows the call; after any other final
/// step this attempt must not make it.
#[must_use]
pub fn claim_write(
    ticket: &ClaimTicket,
    host: HostId,
    incarnation: Incarnation,
    attempt: AttemptId,
    write_id: WriteId,
) -> ConditionalWrite {
    let state = ClaimState::Started {
        host,
        incarnation,
        attempt,
    };
    let claim = ClaimRow {
        fingerprint: ticket.fingerprint,
        state,
    };
    write_at(&ticket.key, ticket.version, &claim, write_id)
}

/// Stores the outcome of a call in its claim row.
#[must_use]
pub fn finish_write(
    started: &Row,
    fingerprint: CallFingerprint,
    outcome: Outcome,
    result: StoredResult,
    write_id: WriteId,
) -> ConditionalWrite {
    let state = ClaimState::Finished { outcome, result };
    let claim = ClaimRow { fingerprint, state };
    write_over(started, &claim, write_id)
}

/// Writes over a version, so that no attempt dispatched with it can start.
///
/// A sidecar that holds the claim and has not made the call may pass the version of its own row.
#[must_use]
pub fn cancel_write(
    key: &ClaimKey,
    version: RowVersion,
    fingerprint: CallFingerprint,
    by: HostId,
    write_id: WriteId,
) -> ConditionalWrite {
    let state = ClaimState::Cancelled { by };
    let claim = ClaimRow { fingerprint, state };
    write_at(key, version, &claim, write_id)
}

/// Marks a started call as unknown after its sidecar was lost.
#[must_use]
pub fn mark_unknown_write(
    started: &Row,
    fingerprint: CallFingerprint,
    write_id: WriteId,
) -> ConditionalWrite {
    let state = ClaimState::Unknown;
    let claim = ClaimRow { fingerprint, state };
    write_over(started, &claim, write_id)
}

fn write_at(
    key: &ClaimKey,
    version: RowVersion,
    claim: &ClaimRow,
    write_id: WriteId,
) -> ConditionalWrite {
    ConditionalWrite::new(key.to_string(), version, claim.to_body(), write_id)
}

fn write_over(row: &Row, claim: &ClaimRow, write_id: WriteId) -> ConditionalWrite {
    ConditionalWrite::new(row.key.clone(), row.version, claim.to_body(), write_id).replacing(row)
}
