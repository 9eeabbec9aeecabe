//! Status of a sidecar's engine.

use std::sync::{Mutex, MutexGuard, PoisonError};

use amaranthscale_core::id::PlacementVersion;
use amaranthscale_core::version::Assignment;
use amaranthscale_core::wire::EngineReport;
use serde::Serialize;

use super::{OrderError, OrderSettings};

/// Status of an engine in `/status`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct EngineStatus {
    /// Whether it refuses orders with an old fencing number.
    pub honours_fence: bool,
    /// Placement that the sidecar applies; 0 until one was read.
    pub placement_version: PlacementVersion,
    /// Assignment in the placement; none if the placement does not contain the host.
    pub wanted: Option<Assignment>,
    /// Assignment that it last reported to run; none until it has answered.
    pub running: Option<Assignment>,
    /// Placement version of the order in flight.
    pub order_in_flight: Option<PlacementVersion>,
    /// Error of the last order or read of the engine; none after a success.
    pub last_failure: Option<String>,
}

/// Shared status of a sidecar's engine, readable while an order is in flight.
#[derive(Debug)]
pub struct SharedEngineStatus {
    status: Mutex<EngineStatus>,
}

impl SharedEngineStatus {
    pub(in crate::sidecar) fn new(settings: OrderSettings) -> Self {
        let status = EngineStatus {
            honours_fence: settings.honours_fence,
            ..EngineStatus::default()
        };
        Self {
            status: Mutex::new(status),
        }
    }

    pub(in crate::sidecar) fn status(&self) -> EngineStatus {
        self.lock().clone()
    }

    pub(in crate::sidecar) fn report(&self) -> EngineReport {
        let status = self.lock();
        EngineReport {
            placement_version: status.placement_version,
            running: status.running.clone(),
        }
    }

    pub(super) fn set_wanted(&self, version: PlacementVersion, wanted: Option<Assignment>) {
        let mut status = self.lock();
        status.placement_version = version;
        status.wanted = wanted;
    }

    pub(super) fn set_running(&self, running: Assignment) {
        let mut status = self.lock();
        if status.wanted.as_ref() == Some(&running) {
            status.last_failure = None;
        }
        status.running = Some(running);
    }

    pub(super) fn set_in_flight(&self, number: Option<PlacementVersion>) {
        self.lock().order_in_flight = number;
    }

    pub(super) fn set_confirmed(&self, running: Assignment) {
        let mut status = self.lock();
        status.running = Some(running);
        status.last_failure = None;
    }

    pub(super) fn set_failure(&self, error: &OrderError) {
        self.lock().last_failure = Some(error.to_string());
    }

    fn lock(&self) -> MutexGuard<'_, EngineStatus> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
