//! Recent samples of one engine.

use std::collections::VecDeque;
use std::time::Duration;

use super::SPEED_LIFETIME;
use super::decode_line::DecodeLine;
use super::engine_samples::{EngineSamples, PrefillSample};

/// Prompts that count at most; an engine of forty-two gets about two a second.
const MAX_PREFILLS: usize = 48;
/// Reports of events that count at most.
const MAX_EVENT_REPORTS: usize = 256;
/// Tokens from which the prefill is estimated.
const MIN_TOKENS: f64 = 12_000.0;
/// Quantile of the time per token. Prompts that waited behind those of other gateways take longer
/// than the engine needs, so the faster ones show its speed.
const PREFILL_QUANTILE: f64 = 0.3;
/// Quantile of the reports' shortest times between events.
const EVENT_QUANTILE: f64 = 0.5;
/// Ratio to the usual time up to which no prefill has delayed an event.
const MAX_UNDELAYED_FACTOR: f64 = 1.6;
/// Age up to which events show the current speed.
const RECENT: Duration = Duration::from_millis(700);
/// Factor between recent events and the usual ones from which the engine is slower now. Prefill
/// between the events takes up to 2.6 times as long as they do.
const MIN_RECENT_FACTOR: f64 = 2.8;
/// Factor from which the engine has recovered from being slow.
const MAX_RECOVERED_FACTOR: f64 = 0.5;
/// Recent events from which a change of speed is certain.
const MIN_CHANGE_EVENTS: f64 = 4.0;
/// Largest factor between recent events and the usual ones.
const MAX_RECENT_FACTOR: f64 = 10.0;

#[derive(Debug, Clone, Copy)]
struct EventReport {
    taken_at: Duration,
    events: u32,
    least_us: u32,
    running: Option<u32>,
}

/// Samples of one engine.
#[derive(Debug, Clone)]
pub(super) struct EngineAggregate {
    prefills: VecDeque<(Duration, PrefillSample)>,
    events: VecDeque<EventReport>,
}

impl EngineAggregate {
    pub(super) const fn new() -> Self {
        Self {
            prefills: VecDeque::new(),
            events: VecDeque::new(),
        }
    }

    /// Adds valid samples, unless they are too old.
    pub(super) fn add(&mut self, samples: &EngineSamples, now: Duration) {
        let age = Duration::from_millis(u64::from(samples.age_ms));
        if age > SPEED_LIFETIME {
            return;
        }
        let taken_at = now.saturating_sub(age);
        let prefills = samples.prefills.iter();
        self.prefills
            .extend(prefills.map(|sample| (taken_at, *sample)));
        if samples.events > 0 {
            self.events.push_back(EventReport {
                taken_at,
                events: samples.events,
                least_us: samples.least_event_us,
                running: samples.running,
            });
        }
        let excess = self.prefills.len().saturating_sub(MAX_PREFILLS);
        self.prefills.drain(..excess);
        let excess = self.events.len().saturating_sub(MAX_EVENT_REPORTS);
        self.events.drain(..excess);
    }

    /// Removes samples that are too old.
    pub(super) fn expire(&mut self, now: Duration) {
        let is_current = |at: Duration| now.saturating_sub(at) <= SPEED_LIFETIME;
        self.prefills.retain(|(at, _)| is_current(*at));
        self.events.retain(|report| is_current(report.taken_at));
    }

    pub(super) fn prefill_s_per_token(&self) -> Option<f64> {
        let samples = self.prefills.iter();
        let weighted = samples.map(|(_, one)| (one.s_per_token(), f64::from(one.tokens)));
        weighted_quantile(weighted.collect(), PREFILL_QUANTILE, MIN_TOKENS)
    }

    /// Time between events that no prefill has delayed.
    pub(super) fn event_us(&self) -> Option<f64> {
        let events = self.events.iter();
        let least = events.map(|report| (f64::from(report.least_us), 1.0));
        weighted_quantile(least.collect(), EVENT_QUANTILE, 1.0)
    }

    /// The events' times by the number of running requests, without those that prefill has delayed.
    pub(super) fn decode_line(&self) -> DecodeLine {
        let mut line = DecodeLine::default();
        let Some(usual_us) = self.event_us() else {
            return line;
        };
        for report in &self.events {
            let least_us = f64::from(report.least_us);
            if let Some(running) = report.running
                && least_us <= usual_us * MAX_UNDELAYED_FACTOR
            {
                line.add(f64::from(running), least_us);
            }
        }
        line
    }

    /// Ratio of the last events' time to the usual one; 1 if prefill explains the difference.
    pub(super) fn recent_factor(&self, now: Duration) -> f64 {
        self.recent_change(now).map_or(1.0, |(factor, _)| factor)
    }

    /// Forgets earlier samples once the last events show that the engine's speed has changed.
    ///
    /// Guards against prompts that avoid an engine for as long as its slow samples last, and against
    /// estimates that return to the usual speed while the engine is still slow.
    pub(super) fn forget_before_change(&mut self, now: Duration) {
        let change = self.recent_change(now);
        if change.is_some_and(|(_, events)| events >= MIN_CHANGE_EVENTS) {
            let is_recent = |at: Duration| now.saturating_sub(at) <= RECENT;
            self.prefills.retain(|(at, _)| is_recent(*at));
            self.events.retain(|report| is_recent(report.taken_at));
        }
    }

    /// Ratio of the last events' time to the usual one and the number of these events, if prefill
    /// does not explain the difference.
    fn recent_change(&self, now: Duration) -> Option<(f64, f64)> {
        let event_us = self.event_us()?;
        let recent = self
            .events
            .iter()
            .filter(|report| now.saturating_sub(report.taken_at) <= RECENT);
        let (mut events, mut time_us, mut weighted_us) = (0.0, 0.0, 0.0);
        for report in recent {
            let least_us = f64::from(report.least_us);
            events += f64::from(report.events);
            time_us += least_us * f64::from(report.events);
            weighted_us += least_us * least_us * f64::from(report.events);
        }
        if events < 1.0 {
            return None;
        }
        // Weighted by time, as an engine that has just become slow has sent few events since.
        let slowed = weighted_us / time_us / event_us;
        let recovered = time_us / events / event_us;
        if slowed >= MIN_RECENT_FACTOR {
            Some((slowed.min(MAX_RECENT_FACTOR), events))
        } else if recovered <= MAX_RECOVERED_FACTOR {
            Some((recovered.max(1.0 / MAX_RECENT_FACTOR), events))
        } else {
            None
        }
    }
}

/// The quantile of weighted numbers; none below a total weight.
fn weighted_quantile(mut numbers: Vec<(f64, f64)>, quantile: f64, min_weight: f64) -> Option<f64> {
    let total: f64 = numbers.iter().map(|(_, weight)| weight).sum();
    if total < min_weight {
        return None;
    }
    numbers.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let mut below = 0.0;
    let found = numbers.iter().find(|(_, weight)| {
        below += weight;
        below >= total * quantile
    });
    found.map(|(number, _)| *number)
}
