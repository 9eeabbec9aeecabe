//! Whether an actor keeps up with what comes, told by how late it comes to what was due.
//!
//! Answers a burst beyond what the processor can do: work queues before the actor, all of it comes
//! late, and what is taken in is done for callers who have left by then. A single late moment, as
//! after a freeze or at the end of a processor's quota, says nothing: only lateness that stands for
//! a while does, and one moment in time ends it.

use std::time::Duration;

/// Lateness from which an actor is behind: a tenth of the shortest aims, and as long as a processor
/// may be withheld by a quota.
const BEHIND: Duration = Duration::from_millis(100);
/// Time for which it must stand: a burst that is over sooner is worked off within callers' aims.
const STANDS_FOR: Duration = Duration::from_millis(300);

/// A change of whether an actor keeps up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LagChange {
    /// It has been behind for a while: it should take no more work.
    FellBehind,
    /// It is in time again.
    CaughtUp,
}

/// How late an actor comes to what is due.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::{LagDetector, LagChange};
///
/// let ms = Duration::from_millis;
/// let mut lag_detector = LagDetector::default();
/// // Due at 1,000 and come to at 1,150: late, but that may be a single pause.
/// assert_eq!(lag_detector.observe(ms(1_000), ms(1_150)), None);
/// assert_eq!(lag_detector.observe(ms(1_300), ms(1_500)), Some(LagChange::FellBehind));
/// assert!(lag_detector.is_behind());
/// assert_eq!(lag_detector.observe(ms(1_510), ms(1_512)), Some(LagChange::CaughtUp));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct LagDetector {
    late_since: Option<Duration>,
    is_behind: bool,
}

impl LagDetector {
    /// Takes when something was due and when it was come to.
    pub fn observe(&mut self, due: Duration, now: Duration) -> Option<LagChange> {
        if now.saturating_sub(due) < BEHIND {
            self.late_since = None;
            return std::mem::take(&mut self.is_behind).then_some(LagChange::CaughtUp);
        }
        let since = *self.late_since.get_or_insert(now);
        let stands = now.saturating_sub(since) >= STANDS_FOR;
        if !stands || self.is_behind {
            return None;
        }
        self.is_behind = true;
        Some(LagChange::FellBehind)
    }

    /// Whether it has been behind for a while.
    #[must_use]
    pub const fn is_behind(&self) -> bool {
        self.is_behind
    }
}
