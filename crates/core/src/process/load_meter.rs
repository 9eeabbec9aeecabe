//! Measures the load of a sidecar's backend server.
//!
//! The expected time decides what a queue accepts, and only accepted attempts are measured. So an
//! expected time without new samples decays: otherwise a server that was frozen or slow would
//! refuse everything for ever because of its last samples.

use std::time::Duration;

use super::FairQueue;
use crate::unit::{Class, SidecarClock};
use crate::wire::LoadReport;

/// Each new sample has a weight of one in this number; about the last ten samples count.
const SAMPLE_COUNT: u64 = 10;
/// Age of the last sample from which the expected time is halved, repeatedly.
const HALVING_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time without a sample that is attributed to work that is still running.
const MAX_RUNNING_MS: u64 = 2_000;
/// Number of halvings after which any expected time is zero.
const MAX_HALVINGS: u128 = 20;

/// Smoothed times for a sidecar's load reports.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::process::{FairQueue, FairQueueLimits, LoadMeter};
/// use amaranthscale_core::unit::{Class, SidecarClock};
///
/// let queue = FairQueue::new(FairQueueLimits { slots: 4, capacity: 8, paid_reserve_slots: 1 });
/// let mut meter = LoadMeter::default();
/// let now = SidecarClock::from_millis(500);
/// meter.record_wait(Class::Paid, 30);
/// meter.record_service(200, now);
/// assert_eq!(meter.report(&queue, now).service_ms, 200);
/// ```
#[derive(Debug, Clone, Default)]
pub struct LoadMeter {
    service_ms: Option<u64>,
    queue_paid_ms: Option<u64>,
    queue_trial_ms: Option<u64>,
    sampled_at: SidecarClock,
}

impl LoadMeter {
    /// Records how long an attempt waited before it ran.
    pub fn record_wait(&mut self, class: Class, queue_ms: u64) {
        match class {
            Class::Paid => smooth(&mut self.queue_paid_ms, queue_ms),
            Class::Trial => smooth(&mut self.queue_trial_ms, queue_ms),
        }
    }

    /// Records how long an attempt spent at the backend server.
    pub fn record_service(&mut self, service_ms: u64, now: SidecarClock) {
        smooth(&mut self.service_ms, service_ms);
        self.sampled_at = now;
    }

    /// Records how long an attempt had run when it was cancelled.
    ///
    /// Cancelled work took at least that long. Otherwise only the fast attempts of a slow period
    /// would be measured, and entries would go on admitting work that cannot end in time.
    pub fn record_cancelled(&mut self, service_ms: u64, now: SidecarClock) {
        if self
            .service_ms
            .is_some_and(|smoothed_ms| service_ms > smoothed_ms)
        {
            self.record_service(service_ms, now);
        }
    }

    /// Expected time of the next attempt at the backend server.
    #[must_use]
    pub fn expected_ms(&self, now: SidecarClock) -> u64 {
        let smoothed_ms = self.service_ms.unwrap_or(0);
        // While work of the expected length may still be running, missing samples mean nothing.
        let grace = HALVING_INTERVAL + Duration::from_millis(smoothed_ms.min(MAX_RUNNING_MS));
        let age = self.sampled_at.until(now).saturating_sub(grace);
        let halvings = age
            .as_millis()
            .div_ceil(HALVING_INTERVAL.as_millis())
            .min(MAX_HALVINGS);
        (0..halvings).fold(smoothed_ms, |left_ms, _| left_ms / 2)
    }

    /// The current load report.
    #[must_use]
    pub fn report(&self, queue: &FairQueue, now: SidecarClock) -> LoadReport {
        LoadReport {
            queued_paid: bounded(queue.len(Class::Paid)),
            queued_trial: bounded(queue.len(Class::Trial)),
            running: queue.running(),
            slots: queue.slots(),
            service_ms: bounded(self.expected_ms(now)),
            queue_paid_ms: bounded(self.queue_paid_ms.unwrap_or(0)),
            queue_trial_ms: bounded(self.queue_trial_ms.unwrap_or(0)),
        }
    }
}

fn smooth(smoothed: &mut Option<u64>, sample: u64) {
    let previous = smoothed.unwrap_or(sample);
    *smoothed = Some((previous * (SAMPLE_COUNT - 1) + sample) / SAMPLE_COUNT);
}

fn bounded(number: impl TryInto<u32>) -> u32 {
    number.try_into().unwrap_or(u32::MAX)
}
