//! A gateway's runs at one engine, and the samples that they give.

use std::collections::BTreeMap;
use std::time::Duration;

use super::engine_cost::EngineCost;
use super::engine_samples::EngineSamples;
use crate::process::count::as_f64;

/// Tokens that are added to each prompt for the fixed part of the time to its first event.
pub(crate) const PROMPT_OVERHEAD_TOKENS: u64 = 1_000;
/// Multiple of the expected time from which a first event or the next event is overdue.
const OVERDUE_FACTOR: u32 = 2;
/// Time beyond the expected one below which nothing is overdue.
const OVERDUE_MARGIN: Duration = Duration::from_millis(150);
/// Largest factor by which overdue runs increase an engine's cost.
const MAX_OVERDUE_FACTOR: f64 = 8.0;

/// Age up to which a reported number of running requests holds: most of them last longer.
const RUNNING_LIFETIME: Duration = Duration::from_secs(1);

/// Identifies a run at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineRunId(pub(super) u64);

#[derive(Debug, Clone, Copy)]
enum Phase {
    /// Before the first event; with the prompt's own tokens and those that are ahead of them.
    Prefill { own_tokens: u64, ahead_tokens: u64 },
    /// Between events.
    Decode,
}

#[derive(Debug, Clone, Copy)]
struct OpenRun {
    phase: Phase,
    /// When it was sent or its last event arrived.
    since: Duration,
    /// Whether a sample of the time up to a later moment was added, as the event was overdue.
    is_counted: bool,
}

/// A gateway's runs at one engine.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineRuns {
    open: BTreeMap<EngineRunId, OpenRun>,
    /// Requests that the engine last reported as running, and when.
    running: Option<(u32, Duration)>,
    pub(super) samples: EngineSamples,
}

impl EngineRuns {
    pub(super) fn begin(
        &mut self,
        run: EngineRunId,
        own_tokens: u64,
        ahead_tokens: u64,
        now: Duration,
    ) {
        let phase = Phase::Prefill {
            own_tokens,
            ahead_tokens,
        };
        let open = OpenRun {
            phase,
            since: now,
            is_counted: false,
        };
        self.open.insert(run, open);
    }

    pub(super) fn record_event(&mut self, run: EngineRunId, now: Duration) {
        let Some(open) = self.open.get_mut(&run) else {
            return;
        };
        open.count(now, &mut self.samples);
        let running = self.running;
        let running = running.filter(|(_, at)| now.saturating_sub(*at) <= RUNNING_LIFETIME);
        self.samples.running = running.map(|(running, _)| running);
        open.phase = Phase::Decode;
        open.since = now;
        open.is_counted = false;
    }

    pub(super) const fn record_running(&mut self, running: u32, now: Duration) {
        self.running = Some((running, now));
    }

    pub(super) fn end(&mut self, run: EngineRunId) {
        self.open.remove(&run);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub(super) fn count(&self) -> usize {
        self.open.len()
    }

    /// Tokens of own prompts that are not prefilled yet, by the engine's expected speed.
    pub(super) fn backlog_tokens(&self, cost: Option<EngineCost>, now: Duration) -> f64 {
        let left = self.open.values().map(|run| match run.phase {
            Phase::Prefill { own_tokens, .. } => {
                let done = cost.map_or(0.0, |cost| {
                    now.saturating_sub(run.since).as_secs_f64() / cost.prefill_s_per_token
                });
                // Prompts are prefilled in turn, so the time since the send is a bound for all of
                // them together; half of the prompt is the mean of what is left.
                (as_f64(own_tokens) - done).max(as_f64(own_tokens) * 0.1)
            }
            Phase::Decode => 0.0,
        });
        left.sum()
    }

    /// Adds the time of overdue runs to the samples once: a lower bound, which is evidence before
    /// their event arrives.
    pub(super) fn count_overdue(&mut self, cost: EngineCost, now: Duration) {
        for run in self.open.values_mut() {
            if !run.is_counted && run.overdue_factor(cost, now).is_some() {
                run.is_counted = true;
                run.count(now, &mut self.samples);
            }
        }
    }

    /// Factor by which the most overdue run exceeds its expected time; 1 if none is overdue.
    pub(super) fn overdue_factor(&self, cost: EngineCost, now: Duration) -> f64 {
        let runs = self.open.values();
        let factors = runs.filter_map(|run| run.overdue_factor(cost, now));
        factors.fold(1.0, f64::max).min(MAX_OVERDUE_FACTOR)
    }
}

impl OpenRun {
    /// Adds the time up to now to the samples.
    fn count(&mut self, now: Duration, samples: &mut EngineSamples) {
        let elapsed = now.saturating_sub(self.since);
        match self.phase {
            Phase::Prefill {
                own_tokens,
                ahead_tokens,
            } => {
                let tokens = own_tokens + ahead_tokens + PROMPT_OVERHEAD_TOKENS;
                samples.add_prefill(tokens, elapsed);
            }
            Phase::Decode => samples.add_event(elapsed),
        }
    }

    fn overdue_factor(&self, cost: EngineCost, now: Duration) -> Option<f64> {
        let expected = match self.phase {
            Phase::Prefill {
                own_tokens,
                ahead_tokens,
            } => cost.prefill_time(as_f64(own_tokens + ahead_tokens + PROMPT_OVERHEAD_TOKENS)),
            Phase::Decode => Duration::try_from_secs_f64(cost.event_s?).ok()?,
        };
        let elapsed = now.saturating_sub(self.since);
        let is_overdue = elapsed > expected.saturating_mul(OVERDUE_FACTOR)
            && elapsed.saturating_sub(expected) > OVERDUE_MARGIN;
        is_overdue.then(|| elapsed.as_secs_f64() / expected.as_secs_f64().max(1e-3))
    }
}
