//! What the choice of an engine needs to know of a request.

use std::time::Duration;

use super::PromptHomes;
use crate::version::TransferSpec;

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
    /// Longest pause between events for which the answer is on time.
    pub max_event_gap: Option<Duration>,
    /// How engines fetch shared parts from each other, if they may.
    pub fetch: Option<TransferSpec>,
}

impl EnginePrompt<'_> {
    /// Time to fetch the shared parts from the engine that has read them, if engines can.
    pub(crate) fn fetch_time(&self) -> Option<Duration> {
        let transfer = self.fetch?;
        Some(transfer.fetch_time(self.shared_tokens))
    }
}
