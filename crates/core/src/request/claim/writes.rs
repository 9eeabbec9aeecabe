//! The writes that move a claim row.

use super::{ClaimRow, ClaimState, StoredResult};
use crate::id::{AttemptId, HostId, Incarnation, RowVersion, WriteId};
use crate::version::ConditionalWrite;
use crate::wire::{CallFingerprint, ClaimKey, ClaimTicket, Outcome, Row};

/// Claims a call for an attempt, just before the call.
///
/// Only [`WriteStep::Won`](crate::version::WriteStep::Won) allows the call; every other end means
/// that this attempt must not make it.
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

/// Keeps the outcome of a call in the row that claimed it.
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

/// Takes a version away, so that no attempt that carries it can start.
///
/// The sidecar that holds a claim may name its own row's version, if it has not made the call.
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

/// Gives up a started call whose sidecar is gone.
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
