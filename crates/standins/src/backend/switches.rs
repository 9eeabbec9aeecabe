//! The faults that are switched on at one backend server.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use crate::backend::{BackendFaults, Death};
use crate::http::StopSignal;

/// The faults that are switched on.
#[derive(Debug)]
pub(crate) struct Switches {
    counters: Mutex<Counters>,
    frozen: watch::Sender<bool>,
    held: watch::Sender<bool>,
    death: Death,
    stop: StopSignal,
}

#[derive(Debug)]
struct Counters {
    slow_factor: f64,
    fail_next: u32,
    fail_orders: u32,
    break_next: u32,
}

impl Switches {
    /// No fault at all.
    pub(crate) fn new(death: Death, stop: StopSignal) -> Self {
        Self {
            counters: Mutex::new(Counters {
                slow_factor: 1.0,
                fail_next: 0,
                fail_orders: 0,
                break_next: 0,
            }),
            frozen: watch::channel(false).0,
            held: watch::channel(false).0,
            death,
            stop,
        }
    }

    /// Switches faults.
    pub(crate) fn switch(&self, faults: &BackendFaults) {
        self.switch_counters(faults);
        if let Some(frozen) = faults.frozen {
            self.frozen.send_replace(frozen);
        }
        if let Some(hold) = faults.hold {
            self.held.send_replace(hold);
        }
        if faults.die == Some(true) {
            self.die();
        }
    }

    /// Works for a time, longer while slow, and not to the end while frozen.
    pub(crate) async fn work(&self, time: Duration) {
        let slow_factor = self.lock().slow_factor;
        tokio::time::sleep(time.mul_f64(slow_factor)).await;
        self.thawed().await;
    }

    /// Waits while frozen.
    pub(crate) async fn thawed(&self) {
        wait_until_off(&self.frozen).await;
    }

    /// Waits while calls are held.
    pub(crate) async fn released(&self) {
        wait_until_off(&self.held).await;
    }

    /// Whether this call shall fail.
    pub(crate) fn take_failure(&self) -> bool {
        take(&mut self.lock().fail_next)
    }

    /// Whether this order shall fail.
    pub(crate) fn take_order_failure(&self) -> bool {
        take(&mut self.lock().fail_orders)
    }

    /// Whether this answer shall break off.
    pub(crate) fn take_break(&self) -> bool {
        take(&mut self.lock().break_next)
    }

    fn switch_counters(&self, faults: &BackendFaults) {
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
        if let Some(break_next) = faults.break_mid_stream {
            counters.break_next = break_next;
        }
    }

    fn die(&self) {
        log::info!("backend: dies as told");
        match self.death {
            Death::StopServer => self.stop.stop(),
            Death::ExitProcess => std::process::exit(Death::EXIT_CODE),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Counters> {
        // Nothing panics while it holds the lock half-way through a change.
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn take(count: &mut u32) -> bool {
    let taken = *count > 0;
    *count -= u32::from(taken);
    taken
}

async fn wait_until_off(switch: &watch::Sender<bool>) {
    let mut switch = switch.subscribe();
    // The sender is borrowed for the whole wait, so this cannot fail.
    let _ = switch.wait_for(|on| !on).await;
}
