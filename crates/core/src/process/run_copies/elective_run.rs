//! A run that could be moved, or stay where it is.

use std::time::Duration;

use super::{MoveOrder, MoveReason, RunMove};
use crate::id::{CallId, ServerIncarnation};
use crate::process::Rank;
use crate::process::server_list::ServerRecord;
use crate::version::TransferSpec;

/// Time after a run's first event before which it is not moved: most runs end soon after.
const MIN_AGE: Duration = Duration::from_secs(1);
/// Moves of one run.
const MAX_MOVES: usize = 2;

/// A run at an engine that could be moved.
#[derive(Debug, Clone, Copy)]
pub struct ElectiveRun<'a> {
    /// The run.
    pub call: &'a CallId,
    /// The engine that runs it.
    pub engine: &'a ServerRecord,
    /// Its rank.
    pub rank: Rank,
    /// Tokens of its KV cache.
    pub tokens: u64,
    /// Tokens that it has still to write.
    pub tokens_left: u64,
    /// Longest pause between events with which its answer is on time.
    pub max_event_gap: Option<Duration>,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Time since its first event.
    pub age: Duration,
    /// Engines from which moves of the run have begun.
    pub left: &'a [ServerIncarnation],
}

impl ElectiveRun<'_> {
    /// Whether a run that was moved a number of times may be moved again, for whatever reason.
    #[must_use]
    pub const fn may_move_again(moves: usize) -> bool {
        moves < MAX_MOVES
    }

    /// Whether the run may be moved now if there is a reason to.
    #[must_use]
    pub const fn may_move(&self) -> bool {
        self.age.as_nanos() >= MIN_AGE.as_nanos() && Self::may_move_again(self.left.len())
    }

    /// Whether the run may be moved to an engine, as it runs at another one and has not left it.
    pub(super) fn may_go_to(&self, target: &ServerIncarnation) -> bool {
        *target != self.engine.incarnation && !self.left.contains(target)
    }

    /// Its place among the runs that leave its engine for a reason.
    #[must_use]
    pub fn order(&self, reason: MoveReason) -> MoveOrder {
        if reason == MoveReason::Slow {
            MoveOrder::of_slow(self.tokens_left)
        } else {
            MoveOrder::of_uneven(self.rank, self.tokens_left)
        }
    }

    /// Expected time until the run ends at an engine with a time of each event.
    pub(super) fn time_at(&self, event_time: Duration) -> Duration {
        let events = u32::try_from(self.tokens_left).unwrap_or(u32::MAX);
        event_time.saturating_mul(events)
    }

    /// The move of the run to an engine, from one with a time of each event.
    pub(super) fn move_to(&self, target: &ServerRecord, event_time: Duration) -> RunMove {
        RunMove {
            tokens: self.tokens,
            remaining_time: self.time_at(event_time),
            is_other_zone: self.engine.zone != target.zone,
        }
    }

    /// Whether the run would end in time at an engine with a time of each event.
    pub(super) fn ends_in_time(
        &self,
        run_move: &RunMove,
        event_time: Duration,
        transfer: &TransferSpec,
    ) -> bool {
        let copy_time = run_move.copy_time(transfer);
        self.time_at(event_time).saturating_add(copy_time) <= self.time_left
    }
}
