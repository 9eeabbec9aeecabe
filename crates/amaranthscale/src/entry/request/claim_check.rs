//! What an entry may do about a call that may not be repeated.

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{AttemptId, HostId, Incarnation, RowVersion};
use amaranthscale_core::request::{
    AttemptStatus, ClaimStatus, StoredResult, attempt_status, cancel_write, read_claim,
};
use amaranthscale_core::version::WriteStep;
use amaranthscale_core::wire::{CallFingerprint, ClaimKey, ClaimTicket, Outcome, Row};
use log::warn;
use tokio::time::Instant;

use super::Answer;
use crate::entry::process::EntryParts;
use crate::process::{TableWrite, new_write_id};

/// What comes next for a call that may not be repeated.
#[derive(Debug)]
pub enum ClaimNext {
    /// Nobody has made the call: send an attempt with this ticket.
    Dispatch(ClaimTicket),
    /// The call is at a sidecar: ask it for the answer.
    Follow(ClaimHolder),
    /// The call is over: this is its answer.
    Final(Answer),
}

/// The sidecar that holds a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimHolder {
    /// Host of the sidecar.
    pub host: HostId,
    /// Life of the sidecar.
    pub incarnation: Incarnation,
    /// Attempt that holds the claim.
    pub attempt: AttemptId,
}

/// Reads the claim row of a call and says what comes next.
///
/// If the table cannot be read, the call is refused: nothing has been sent yet.
pub async fn check_claim(
    parts: &EntryParts,
    key: &ClaimKey,
    fingerprint: CallFingerprint,
) -> ClaimNext {
    match parts.platform.row(&key.to_string()).await {
        Ok(row) => {
            parts.counters.count("claim.read");
            next_for(parts, key, fingerprint, &row).await
        }
        Err(error) => {
            warn!("entry: claim {key} cannot be read: {error}");
            ClaimNext::Final(Answer::of_code(ResultCode::TableAway))
        }
    }
}

/// Settles a call whose attempt cannot be reached any more.
///
/// Guards against saying "not run" of an attempt that wakes later and claims: the version that it
/// carries is cancelled first. If the cancel loses, the row says who made the call.
pub async fn cancel_claim(
    parts: &EntryParts,
    ticket: &ClaimTicket,
    attempt: AttemptId,
    by: &HostId,
    until: Instant,
) -> ClaimNext {
    let ClaimTicket {
        key,
        version,
        fingerprint,
    } = ticket;
    let write = cancel_write(key, *version, *fingerprint, by.clone(), new_write_id());
    match TableWrite::new(write)
        .settle_until(&parts.platform, until)
        .await
    {
        Some(WriteStep::Won { row }) => {
            parts.counters.count("claim.cancelled");
            ClaimNext::Dispatch(ticket_at(key, row.version, *fingerprint))
        }
        Some(
            WriteStep::Superseded { row }
            | WriteStep::LostTo { row }
            | WriteStep::Undecided { row },
        ) => {
            parts.counters.count("claim.cancel_lost");
            after_lost_cancel(parts, ticket, attempt, &row).await
        }
        None | Some(WriteStep::Send | WriteStep::ReadBack) => {
            parts.counters.count("claim.cancel_unsettled");
            ClaimNext::Final(Answer::of_code(ResultCode::OutcomeUnknown))
        }
    }
}

async fn after_lost_cancel(
    parts: &EntryParts,
    ticket: &ClaimTicket,
    attempt: AttemptId,
    row: &Row,
) -> ClaimNext {
    match attempt_status(row, attempt, ticket.version) {
        AttemptStatus::MayStart => ClaimNext::Final(Answer::of_code(ResultCode::OutcomeUnknown)),
        AttemptStatus::Claimed | AttemptStatus::NeverRan | AttemptStatus::Closed => {
            next_for(parts, &ticket.key, ticket.fingerprint, row).await
        }
    }
}

async fn next_for(
    parts: &EntryParts,
    key: &ClaimKey,
    fingerprint: CallFingerprint,
    row: &Row,
) -> ClaimNext {
    match read_claim(row, &fingerprint) {
        ClaimStatus::Free { version } => ClaimNext::Dispatch(ticket_at(key, version, fingerprint)),
        ClaimStatus::Started {
            host,
            incarnation,
            attempt,
            ..
        } => ClaimNext::Follow(ClaimHolder {
            host,
            incarnation,
            attempt,
        }),
        ClaimStatus::Finished { outcome, result } => {
            parts.counters.count("claim.replayed");
            ClaimNext::Final(replay(parts, outcome, result).await)
        }
        ClaimStatus::Unknown | ClaimStatus::Corrupt => {
            ClaimNext::Final(Answer::of_code(ResultCode::OutcomeUnknown))
        }
        ClaimStatus::KeyReused => ClaimNext::Final(Answer::of_code(ResultCode::KeyReused)),
    }
}

/// The answer of a call that was made before, under the same key.
async fn replay(parts: &EntryParts, outcome: Outcome, result: StoredResult) -> Answer {
    let result = match result {
        StoredResult::Inline(bytes) => bytes.into(),
        StoredResult::Object(key) => match parts.platform.object(&key).await {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!("entry: the kept result {key} cannot be read: {error}");
                return Answer::of_code(ResultCode::StillRunning);
            }
        },
    };
    Answer {
        code: outcome.code,
        retry_after_ms: None,
        backend_status: outcome.backend_status,
        result,
    }
}

fn ticket_at(key: &ClaimKey, version: RowVersion, fingerprint: CallFingerprint) -> ClaimTicket {
    ClaimTicket {
        key: key.clone(),
        version,
        fingerprint,
    }
}
