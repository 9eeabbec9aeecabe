//! Detects that an actor falls behind, by how late it handles due work.
//!
//! Guards against a burst that exceeds the processor's capacity: work queues up in front of the
//! actor, everything is handled late, and accepted work is done for callers who have left by then.
//! A single delay, as after a freeze or at the end of a processor quota, means nothing: only lag
//! that persists for a while counts, and a single event on time ends it.

use std::time::Duration;

/// Lag from which an actor is behind if its user sets none: a tenth of the shortest target latencies,
/// and as long as a quota may withhold the processor.
const LAG_THRESHOLD: Duration = Duration::from_millis(100);
/// Time for which the lag must persist: shorter bursts are completed within the callers' target
/// latencies.
const LAG_PERIOD: Duration = Duration::from_millis(300);

/// A change of whether an actor keeps up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LagChange {
    /// It has been behind for a while and should accept no more work.
    FellBehind,
    /// It is on time again.
    CaughtUp,
}

/// How late an actor handles due work.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::{LagDetector, LagChange};
///
/// let ms = Duration::from_millis;
/// let mut lag_detector = LagDetector::new(ms(100), ms(300));
/// // Due at 1,000 and handled at 1,150: late, but that may be a single pause.
/// assert_eq!(lag_detector.observe(ms(1_000), ms(1_150)), None);
/// assert_eq!(lag_detector.observe(ms(1_300), ms(1_500)), Some(LagChange::FellBehind));
/// assert!(lag_detector.is_behind());
/// assert_eq!(lag_detector.observe(ms(1_510), ms(1_512)), Some(LagChange::CaughtUp));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct LagDetector {
    threshold: Duration,
    period: Duration,
    late_since: Option<Duration>,
    is_behind: bool,
}

impl Default for LagDetector {
    fn default() -> Self {
        Self::new(LAG_THRESHOLD, LAG_PERIOD)
    }
}

impl LagDetector {
    /// Detects a lag from `threshold` on that persists for `period`.
    #[must_use]
    pub const fn new(threshold: Duration, period: Duration) -> Self {
        Self {
            threshold,
            period,
            late_since: None,
            is_behind: false,
        }
    }

    /// Records when something was due and when it was handled.
    pub fn observe(&mut self, due: Duration, now: Duration) -> Option<LagChange> {
        if now.saturating_sub(due) < self.threshold {
            self.late_since = None;
            return std::mem::take(&mut self.is_behind).then_some(LagChange::CaughtUp);
        }
        let since = *self.late_since.get_or_insert(now);
        let persists = now.saturating_sub(since) >= self.period;
        if !persists || self.is_behind {
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
