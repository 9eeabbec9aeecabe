//! Sees to it that each attempt's end is reported.

use std::time::Duration;

use amaranthscale_core::process::AttemptEnd;
use amaranthscale_core::wire::{StageCost, Stamp};
use tokio::time::Instant;

use super::attempt_run::{Destination, give_up};
use super::stage_task::StageTask;
use crate::entry::process::{AttemptReport, Decision, EntryParts, Route};

/// Reports how an attempt ended, also when its request is dropped because the caller went away.
#[derive(Debug)]
pub struct AttemptWatch {
    parts: EntryParts,
    report: Option<AttemptReport>,
    sent: Option<Destination>,
    started: Instant,
}

impl AttemptWatch {
    /// Watches an attempt from the choice of its sidecar on.
    #[must_use]
    pub fn new(parts: &EntryParts, task: &StageTask<'_>, route: &mut Route) -> Self {
        route.reservation.keep();
        let report = AttemptReport {
            host: route.host.clone(),
            end: AttemptEnd::Cancelled,
            elapsed: Duration::ZERO,
            stamp: None,
            organisation: task.request.organisation.clone(),
            stage: task.stage.name.to_string(),
            cost: StageCost::default(),
        };
        Self {
            parts: parts.clone(),
            report: Some(report),
            sent: None,
            started: Instant::now(),
        }
    }

    /// Notes where the attempt was sent, so that it can be cancelled there.
    pub const fn sent(&mut self, destination: Destination) {
        self.sent = Some(destination);
    }

    /// Reports the end; a second report changes nothing.
    pub fn ended(&mut self, end: AttemptEnd, stamp: Option<Stamp>, cost: StageCost) {
        if let Some(report) = self.report.take() {
            let elapsed = self.started.elapsed();
            let report = AttemptReport {
                end,
                elapsed,
                stamp,
                cost,
                ..report
            };
            self.parts
                .decisions
                .tell(Decision::AttemptEnded(Box::new(report)));
        }
    }
}

impl Drop for AttemptWatch {
    /// Guards against work for a caller who is gone: its attempt would hold a slot until its
    /// budget ends, and the router would count it as in flight for good.
    fn drop(&mut self) {
        if self.report.is_none() {
            return;
        }
        self.ended(AttemptEnd::Cancelled, None, StageCost::default());
        if let Some(destination) = self.sent {
            self.parts.counters.count("attempt.cancelled");
            give_up(&self.parts, destination);
        }
    }
}
