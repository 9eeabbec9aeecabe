//! Decides which share of callers' new connections an entry takes.
//!
//! Guards against most callers of a zone that connect to one entry: where it takes more than it can
//! handle, all its requests are late, and nearly all work is done for callers who have left. An
//! entry whose event loop falls behind closes some of the new connections before it reads anything
//! from them; their callers know that nothing has run and connect to another entry. It also closes
//! some of the open connections after an answer, as their callers would send further requests.
//!
//! The share shrinks step by step while the loop is behind and grows slowly when it is on time, so
//! that the entry stays busy.

use std::time::Duration;

use super::{LagChange, LagDetector};

/// Interval at which the delay of the event loop is measured.
pub const INTAKE_SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Delay of the event loop from which an entry is behind. A request passes the loop some eight times
/// and is delayed each time, so it is late by much more than this.
const DELAY_THRESHOLD: Duration = Duration::from_millis(25);
/// Time for which the delay must persist: at the end of a processor quota, which lasts as long, a
/// loop with work to spare is on time again.
const DELAY_PERIOD: Duration = Duration::from_millis(100);
/// Interval between two changes of the share.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Factor of the share for each step while the loop is behind.
const DECREASE_FACTOR: f64 = 0.7;
/// What the share grows by for each step while the loop is on time.
const INCREASE: f64 = 0.05;
/// Smallest share, by which the entry notices that it could take more.
const MIN_SHARE: f64 = 0.05;

/// The share of new connections that an entry takes.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::CallerIntake;
///
/// let ms = Duration::from_millis;
/// let mut intake = CallerIntake::default();
/// for number in 0..20 {
///     intake.record_loop_delay(ms(150), ms(200 * number));
/// }
/// let taken = (0..100).filter(|_| intake.takes_connection()).count();
/// assert!(taken < 20);
/// ```
#[derive(Debug, Clone)]
pub struct CallerIntake {
    lag_detector: LagDetector,
    share: f64,
    /// Part of a connection that earlier decisions have left.
    credit: f64,
    stepped_at: Duration,
}

impl Default for CallerIntake {
    fn default() -> Self {
        Self {
            lag_detector: LagDetector::new(DELAY_THRESHOLD, DELAY_PERIOD),
            share: 1.0,
            credit: 0.0,
            stepped_at: Duration::ZERO,
        }
    }
}

impl CallerIntake {
    /// Records how late the event loop handled a timer; returns whether connections began or ceased
    /// to be closed.
    pub fn record_loop_delay(&mut self, delay: Duration, now: Duration) -> Option<LagChange> {
        self.lag_detector.observe(now.saturating_sub(delay), now);
        if now.saturating_sub(self.stepped_at) < STEP_INTERVAL {
            return None;
        }
        self.stepped_at = now;
        let was_limited = self.is_limited();
        self.share = if self.lag_detector.is_behind() {
            (self.share * DECREASE_FACTOR).max(MIN_SHARE)
        } else {
            (self.share + INCREASE).min(1.0)
        };
        match (was_limited, self.is_limited()) {
            (false, true) => Some(LagChange::FellBehind),
            (true, false) => Some(LagChange::CaughtUp),
            _ => None,
        }
    }

    /// Whether the entry takes the next new connection, which it closes otherwise.
    pub fn takes_connection(&mut self) -> bool {
        self.credit = (self.credit + self.share).min(1.0);
        let is_taken = self.credit >= 1.0;
        if is_taken {
            self.credit -= 1.0;
        }
        is_taken
    }

    /// Whether a caller may send its next request on the connection on which it gets an answer.
    ///
    /// A caller whose connection is closed after the answer opens a new one, which is taken or closed
    /// like any other.
    pub fn keeps_connection(&mut self) -> bool {
        !self.is_limited() || self.takes_connection()
    }

    /// Whether some new connections are closed.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.share < 1.0
    }
}
