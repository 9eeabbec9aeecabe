//! Moves of runs that take place now, and the limits on them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::MoveReason;
use crate::id::{CallId, ServerIncarnation};

/// Moves at once from an engine and to an engine by this entry: they share the links of both.
const MAX_AT_ENGINE: usize = 2;

/// A move that takes place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BegunMove {
    /// The run.
    pub call: CallId,
    /// The engine that it leaves.
    pub from: ServerIncarnation,
    /// The engine to which it is copied.
    pub to: ServerIncarnation,
    /// Why it is moved.
    pub reason: MoveReason,
    /// When the move began.
    pub began_at: Duration,
}

/// Identifies a move in its registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MoveId(u64);

/// All moves of an entry that take place now.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::{BegunMove, MoveReason, MoveRegistry};
///
/// let mut moves = MoveRegistry::default();
/// let begun = BegunMove {
///     call: "c1".parse()?,
///     from: "p1".parse()?,
///     to: "p2".parse()?,
///     reason: MoveReason::Leaving,
///     began_at: Duration::from_secs(5),
/// };
/// let id = moves.try_begin(begun).unwrap();
/// assert_eq!(moves.list().count(), 1);
/// moves.end(id);
/// assert_eq!(moves.list().count(), 0);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct MoveRegistry {
    next: u64,
    /// By number, the oldest first.
    active: BTreeMap<MoveId, BegunMove>,
}

impl MoveRegistry {
    /// Whether another run may be moved away from an engine.
    #[must_use]
    pub fn may_leave(&self, source: &ServerIncarnation) -> bool {
        let active = self.active.values();
        active.filter(|one| one.from == *source).count() < MAX_AT_ENGINE
    }

    /// Whether another run may be moved to an engine.
    #[must_use]
    pub fn may_enter(&self, target: &ServerIncarnation) -> bool {
        let active = self.active.values();
        active.filter(|one| one.to == *target).count() < MAX_AT_ENGINE
    }

    /// Records the beginning of a move; none if one of the engines has too many.
    #[must_use]
    pub fn try_begin(&mut self, begun: BegunMove) -> Option<MoveId> {
        if !self.may_leave(&begun.from) || !self.may_enter(&begun.to) {
            return None;
        }
        let id = MoveId(self.next);
        self.next += 1;
        self.active.insert(id, begun);
        Some(id)
    }

    /// Records the end of a move.
    pub fn end(&mut self, id: MoveId) {
        self.active.remove(&id);
    }

    /// The moves that take place, the oldest first.
    pub fn list(&self) -> impl Iterator<Item = &BegunMove> {
        self.active.values()
    }
}
