//! What the gate is told and asked.

use std::sync::Arc;

use amaranthscale_core::id::AttemptId;
use amaranthscale_core::wire::{Fetch, Outcome, Revoke, RevokeAnswer, RowWrite};
use ractor::RpcReplyPort;

use super::GateFigures;
use crate::sidecar::answer::Answer;
use crate::sidecar::job::Job;

/// What the gate is told and asked.
#[derive(Debug)]
pub(in crate::sidecar) enum GateMessage {
    /// An attempt has arrived; the gate ends its answer.
    Dispatch(Arc<Job>),
    /// A running attempt has ended.
    Ended(Arc<Job>, Box<Outcome>),
    /// The outcome of a claimed attempt is in the table.
    Recorded(AttemptId),
    /// An entry wants an attempt not to start.
    Revoke(Revoke, RpcReplyPort<RevokeAnswer>),
    /// An entry wants the answer on a new connection.
    Fetch(Fetch, RpcReplyPort<Fetched>),
    /// The backend server is leaving.
    Leave,
    /// Time has passed.
    Tick,
    /// Wants to know when nothing is queued or running.
    Drained(RpcReplyPort<()>),
    /// Wants the cost rows, if they have changed since they were last asked for.
    Costs(RpcReplyPort<Vec<RowWrite>>),
    /// Wants the figures for `/status`.
    Figures(RpcReplyPort<GateFigures>),
}

/// What is left of an attempt's answer.
#[derive(Debug)]
pub(in crate::sidecar) enum Fetched {
    /// The answer itself, perhaps still growing.
    Answer(Arc<Answer>),
    /// Only an outcome without a result.
    Outcome(Box<Outcome>),
}
