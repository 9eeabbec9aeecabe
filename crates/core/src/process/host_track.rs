//! What a router knows of one host.

use std::time::Duration;

use super::{AttemptEnd, RouterSettings, StageEstimate};
use crate::id::Incarnation;
use crate::unit::{Class, SidecarClock};
use crate::wire::{HostRecord, HostState, LoadReport, Stamp};

/// Part of each new sample in the smoothed time; about the last ten samples count.
const SAMPLE_SHARE: f64 = 0.2;
/// Samples below which a smoothed time says nothing.
const MIN_SAMPLES: u32 = 5;
/// Added cost of a host that refuses all, in units of an idle one: above any queue worth joining.
const REFUSAL_COST: f64 = 10.0;
/// Reported load per slot above which a report is taken for wrong.
const MAX_REPORTED_LOAD: u32 = 16;

/// Whether a host takes work from this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Health {
    /// Takes work.
    Healthy,
    /// Takes none until a time.
    Ejected { until: Duration, last: Duration },
    /// Has one request that decides.
    Probing { since: Duration, last: Duration },
}

/// The last stamp of a host.
#[derive(Debug, Clone, Copy)]
pub(super) struct Seen {
    pub(super) incarnation: Incarnation,
    pub(super) clock: SidecarClock,
    pub(super) at: Duration,
    load: LoadReport,
    in_flight: u32,
}

/// One host with all that was seen of it.
#[derive(Debug)]
pub(super) struct HostTrack {
    pub(super) record: HostRecord,
    pub(super) seen: Option<Seen>,
    pub(super) health: Health,
    in_flight: u32,
    is_leaving: bool,
    failures: u32,
    answered_at: Duration,
    busy_since: Duration,
    lost_at: Option<Duration>,
    smoothed_ms: f64,
    samples: u32,
    refused_share: f64,
    refused_at: Duration,
}

impl HostTrack {
    pub(super) const fn new(record: HostRecord, now: Duration) -> Self {
        Self {
            record,
            seen: None,
            health: Health::Healthy,
            in_flight: 0,
            is_leaving: false,
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

    /// Takes in a stamp; one older than the last is passed over.
    pub(super) fn observe(&mut self, stamp: &Stamp, now: Duration) {
        match self.seen {
            Some(seen) if seen.incarnation != stamp.incarnation => self.forget_former_life(),
            // Answers overtake one another; an old one must not bring an old load back.
            Some(seen) if seen.clock > stamp.clock => return,
            _ => {}
        }
        self.note_answer(now);
        self.is_leaving |= stamp.is_leaving;
        self.seen = Some(Seen {
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
        // One attempt at a time looks whether a lost host is back.
        if self.lost_at.is_some() {
            self.lost_at = Some(now);
        }
        self.in_flight += 1;
    }

    pub(super) fn ended(&mut self, end: AttemptEnd, elapsed: Duration, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            AttemptEnd::Complete => {
                self.note_answer(now);
                self.refused_share -= self.refused_share * SAMPLE_SHARE;
                self.failures = 0;
                self.sample(elapsed);
            }
            AttemptEnd::Refused(_) => {
                self.note_answer(now);
                self.refused_share += (1.0 - self.refused_share) * SAMPLE_SHARE;
                self.refused_at = now;
            }
            AttemptEnd::Failed => {
                self.note_answer(now);
                self.failures += 1;
            }
            AttemptEnd::TimedOut => {
                self.lost_at = Some(now);
                self.failures += 1;
            }
            AttemptEnd::Cancelled => {}
        }
    }

    /// Whether the host may get work at all.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving || self.record.state == HostState::Leaving
    }

    pub(super) const fn is_out(&self) -> bool {
        !matches!(self.health, Health::Healthy)
    }

    /// Whether an ejection has run out, so that one request may try the host.
    pub(super) fn is_due_for_probe(&self, now: Duration, settings: &RouterSettings) -> bool {
        match self.health {
            Health::Healthy => false,
            Health::Ejected { until, .. } => until <= now,
            // A probe that was cancelled, or whose end was lost, must not shut the host out.
            Health::Probing { since, .. } => since + settings.max_ejection <= now,
        }
    }

    /// Whether the host does not answer: a connection was lost, or nothing has come for long.
    ///
    /// A frozen host, or one whose availability zone is gone, keeps its connections open, and work
    /// sent there is lost. This is no ejection and has no cap, as such a host adds no capacity;
    /// where all hosts are silent, the router uses them all.
    pub(super) fn is_silent(&self, now: Duration, settings: &RouterSettings) -> bool {
        let is_lost = self
            .lost_at
            .is_some_and(|at| now.saturating_sub(at) < settings.silence);
        let since = self.answered_at.max(self.busy_since);
        let is_stuck = self.in_flight > 0 && now.saturating_sub(since) > settings.silence;
        is_lost || is_stuck
    }

    pub(super) const fn has_failed(&self, settings: &RouterSettings) -> bool {
        self.failures >= settings.failures_to_eject
    }

    pub(super) const fn eject(&mut self, settings: &RouterSettings, now: Duration) {
        let last = match self.health {
            Health::Healthy => settings.ejection,
            Health::Ejected { last, .. } | Health::Probing { last, .. } => last.saturating_mul(2),
        };
        let last = if last.as_nanos() > settings.max_ejection.as_nanos() {
            settings.max_ejection
        } else {
            last
        };
        self.health = Health::Ejected {
            until: now.saturating_add(last),
            last,
        };
    }

    pub(super) const fn probe(&mut self, now: Duration) {
        if let Health::Ejected { last, .. } | Health::Probing { last, .. } = self.health {
            self.health = Health::Probing { since: now, last };
        }
    }

    /// Lets the next request be the probe.
    pub(super) const fn await_probe(&mut self, now: Duration) {
        if let Health::Probing { last, .. } = self.health {
            self.health = Health::Ejected { until: now, last };
        }
    }

    /// Takes the host back, with a clean record.
    pub(super) const fn readmit(&mut self) {
        self.health = Health::Healthy;
        self.failures = 0;
        self.samples = 0;
    }

    /// Smoothed time of complete answers, once there are enough.
    pub(super) fn smoothed_ms(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.smoothed_ms)
    }

    /// Factor on the cost of a host that has refused of late.
    ///
    /// A host that refuses everything at once looks idle, and would draw more and more work. The
    /// factor fades, so that the host is tried again when it may have recovered.
    pub(super) fn refusal_factor(&self, now: Duration, settings: &RouterSettings) -> f64 {
        let age = now.saturating_sub(self.refused_at).as_secs_f64();
        let faded = (-age / settings.report_half_life.as_secs_f64()).exp2();
        1.0 + REFUSAL_COST * self.refused_share * faded
    }

    /// Work at the host per slot, as far as it is known.
    pub(super) fn load_per_slot(&self, now: Duration, settings: &RouterSettings) -> f64 {
        let others = self.others_load(now, settings);
        (f64::from(self.in_flight) + others) / f64::from(self.slots())
    }

    /// Expected time of a stage here.
    pub(super) fn estimate(
        &self,
        class: Class,
        now: Duration,
        settings: &RouterSettings,
    ) -> Option<StageEstimate> {
        let seen = self.seen?;
        let grown = self.in_flight.saturating_sub(seen.in_flight);
        let reported = f64::from(waiting_before(class, &seen.load)) * self.freshness(now, settings);
        let before = reported + f64::from(grown) + 1.0 - f64::from(self.slots());
        let service_ms = u64::from(seen.load.service_ms);
        let turns = before.max(0.0) / f64::from(self.slots());
        let queue = Duration::from_millis(service_ms).mul_f64(turns);
        let queue_ms = u64::try_from(queue.as_millis()).unwrap_or(u64::MAX);
        Some(StageEstimate {
            queue_ms,
            service_ms,
        })
    }

    fn slots(&self) -> u32 {
        self.seen.map_or(1, |seen| seen.load.slots.max(1))
    }

    /// Load that other entries bring, from the last report.
    ///
    /// A wrong report, or one from before a crowd left, would keep a host empty or draw everyone
    /// to it. So it is bounded, and fades until only the entry's own count is left.
    fn others_load(&self, now: Duration, settings: &RouterSettings) -> f64 {
        let Some(seen) = self.seen else { return 0.0 };
        let reported = waiting_before(Class::Trial, &seen.load);
        let bounded = reported.min(self.slots().saturating_mul(MAX_REPORTED_LOAD));
        let others = bounded.saturating_sub(seen.in_flight);
        f64::from(others) * self.freshness(now, settings)
    }

    fn freshness(&self, now: Duration, settings: &RouterSettings) -> f64 {
        let Some(seen) = self.seen else { return 0.0 };
        let age = now.saturating_sub(seen.at).as_secs_f64();
        (-age / settings.report_half_life.as_secs_f64()).exp2()
    }

    const fn note_answer(&mut self, now: Duration) {
        self.answered_at = now;
        self.lost_at = None;
    }

    fn sample(&mut self, elapsed: Duration) {
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        if self.samples == 0 {
            self.smoothed_ms = elapsed_ms;
        }
        self.smoothed_ms += (elapsed_ms - self.smoothed_ms) * SAMPLE_SHARE;
        self.samples = self.samples.saturating_add(1);
    }

    /// A restarted sidecar may be healthy and need not be leaving any more.
    const fn forget_former_life(&mut self) {
        self.is_leaving = false;
        self.readmit();
    }
}

/// Attempts that run or wait and go before a new one of a class.
const fn waiting_before(class: Class, load: &LoadReport) -> u32 {
    let paid = load.running.saturating_add(load.queued_paid);
    match class {
        Class::Paid => paid,
        Class::Trial => paid.saturating_add(load.queued_trial),
    }
}
