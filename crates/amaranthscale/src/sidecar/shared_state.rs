//! State of a sidecar that is readable without a message to its actor.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::{HostId, Incarnation};
use amaranthscale_core::process::ServerBackoff;
use amaranthscale_core::unit::SidecarClock;
use amaranthscale_core::wire::{LoadReport, Stamp};
use tokio::time::Instant;

use super::TreeSource;

/// State of a sidecar that is readable without a message to its actor.
#[derive(Debug)]
pub(super) struct SharedState {
    pub(super) host: HostId,
    pub(super) incarnation: Incarnation,
    pub(super) tree: TreeSource,
    started: Instant,
    is_leaving: AtomicBool,
    /// Until when the backend server wants no calls.
    backoff_until: Mutex<SidecarClock>,
    load: Mutex<LoadReport>,
}

impl SharedState {
    pub(super) fn new(host: HostId, incarnation: Incarnation, tree: TreeSource) -> Self {
        Self {
            host,
            incarnation,
            tree,
            started: Instant::now(),
            is_leaving: AtomicBool::new(false),
            backoff_until: Mutex::default(),
            load: Mutex::new(LoadReport::default()),
        }
    }

    /// Current reading of the sidecar's clock.
    pub(super) fn now(&self) -> SidecarClock {
        SidecarClock::default().plus(self.started.elapsed())
    }

    /// The instant of a clock reading.
    pub(super) fn instant(&self, reading: SidecarClock) -> Instant {
        self.started + SidecarClock::default().until(reading)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Marks the backend server as leaving; false if it was already.
    pub(super) fn leave(&self) -> bool {
        !self.is_leaving.swap(true, Ordering::AcqRel)
    }

    /// Records that the backend server wants no calls for a while.
    pub(super) fn record_backoff(&self, backoff: ServerBackoff) {
        let until = self.now().plus(backoff.time());
        let mut known = self.backoff_until();
        *known = until.max(*known);
    }

    /// Time for which the backend server wants no calls.
    pub(super) fn backoff_left(&self) -> Duration {
        let until = *self.backoff_until();
        self.now().until(until)
    }

    fn backoff_until(&self) -> MutexGuard<'_, SidecarClock> {
        self.backoff_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn load(&self) -> LoadReport {
        *self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_load(&self, load: LoadReport) {
        *self.load.lock().unwrap_or_else(PoisonError::into_inner) = load;
    }

    pub(super) fn stamp(&self) -> Stamp {
        Stamp {
            host: self.host.clone(),
            incarnation: self.incarnation,
            clock: self.now(),
            tree_version: self.tree.version(),
            is_leaving: self.is_leaving(),
            // Rounded up, so that a backoff of less than a millisecond is not taken for none.
            backoff_ms: u64::try_from(self.backoff_left().as_micros().div_ceil(1_000))
                .unwrap_or(u64::MAX),
            load: self.load(),
        }
    }
}
