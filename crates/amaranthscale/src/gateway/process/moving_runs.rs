//! Runs that this gateway moves between engines, for operators.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::{CallId, ServerIncarnation};

use super::super::clock::ms;
use crate::operator::MovingRun;

/// Runs that are being moved.
#[derive(Debug, Default)]
pub struct MovingRuns {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of the next move.
    next: u64,
    moves: BTreeMap<u64, Move>,
}

#[derive(Debug)]
struct Move {
    call: CallId,
    from: ServerIncarnation,
    to: ServerIncarnation,
    began_at: Duration,
}

impl MovingRuns {
    /// Lists a run as being moved until the guard is dropped.
    pub fn begin(
        self: &Arc<Self>,
        call: &CallId,
        from: &ServerIncarnation,
        to: &ServerIncarnation,
        now: Duration,
    ) -> MovingRunGuard {
        let mut state = self.state();
        let number = state.next;
        state.next += 1;
        let begun = Move {
            call: call.clone(),
            from: from.clone(),
            to: to.clone(),
            began_at: now,
        };
        state.moves.insert(number, begun);
        MovingRunGuard {
            runs: Arc::clone(self),
            number,
        }
    }

    /// The runs that are being moved, the oldest move first.
    #[must_use]
    pub fn list(&self, now: Duration) -> Vec<MovingRun> {
        let state = self.state();
        let moves = state.moves.values().map(|one| MovingRun {
            call: one.call.clone(),
            from: one.from.clone(),
            to: one.to.clone(),
            elapsed_ms: ms(now.saturating_sub(one.began_at)),
        });
        moves.collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A run that is listed as being moved.
#[derive(Debug)]
#[must_use = "a run is listed until this is dropped"]
pub struct MovingRunGuard {
    runs: Arc<MovingRuns>,
    number: u64,
}

impl Drop for MovingRunGuard {
    fn drop(&mut self) {
        self.runs.state().moves.remove(&self.number);
    }
}
