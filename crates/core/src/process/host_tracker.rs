//! Load and health of one host, as seen by a router.

use std::time::Duration;

use super::{AttemptEnd, RouterSettings, StageEstimate};
use crate::id::Incarnation;
use crate::unit::{Class, SidecarClock};
use crate::wire::{HostRecord, HostState, LoadReport, Stamp};

/// Weight of each new sample in the smoothed time; about the last ten samples count.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Number of samples below which the smoothed time is not used.
const MIN_SAMPLES: u32 = 5;
/// Added cost of a host that refuses everything, in multiples of an idle one: above any queue worth
/// joining.
const REFUSAL_COST: f64 = 10.0;
/// Reported load per slot above which a report is considered wrong.
const MAX_REPORTED_LOAD: u32 = 16;

/// Whether this entry sends work to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Health {
    /// Gets work.
    Healthy,
    /// Gets no work until a time.
    Ejected { until: Duration, duration: Duration },
    /// Gets one request whose end decides.
    Probing { since: Duration, duration: Duration },
}

/// The last stamp of a host.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastStamp {
    pub(super) incarnation: Incarnation,
    pub(super) clock: SidecarClock,
    pub(super) at: Duration,
    load: LoadReport,
    in_flight: u32,
}

/// All state of one host.
#[derive(Debug)]
pub(super) struct HostTracker {
    pub(super) record: HostRecord,
    pub(super) last_stamp: Option<LastStamp>,
    pub(super) health: Health,
    in_flight: u32,
    is_leaving: bool,
    /// Until when its backend server wants no work.
    backoff_until: Duration,
    failures: u32,
    answered_at: Duration,
    busy_since: Duration,
    lost_at: Option<Duration>,
    smoothed_ms: f64,
    samples: u32,
    refused_share: f64,
    refused_at: Duration,
}

impl HostTracker {
    pub(super) const fn new(record: HostRecord, now: Duration) -> Self {
        Self {
            record,
            last_stamp: None,
            health: Health::Healthy,
            in_flight: 0,
            is_leaving: false,
            backoff_until: Duration::ZERO,
            failures: 0,
            answered_at: now,
            busy_since: now,
            lost_at: None,
            smoothed_ms: 0.0,
            samples: 0,
            refused_share: 0.0,
            refused_at: now,
        }
    }

    /// Records a stamp, unless it is older than the last one.
    pub(super) fn observe(&mut self, stamp: &Stamp, now: Duration) {
        match self.last_stamp {
            Some(last_stamp) if last_stamp.incarnation != stamp.incarnation => {
                self.reset_after_restart();
            }
            // Answers may arrive out of order; an old one must not restore an old load.
            Some(last_stamp) if last_stamp.clock > stamp.clock => return,
            _ => {}
        }
        self.record_answer(now);
        self.is_leaving |= stamp.is_leaving;
        self.backoff_until = now.saturating_add(Duration::from_millis(stamp.backoff_ms));
        self.last_stamp = Some(LastStamp {
            incarnation: stamp.incarnation,
            clock: stamp.clock,
            at: now,
            load: stamp.load,
            in_flight: self.in_flight,
        });
    }

    pub(super) const fn started(&mut self, now: Duration) {
        if self.in_flight == 0 {
            self.busy_since = now;
        }
        // Only one attempt at a time tests whether an unresponsive host answers again.
        if self.lost_at.is_some() {
            self.lost_at = Some(now);
        }
        self.in_flight += 1;
    }

    pub(super) fn ended(&mut self, end: AttemptEnd, elapsed: Duration, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            AttemptEnd::Complete => {
                self.record_answer(now);
                self.refused_share -= self.refused_share * SAMPLE_WEIGHT;
                self.failures = 0;
                self.record_time(elapsed);
            }
            AttemptEnd::Refused(_) => {
                self.record_answer(now);
                self.refused_share += (1.0 - self.refused_share) * SAMPLE_WEIGHT;
                self.refused_at = now;
            }
            AttemptEnd::Failed => {
                self.record_answer(now);
                self.failures += 1;
            }
            AttemptEnd::TimedOut => {
                self.lost_at = Some(now);
                self.failures += 1;
            }
            AttemptEnd::Cancelled => {}
        }
    }

    /// Whether the host is about to leave and gets no work.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving || self.record.state == HostState::Leaving
    }

    /// When its backend server takes work again, unless it does now.
    pub(super) fn backoff_until(&self, now: Duration) -> Option<Duration> {
        (self.backoff_until > now).then_some(self.backoff_until)
    }

    pub(super) const fn is_ejected(&self) -> bool {
        !matches!(self.health, Health::Healthy)
    }

    /// Whether an ejection has ended, so that one request may probe the host.
    pub(super) fn is_due_for_probe(&self, now: Duration, settings: &RouterSettings) -> bool {
        match self.health {
            Health::Healthy => false,
            Health::Ejected { until, .. } => until <= now,
            // A probe that was cancelled, or whose end was lost, must not exclude the host for
            // ever.
            Health::Probing { since, .. } => since + settings.max_ejection <= now,
        }
    }

    /// Whether the host does not respond: a connection was lost, or nothing has arrived for long.
    ///
    /// A frozen host, or one whose availability zone has failed, keeps its connections open, and
    /// work sent there is lost. This is not an ejection and has no cap, as such a host adds no
    /// capacity; if no host responds, the router uses all of them.
    pub(super) fn is_unresponsive(&self, now: Duration, settings: &RouterSettings) -> bool {
        let is_lost = self
            .lost_at
            .is_some_and(|at| now.saturating_sub(at) < settings.unresponsive_after);
        let since = self.answered_at.max(self.busy_since);
        let is_stuck =
            self.in_flight > 0 && now.saturating_sub(since) > settings.unresponsive_after;
        is_lost || is_stuck
    }

    pub(super) const fn has_failed(&self, settings: &RouterSettings) -> bool {
        self.failures >= settings.failures_to_eject
    }

    pub(super) const fn eject(&mut self, settings: &RouterSettings, now: Duration) {
        let duration = match self.health {
            Health::Healthy => settings.ejection,
            Health::Ejected { duration, .. } | Health::Probing { duration, .. } => {
                duration.saturating_mul(2)
            }
        };
        let duration = if duration.as_nanos() > settings.max_ejection.as_nanos() {
            settings.max_ejection
        } else {
            duration
        };
        self.health = Health::Ejected {
            until: now.saturating_add(duration),
            duration,
        };
    }

    pub(super) const fn probe(&mut self, now: Duration) {
        if let Health::Ejected { duration, .. } | Health::Probing { duration, .. } = self.health {
            self.health = Health::Probing {
                since: now,
                duration,
            };
        }
    }

    /// Makes the next request the probe.
    pub(super) const fn reschedule_probe(&mut self, now: Duration) {
        if let Health::Probing { duration, .. } = self.health {
            self.health = Health::Ejected {
                until: now,
                duration,
            };
        }
    }

    /// Readmits the host and resets its failures and samples.
    pub(super) const fn readmit(&mut self) {
        self.health = Health::Healthy;
        self.failures = 0;
        self.samples = 0;
    }

    /// Smoothed time of complete answers, once there are enough samples.
    pub(super) fn smoothed_ms(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.smoothed_ms)
    }

    /// Cost factor of a host that has recently refused work.
    ///
    /// A host that refuses everything at once looks idle, and would attract more and more work. The
    /// factor decays, so that the host is tried again when it may have recovered.
    pub(super) fn refusal_factor(&self, now: Duration, settings: &RouterSettings) -> f64 {
        let age = now.saturating_sub(self.refused_at).as_secs_f64();
        let decay = (-age / settings.report_half_life.as_secs_f64()).exp2();
        1.0 + REFUSAL_COST * self.refused_share * decay
    }

    /// Known work at the host per slot.
    pub(super) fn load_per_slot(&self, now: Duration, settings: &RouterSettings) -> f64 {
        let others = self.others_load(now, settings);
        (f64::from(self.in_flight) + others) / f64::from(self.slots())
    }

    /// Expected time of a stage at this host.
    pub(super) fn estimate(
        &self,
        class: Class,
        now: Duration,
        settings: &RouterSettings,
    ) -> Option<StageEstimate> {
        let last_stamp = self.last_stamp?;
        let added_in_flight = self.in_flight.saturating_sub(last_stamp.in_flight);
        let reported =
            f64::from(attempts_ahead(class, &last_stamp.load)) * self.report_weight(now, settings);
        let ahead = reported + f64::from(added_in_flight) + 1.0 - f64::from(self.slots());
        let service_ms = u64::from(last_stamp.load.service_ms);
        let turns = ahead.max(0.0) / f64::from(self.slots());
        let queue = Duration::from_millis(service_ms).mul_f64(turns);
        let queue_ms = u64::try_from(queue.as_millis()).unwrap_or(u64::MAX);
        Some(StageEstimate {
            queue_ms,
            service_ms,
        })
    }

    fn slots(&self) -> u32 {
        self.last_stamp
            .map_or(1, |last_stamp| last_stamp.load.slots.max(1))
    }

    /// Load from other entries, by the last report.
    ///
    /// A wrong report, or one from before a burst ended, would keep a host empty or attract all
    /// entries to it. So it is bounded, and decays until only the entry's own count is left.
    fn others_load(&self, now: Duration, settings: &RouterSettings) -> f64 {
        let Some(last_stamp) = self.last_stamp else {
            return 0.0;
        };
        let reported = attempts_ahead(Class::Trial, &last_stamp.load);
        let bounded = reported.min(self.slots().saturating_mul(MAX_REPORTED_LOAD));
        let others = bounded.saturating_sub(last_stamp.in_flight);
        f64::from(others) * self.report_weight(now, settings)
    }

    fn report_weight(&self, now: Duration, settings: &RouterSettings) -> f64 {
        let Some(last_stamp) = self.last_stamp else {
            return 0.0;
        };
        let age = now.saturating_sub(last_stamp.at).as_secs_f64();
        (-age / settings.report_half_life.as_secs_f64()).exp2()
    }

    const fn record_answer(&mut self, now: Duration) {
        self.answered_at = now;
        self.lost_at = None;
    }

    fn record_time(&mut self, elapsed: Duration) {
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        if self.samples == 0 {
            self.smoothed_ms = elapsed_ms;
        }
        self.smoothed_ms += (elapsed_ms - self.smoothed_ms) * SAMPLE_WEIGHT;
        self.samples = self.samples.saturating_add(1);
    }

    /// A restarted sidecar may be healthy and is not necessarily leaving any more.
    const fn reset_after_restart(&mut self) {
        self.is_leaving = false;
        self.readmit();
    }
}

/// Running and queued attempts that go before a new one of a class.
const fn attempts_ahead(class: Class, load: &LoadReport) -> u32 {
    let paid = load.running.saturating_add(load.queued_paid);
    match class {
        Class::Paid => paid,
        Class::Trial => paid.saturating_add(load.queued_trial),
    }
}
