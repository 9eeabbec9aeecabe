//! What a sidecar measures of its backend server's load.

use super::FairQueue;
use crate::unit::Class;
use crate::wire::LoadReport;

/// Each new sample counts for one part in so many; about the last ten samples tell.
const SAMPLES: u64 = 10;

/// Smoothed times behind a sidecar's load reports.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::process::{FairQueue, FairQueueLimits, LoadMeter};
/// use amaranthscale_core::unit::Class;
///
/// let queue = FairQueue::new(FairQueueLimits { slots: 4, capacity: 8, paid_reserve_slots: 1 });
/// let mut meter = LoadMeter::default();
/// meter.waited(Class::Paid, 30);
/// meter.served(200);
/// assert_eq!(meter.report(&queue).service_ms, 200);
/// ```
#[expect(
    clippy::struct_field_names,
    reason = "fields carry their unit as a suffix"
)]
#[derive(Debug, Clone, Default)]
pub struct LoadMeter {
    service_ms: Option<u64>,
    queue_paid_ms: Option<u64>,
    queue_trial_ms: Option<u64>,
}

impl LoadMeter {
    /// Takes in how long an attempt waited before it ran.
    pub fn waited(&mut self, class: Class, queue_ms: u64) {
        match class {
            Class::Paid => smooth(&mut self.queue_paid_ms, queue_ms),
            Class::Trial => smooth(&mut self.queue_trial_ms, queue_ms),
        }
    }

    /// Takes in how long an attempt spent at the backend server.
    pub fn served(&mut self, service_ms: u64) {
        smooth(&mut self.service_ms, service_ms);
    }

    /// Time that the next attempt is expected to spend at the backend server.
    #[must_use]
    pub fn expected_ms(&self) -> u64 {
        self.service_ms.unwrap_or(0)
    }

    /// The present report.
    #[must_use]
    pub fn report(&self, queue: &FairQueue) -> LoadReport {
        LoadReport {
            queued_paid: bounded(queue.len(Class::Paid)),
            queued_trial: bounded(queue.len(Class::Trial)),
            running: queue.running(),
            slots: queue.slots(),
            service_ms: bounded(self.expected_ms()),
            queue_paid_ms: bounded(self.queue_paid_ms.unwrap_or(0)),
            queue_trial_ms: bounded(self.queue_trial_ms.unwrap_or(0)),
        }
    }
}

fn smooth(smoothed: &mut Option<u64>, sample: u64) {
    let former = smoothed.unwrap_or(sample);
    *smoothed = Some((former * (SAMPLES - 1) + sample) / SAMPLES);
}

fn bounded(number: impl TryInto<u32>) -> u32 {
    number.try_into().unwrap_or(u32::MAX)
}
