//! A run as the relay of its stream sees it, for the decision to move it.

use std::time::Duration;

use amaranthscale_core::id::{ServerIncarnation, ServiceId};
use amaranthscale_core::process::{AllowedZones, Rank, VersionBinding};

use super::super::super::RequestAttributes;

/// A run that could be moved.
#[derive(Debug, Clone, Copy)]
pub struct MovableRun<'a> {
    /// Service of its engine.
    pub service: &'a ServiceId,
    /// Availability zones whose engines may run it.
    pub zones: &'a AllowedZones,
    /// Software versions whose engines may run it.
    pub versions: &'a VersionBinding,
    /// What its caller stated.
    pub attributes: &'a RequestAttributes,
    /// Its rank.
    pub rank: Rank,
    /// The engine that runs it.
    pub engine: &'a ServerIncarnation,
    /// Longest pause between events with which its answer is on time.
    pub max_event_gap: Option<Duration>,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Events so far.
    pub events: u64,
    /// Mean time between them at its engine; none before the second.
    pub event_time: Option<Duration>,
    /// Time since its first event.
    pub age: Duration,
    /// Engines from which moves of the run have begun.
    pub left: &'a [ServerIncarnation],
}

impl MovableRun<'_> {
    /// Tokens that it has still to write.
    pub(super) fn tokens_left(&self) -> u64 {
        self.attributes
            .max_output_tokens
            .saturating_sub(self.events)
    }

    /// Tokens of its KV cache.
    pub(super) const fn tokens(&self) -> u64 {
        self.attributes.prompt_tokens.saturating_add(self.events)
    }
}
