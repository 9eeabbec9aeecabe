//! A backend server with its sidecar's decisions before it.

use std::time::Duration;

use amaranthscale_core::id::{HostId, Incarnation, ServiceId, TreeVersion};
use amaranthscale_core::process::{FairQueue, FairQueueLimits, LoadMeter};
use amaranthscale_core::unit::SidecarClock;
use amaranthscale_core::wire::{HostRecord, HostState, Stamp};

use super::service_spec::ServiceSpec;
use super::{Mechanism, Mechanisms};

/// Attempts that may wait per slot; above it a queue is longer than any deadline.
const QUEUED_PER_SLOT: u32 = 8;
/// One slot in so many is out of reach for trials.
const SLOTS_PER_RESERVED: u32 = 4;

/// Whether a fake server's process works.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Condition {
    /// It works.
    Up,
    /// Its process is gone; the host resets connections.
    Dead,
    /// Its host is gone; nothing answers.
    Gone,
    /// It is stopped, and will go on.
    Frozen,
}

/// Slots, a distribution of times, and the sidecar's queue.
#[derive(Debug)]
pub(super) struct FakeServer {
    pub(super) record: HostRecord,
    pub(super) service: usize,
    pub(super) condition: Condition,
    pub(super) speed_factor: f64,
    /// Grows when running work is lost, so that its end is passed over.
    pub(super) life: u32,
    pub(super) queue: FairQueue,
    pub(super) meter: LoadMeter,
    /// What arrived or ended while the process was stopped.
    pub(super) held: Vec<usize>,
    pub(super) held_ends: Vec<usize>,
}

impl FakeServer {
    pub(super) fn new(
        record: HostRecord,
        service: usize,
        spec: &ServiceSpec,
        mechanisms: &Mechanisms,
    ) -> Self {
        Self {
            record,
            service,
            condition: Condition::Up,
            speed_factor: 1.0,
            life: 0,
            queue: FairQueue::new(limits(spec, mechanisms)),
            meter: LoadMeter::default(),
            held: Vec::new(),
            held_ends: Vec::new(),
        }
    }

    pub(super) const fn host(&self) -> &HostId {
        &self.record.host
    }

    pub(super) const fn service_id(&self) -> Option<&ServiceId> {
        self.record.service.as_ref()
    }

    /// The state that rides on every answer.
    pub(super) fn stamp(&self, now: Duration) -> Stamp {
        Stamp {
            host: self.record.host.clone(),
            incarnation: Incarnation::new(u64::from(self.life)),
            clock: clock(now),
            tree_version: TreeVersion::new(1),
            is_leaving: self.record.state == HostState::Leaving,
            load: self.meter.report(&self.queue, clock(now)),
        }
    }

    /// Empties the server when its process or host goes.
    pub(super) fn lose_everything(&mut self, spec: &ServiceSpec, mechanisms: &Mechanisms) {
        self.life += 1;
        self.queue = FairQueue::new(limits(spec, mechanisms));
        self.held.clear();
        self.held_ends.clear();
    }
}

/// The sidecar's clock in a run: all sidecars started at its beginning.
pub(super) fn clock(now: Duration) -> SidecarClock {
    SidecarClock::from_millis(0).plus(now)
}

fn limits(spec: &ServiceSpec, mechanisms: &Mechanisms) -> FairQueueLimits {
    let queued = usize::try_from(spec.slots * QUEUED_PER_SLOT).unwrap_or(usize::MAX);
    let capacity = if mechanisms.has(Mechanism::Expiry) {
        queued
    } else {
        usize::MAX
    };
    let reserved = spec.slots / SLOTS_PER_RESERVED;
    let paid_reserve_slots = if mechanisms.has(Mechanism::Classes) {
        reserved
    } else {
        0
    };
    FairQueueLimits {
        slots: spec.slots,
        capacity,
        paid_reserve_slots,
    }
}
