//! What a gateway has measured of an engine since its last report.

use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::DecodeLoad;

/// Largest plausible prefill speed.
const MAX_TOKENS_PER_S: f64 = 1e7;
/// Largest plausible time of an event.
const MAX_EVENT_US: u32 = 60_000_000;
/// Prompts of one gateway at one engine that a report may contain.
const MAX_PREFILLS: usize = 256;
/// Events of one gateway's streams at one engine that a report may contain.
const MAX_EVENTS: u32 = 1_000_000;

quick_error! {
    /// Samples that cannot have been measured.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum InvalidSamples {
        /// A prompt that was prefilled faster than is possible, or not at all.
        Prefill(tokens: u32, us: u32) {
            display("{tokens} tokens prefilled in {us} µs: at least one, and at most 10 in each µs")
        }
        /// More prompts than one gateway sends.
        PrefillCount(count: usize) {
            display("{count} prompts in one report: at most {MAX_PREFILLS}")
        }
        /// Events that took too long or no time at all, or more of them than a stream has.
        Events(events: u32, mean_us: u32, least_us: u32) {
            display("{events} events of {mean_us} µs, at least {least_us} µs: at most 60 s each")
        }
        /// More running requests than an engine can have.
        Running(running: u32) {
            display("{running} running requests at one engine")
        }
    }
}

/// The time to a prompt's first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillSample {
    /// Tokens of the prompt, with those of earlier prompts in the queue and a fixed part.
    pub tokens: u32,
    /// Time from the send to the first event, or up to now if that is overdue.
    pub us: u32,
}

/// Samples of one engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSamples {
    /// Times to first events.
    pub prefills: Vec<PrefillSample>,
    /// Times between events of streams.
    pub events: u32,
    /// Their mean.
    pub mean_event_us: u32,
    /// The shortest of them, which no prefill has delayed.
    pub least_event_us: u32,
    /// Requests that the engine reported as running, when the last of these events arrived; none if
    /// the report was too old.
    pub running: Option<u32>,
    /// Mean age of the samples, when they were reported.
    pub age_ms: u32,
}

impl PrefillSample {
    pub(super) fn s_per_token(self) -> f64 {
        f64::from(self.us) / 1e6 / f64::from(self.tokens.max(1))
    }

    const fn new(tokens: u32, us: u32) -> Self {
        Self { tokens, us }
    }

    fn is_valid(self) -> bool {
        let speed = f64::from(self.tokens) / (f64::from(self.us) / 1e6);
        speed.is_finite() && speed > 0.0 && speed <= MAX_TOKENS_PER_S
    }
}

impl EngineSamples {
    /// Whether there is no sample.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.prefills.is_empty() && self.events == 0
    }

    /// An error if the samples cannot have been measured.
    pub fn check(&self) -> Result<(), InvalidSamples> {
        if self.prefills.len() > MAX_PREFILLS {
            return Err(InvalidSamples::PrefillCount(self.prefills.len()));
        }
        if let Some(invalid) = self.prefills.iter().find(|sample| !sample.is_valid()) {
            return Err(InvalidSamples::Prefill(invalid.tokens, invalid.us));
        }
        let (mean_us, least_us) = (self.mean_event_us, self.least_event_us);
        let is_valid = self.events <= MAX_EVENTS
            && (1..=MAX_EVENT_US).contains(&mean_us)
            && (1..=mean_us).contains(&least_us);
        if self.events > 0 && !is_valid {
            return Err(InvalidSamples::Events(self.events, mean_us, least_us));
        }
        if let Some(running) = self.running
            && !DecodeLoad::is_valid_running(running)
        {
            return Err(InvalidSamples::Running(running));
        }
        Ok(())
    }

    /// Adds a prompt. One that took no time is left out: the engine had all of it in its cache.
    pub(super) fn add_prefill(&mut self, tokens: u64, time: Duration) {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        let sample = PrefillSample::new(tokens, micros(time));
        if self.prefills.len() < MAX_PREFILLS && sample.is_valid() {
            self.prefills.push(sample);
        }
    }

    pub(super) fn add_event(&mut self, time: Duration) {
        let us = micros(time).min(MAX_EVENT_US);
        let sum = u64::from(self.mean_event_us) * u64::from(self.events) + u64::from(us);
        self.least_event_us = if self.events == 0 {
            us
        } else {
            self.least_event_us.min(us)
        };
        self.events = self.events.saturating_add(1);
        let mean = sum / u64::from(self.events);
        self.mean_event_us = u32::try_from(mean).unwrap_or(MAX_EVENT_US);
    }

    /// Adds other samples.
    pub(super) fn add(&mut self, other: &Self) {
        let free = MAX_PREFILLS.saturating_sub(self.prefills.len());
        self.prefills.extend(other.prefills.iter().take(free));
        if other.events == 0 {
            return;
        }
        self.least_event_us = if self.events == 0 {
            other.least_event_us
        } else {
            self.least_event_us.min(other.least_event_us)
        };
        self.running = other.running.or(self.running);
        let sum = |one: &Self| u64::from(one.mean_event_us) * u64::from(one.events);
        let sum = sum(self) + sum(other);
        self.events = self.events.saturating_add(other.events);
        let mean = sum / u64::from(self.events);
        self.mean_event_us = u32::try_from(mean).unwrap_or(MAX_EVENT_US);
    }

    /// Time of all samples to first events, and between events.
    pub(super) fn times_s(&self) -> (f64, f64) {
        let prefill_us: f64 = self.prefills.iter().map(|one| f64::from(one.us)).sum();
        let event_us = f64::from(self.mean_event_us) * f64::from(self.events);
        (prefill_us / 1e6, event_us / 1e6)
    }
}

/// Microseconds, at least one, as samples of no time are invalid.
fn micros(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX).max(1)
}
