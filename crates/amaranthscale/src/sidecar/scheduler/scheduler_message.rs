//! Messages to the scheduler.

use std::sync::Arc;

use amaranthscale_core::id::AttemptId;
use amaranthscale_core::wire::{Fetch, Outcome, Revoke, RevokeAnswer, RowWrite};
use ractor::RpcReplyPort;

use super::SchedulerStatus;
use crate::sidecar::answer::Answer;
use crate::sidecar::job::Job;

/// A message to the scheduler.
#[derive(Debug)]
pub(in crate::sidecar) enum SchedulerMessage {
    /// An attempt has arrived; the scheduler ends its answer.
    Dispatch(Arc<Job>),
    /// A running attempt has ended.
    Ended(Arc<Job>, Box<Outcome>),
    /// The outcome of a claimed attempt is in the table.
    OutcomeRecorded(AttemptId),
    /// An entry revokes an attempt.
    Revoke(Revoke, RpcReplyPort<RevokeAnswer>),
    /// An entry asks for an answer on a new connection.
    Fetch(Fetch, RpcReplyPort<Fetched>),
    /// The backend server is leaving.
    Leave,
    /// Triggers periodic work.
    Tick,
    /// Replies as soon as nothing is queued or running.
    WaitDrained(RpcReplyPort<()>),
    /// Asks for the cost rows; empty if they have not changed since the last request.
    CostRows(RpcReplyPort<Vec<RowWrite>>),
    /// Asks for the scheduler's part of `/status`.
    Status(RpcReplyPort<SchedulerStatus>),
}

/// The part of an attempt's answer that is still in memory.
#[derive(Debug)]
pub(in crate::sidecar) enum Fetched {
    /// The answer itself, which may still grow.
    Answer(Arc<Answer>),
    /// Only an outcome without a result.
    Outcome(Box<Outcome>),
}
