//! State of a sidecar that is readable without a message to its actor.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

use amaranthscale_core::id::{HostId, Incarnation};
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
            load: self.load(),
        }
    }
}
