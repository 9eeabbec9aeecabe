//! Claims of calls that may not be repeated, as an entry reads and cancels them.

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
use crate::entry::process::EntryContext;
use crate::process::{TableWrite, new_write_id};

/// Next action for a call that may not be repeated.
#[derive(Debug)]
pub enum ClaimAction {
    /// The call was not made: send an attempt with this ticket.
    Dispatch(ClaimTicket),
    /// A sidecar has claimed the call: fetch the answer from it.
    Follow(ClaimHolder),
    /// The call has ended with this answer.
    Final(Answer),
}

/// The sidecar that holds a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimHolder {
    /// Host of the sidecar.
    pub host: HostId,
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Attempt that holds the claim.
    pub attempt: AttemptId,
}

/// Reads the claim row of a call and returns the next action.
///
/// If the table cannot be read, the call is refused, since nothing has been sent yet.
pub async fn check_claim(
    context: &EntryContext,
    key: &ClaimKey,
    fingerprint: CallFingerprint,
) -> ClaimAction {
    match context.platform.row(&key.to_string()).await {
        Ok(row) => {
            context.counters.count("claim.read");
            action_for(context, key, fingerprint, &row).await
        }
        Err(error) => {
            warn!("entry: claim {key} cannot be read: {error}");
            ClaimAction::Final(Answer::from_code(ResultCode::TableAway))
        }
    }
}

/// Settles a call whose attempt can no longer be reached.
///
/// The row version that the attempt carries is cancelled first, so that an attempt that is delayed
/// cannot claim the call after "not run" was reported. If the cancellation loses the race, the row
/// shows which attempt has the claim.
pub async fn cancel_claim(
    context: &EntryContext,
    ticket: &ClaimTicket,
    attempt: AttemptId,
    by: &HostId,
    until: Instant,
) -> ClaimAction {
    let ClaimTicket {
        key,
        version,
        fingerprint,
    } = ticket;
    let write = cancel_write(key, *version, *fingerprint, by.clone(), new_write_id());
    match TableWrite::new(write)
        .settle_until(&context.platform, until)
        .await
    {
        Some(WriteStep::Won { row }) => {
            context.counters.count("claim.cancelled");
            ClaimAction::Dispatch(ticket_at(key, row.version, *fingerprint))
        }
        Some(
            WriteStep::Superseded { row }
            | WriteStep::LostTo { row }
            | WriteStep::Undecided { row },
        ) => {
            context.counters.count("claim.cancel_lost");
            after_lost_cancel(context, ticket, attempt, &row).await
        }
        None | Some(WriteStep::Send | WriteStep::ReadBack) => {
            context.counters.count("claim.cancel_unsettled");
            ClaimAction::Final(Answer::from_code(ResultCode::OutcomeUnknown))
        }
    }
}

async fn after_lost_cancel(
    context: &EntryContext,
    ticket: &ClaimTicket,
    attempt: AttemptId,
    row: &Row,
) -> ClaimAction {
    match attempt_status(row, attempt, ticket.version) {
        AttemptStatus::MayStart => {
            ClaimAction::Final(Answer::from_code(ResultCode::OutcomeUnknown))
        }
        AttemptStatus::Claimed | AttemptStatus::NeverRan | AttemptStatus::Closed => {
            action_for(context, &ticket.key, ticket.fingerprint, row).await
        }
    }
}

async fn action_for(
    context: &EntryContext,
    key: &ClaimKey,
    fingerprint: CallFingerprint,
    row: &Row,
) -> ClaimAction {
    match read_claim(row, &fingerprint) {
        ClaimStatus::Free { version } => {
            ClaimAction::Dispatch(ticket_at(key, version, fingerprint))
        }
        ClaimStatus::Started {
            host,
            incarnation,
            attempt,
            ..
        } => ClaimAction::Follow(ClaimHolder {
            host,
            incarnation,
            attempt,
        }),
        ClaimStatus::Finished { outcome, result } => {
            context.counters.count("claim.replayed");
            ClaimAction::Final(replay(context, outcome, result).await)
        }
        ClaimStatus::Unknown | ClaimStatus::Corrupt => {
            ClaimAction::Final(Answer::from_code(ResultCode::OutcomeUnknown))
        }
        ClaimStatus::KeyReused => ClaimAction::Final(Answer::from_code(ResultCode::KeyReused)),
    }
}

/// The stored answer of an earlier call with the same key.
async fn replay(context: &EntryContext, outcome: Outcome, result: StoredResult) -> Answer {
    let result = match result {
        StoredResult::Inline(bytes) => bytes.into(),
        StoredResult::Object(key) => match context.platform.object(&key).await {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!("entry: stored result {key} cannot be read: {error}");
                return Answer::from_code(ResultCode::StillRunning);
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
