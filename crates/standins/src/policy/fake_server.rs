//! A simulated backend server with its sidecar's decisions.

use std::time::Duration;

use amaranthscale_core::id::{HostId, Incarnation, ServiceId, TreeVersion};
use amaranthscale_core::process::{FairQueue, FairQueueLimits, LoadMeter};
use amaranthscale_core::unit::SidecarClock;
use amaranthscale_core::wire::{HostRecord, HostState, Stamp};

use super::service_spec::ServiceSpec;
use super::{Mechanism, Mechanisms};

/// Queued attempts per slot; with more a queue would be longer than any deadline.
const QUEUED_PER_SLOT: u32 = 8;
/// Slots per slot that is reserved for paid work.
const SLOTS_PER_RESERVED: u32 = 4;

/// Condition of a simulated server's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Condition {
    /// The process runs.
    Up,
    /// The process has ended; the host resets connections.
    Dead,
    /// The host is gone; connections get no answer.
    Gone,
    /// The process is suspended and will resume.
    Frozen,
}

/// Slots, distribution of service times, and the sidecar's queue.
#[derive(Debug)]
pub(super) struct FakeServer {
    pub(super) record: HostRecord,
    pub(super) service: usize,
    pub(super) condition: Condition,
    pub(super) speed_factor: f64,
    /// Increased when running work is lost, so that its completion event is ignored.
    pub(super) incarnation: u32,
    pub(super) queue: FairQueue,
    pub(super) meter: LoadMeter,
    /// Attempts that arrived while the process was frozen.
    pub(super) held_arrivals: Vec<usize>,
    /// Attempts that ended while the process was frozen.
    pub(super) held_completions: Vec<usize>,
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
            incarnation: 0,
            queue: FairQueue::new(limits(spec, mechanisms)),
            meter: LoadMeter::default(),
            held_arrivals: Vec::new(),
            held_completions: Vec::new(),
        }
    }

    pub(super) const fn host(&self) -> &HostId {
        &self.record.host
    }

    pub(super) const fn service_id(&self) -> Option<&ServiceId> {
        self.record.service.as_ref()
    }

    /// The state stamp of every answer.
    pub(super) fn stamp(&self, now: Duration) -> Stamp {
        Stamp {
            host: self.record.host.clone(),
            incarnation: Incarnation::new(u64::from(self.incarnation)),
            clock: clock(now),
            tree_version: TreeVersion::new(1),
            is_leaving: self.record.state == HostState::Leaving,
            backoff_ms: 0,
            load: self.meter.report(&self.queue, clock(now)),
        }
    }

    /// Drops all work when the server's process or host is lost.
    pub(super) fn drop_all_work(&mut self, spec: &ServiceSpec, mechanisms: &Mechanisms) {
        self.incarnation += 1;
        self.queue = FairQueue::new(limits(spec, mechanisms));
        self.held_arrivals.clear();
        self.held_completions.clear();
    }
}

/// The sidecars' clock in a run; all sidecars start with the run.
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
