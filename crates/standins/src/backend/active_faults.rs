//! Active faults of one backend server.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::backend::{BackendFaults, CrashMode};
use crate::http::StopSignal;

/// Time in which calls that were sent before a rejection may still come.
const BACKOFF_GRACE: Duration = Duration::from_millis(500);

/// Active faults of one backend server.
#[derive(Debug)]
pub(crate) struct ActiveFaults {
    counters: Mutex<Counters>,
    frozen: watch::Sender<bool>,
    answers_held: watch::Sender<bool>,
    crash_mode: CrashMode,
    stop: StopSignal,
}

#[derive(Debug)]
struct Counters {
    slow_factor: f64,
    fail_next: u32,
    fail_orders: u32,
    break_next: u32,
    turn_away_until: Option<Instant>,
    /// When a call was told first that all are turned away.
    turned_away_at: Option<Instant>,
    /// Calls that came some time after that.
    calls_in_backoff: u32,
}

impl ActiveFaults {
    /// No active fault.
    pub(crate) fn new(crash_mode: CrashMode, stop: StopSignal) -> Self {
        Self {
            counters: Mutex::new(Counters {
                slow_factor: 1.0,
                fail_next: 0,
                fail_orders: 0,
                break_next: 0,
                turn_away_until: None,
                turned_away_at: None,
                calls_in_backoff: 0,
            }),
            frozen: watch::channel(false).0,
            answers_held: watch::channel(false).0,
            crash_mode,
            stop,
        }
    }

    /// Sets faults.
    pub(crate) fn set(&self, faults: &BackendFaults) {
        self.set_counters(faults);
        if let Some(frozen) = faults.frozen {
            self.frozen.send_replace(frozen);
        }
        if let Some(hold) = faults.hold {
            self.answers_held.send_replace(hold);
        }
        if faults.die == Some(true) {
            self.die();
        }
    }

    /// Simulates work of this duration: longer while slow, and unfinished while frozen.
    pub(crate) async fn simulate_work(&self, time: Duration) {
        let slow_factor = self.lock().slow_factor;
        let wait = time.mul_f64(slow_factor);
        // A sleep of zero duration still waits for the timer's next millisecond.
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        self.until_unfrozen().await;
    }

    /// Waits until the server is not frozen.
    pub(crate) async fn until_unfrozen(&self) {
        wait_until_off(&self.frozen).await;
    }

    /// Waits until answers are not held.
    pub(crate) async fn until_released(&self) {
        wait_until_off(&self.answers_held).await;
    }

    /// Time for which the current call is turned away, if it is.
    pub(crate) fn turned_away(&self) -> Option<Duration> {
        let mut counters = self.lock();
        let now = Instant::now();
        let left = counters.turn_away_until?.checked_duration_since(now)?;
        let first = *counters.turned_away_at.get_or_insert(now);
        if now.duration_since(first) > BACKOFF_GRACE {
            counters.calls_in_backoff += 1;
        }
        Some(left)
    }

    /// Calls that came later than half a second after one had been told that all are turned away.
    pub(crate) fn calls_in_backoff(&self) -> u32 {
        self.lock().calls_in_backoff
    }

    /// Whether the current call fails; uses up one of the failures that were set.
    pub(crate) fn take_failure(&self) -> bool {
        decrement(&mut self.lock().fail_next)
    }

    /// Whether the current order fails; uses up one of the failures that were set.
    pub(crate) fn take_order_failure(&self) -> bool {
        decrement(&mut self.lock().fail_orders)
    }

    /// Whether the current answer is cut off; uses up one of the breaks that were set.
    pub(crate) fn take_break(&self) -> bool {
        decrement(&mut self.lock().break_next)
    }

    fn set_counters(&self, faults: &BackendFaults) {
        let mut counters = self.lock();
        if let Some(slow_factor) = faults.slow_factor {
            counters.slow_factor = slow_factor.max(0.0);
        }
        if let Some(fail_next) = faults.fail_next {
            counters.fail_next = fail_next;
        }
        if let Some(fail_orders) = faults.fail_orders {
            counters.fail_orders = fail_orders;
        }
        if let Some(seconds) = faults.turn_away_s {
            let time = Duration::try_from_secs_f64(seconds).unwrap_or_default();
            counters.turn_away_until = (!time.is_zero()).then(|| Instant::now() + time);
            counters.turned_away_at = None;
        }
        if let Some(break_next) = faults.break_mid_stream {
            counters.break_next = break_next;
        }
    }

    fn die(&self) {
        log::info!("backend: dies as told");
        match self.crash_mode {
            CrashMode::StopServer => self.stop.stop(),
            CrashMode::ExitProcess => std::process::exit(CrashMode::EXIT_CODE),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Counters> {
        // No code panics in the middle of a change, so a poisoned lock guards consistent state.
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn decrement(count: &mut u32) -> bool {
    let is_positive = *count > 0;
    *count -= u32::from(is_positive);
    is_positive
}

async fn wait_until_off(switch: &watch::Sender<bool>) {
    let mut switch = switch.subscribe();
    // The sender is borrowed for the whole wait, so this cannot fail.
    let _ = switch.wait_for(|on| !on).await;
}
