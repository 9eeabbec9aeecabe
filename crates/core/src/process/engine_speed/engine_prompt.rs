//! What the choice of an engine needs to know of a request.

use std::time::Duration;

use super::PromptHomes;
use crate::version::TransferSpec;

/// Fraction of the time that is left within which a prompt with shared parts has to begin at its
/// home; the rest is for the error of the expected time.
const MAX_TIME_FRACTION: f64 = 0.4;

/// A request's prompt and how it may be answered.
#[derive(Debug, Clone, Copy)]
pub struct EnginePrompt<'a> {
    /// Id of the last prefix that it shares with other requests.
    pub shared_prefix: &'a str,
    /// Engines that hold its shared parts.
    pub homes: &'a PromptHomes,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens of its shared parts.
    pub shared_tokens: u64,
    /// Time to the first event up to which no faster engine is needed.
    pub acceptable_time: Duration,
    /// Time to the first event within which the answer is on time, as far as the stages before it
    /// can be foreseen.
    pub time_left: Duration,
    /// Longest pause between events for which the answer is on time.
    pub max_event_gap: Option<Duration>,
    /// How engines fetch shared parts from each other, if they may.
    pub fetch: Option<TransferSpec>,
}

impl EnginePrompt<'_> {
    /// Time to the first event up to which the prompt stays where its shared parts are.
    pub(crate) fn acceptable_s(&self) -> f64 {
        let acceptable = self.acceptable_time.as_secs_f64();
        if self.shared_tokens == 0 {
            return acceptable;
        }
        acceptable.max(self.time_left.as_secs_f64() * MAX_TIME_FRACTION)
    }

    /// Time to fetch the shared parts from the engine that has read them, if engines can.
    pub(crate) fn fetch_time(&self) -> Option<Duration> {
        let transfer = self.fetch?;
        Some(transfer.fetch_time(self.shared_tokens))
    }
}
