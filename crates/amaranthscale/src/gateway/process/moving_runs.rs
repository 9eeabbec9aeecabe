//! Runs that this gateway moves between engines: the limits on them, and their list for operators.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::process::{BegunMove, MoveId, MoveRegistry};
use tokio::time::Instant;

use super::super::clock::ms;
use crate::operator::MovingRun;

/// Runs that are being moved.
#[derive(Debug, Default)]
pub struct MovingRuns {
    registry: Mutex<MoveRegistry>,
}

impl MovingRuns {
    /// Begins a move, which takes place until the guard is dropped; none beyond the limits.
    pub fn try_begin(self: &Arc<Self>, begun: BegunMove) -> Option<MovingRunGuard> {
        let began_at = begun.began_at;
        let id = self.registry().try_begin(begun)?;
        Some(MovingRunGuard {
            runs: Arc::clone(self),
            id,
            began_at,
            begun: Instant::now(),
        })
    }

    /// The runs that are being moved, the oldest move first.
    #[must_use]
    pub fn list(&self, now: Duration) -> Vec<MovingRun> {
        let registry = self.registry();
        let moves = registry.list().map(|one| MovingRun {
            call: one.call.clone(),
            from: one.from.clone(),
            to: one.to.clone(),
            elapsed_ms: ms(now.saturating_sub(one.began_at)),
        });
        moves.collect()
    }

    /// The moves and their limits; the lock is held for single decisions only.
    pub(super) fn registry(&self) -> MutexGuard<'_, MoveRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A move that takes place.
#[derive(Debug)]
#[must_use = "a move counts until this is dropped"]
pub struct MovingRunGuard {
    runs: Arc<MovingRuns>,
    id: MoveId,
    /// When the move began by the gateway's clock.
    began_at: Duration,
    begun: Instant,
}

impl Drop for MovingRunGuard {
    fn drop(&mut self) {
        let now = self.began_at + self.begun.elapsed();
        self.runs.registry().end(self.id, now);
    }
}
