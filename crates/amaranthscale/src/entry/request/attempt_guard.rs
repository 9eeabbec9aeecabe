//! Guard that reports the end of each attempt.

use std::time::Duration;

use amaranthscale_core::process::AttemptEnd;
use amaranthscale_core::wire::{StageCost, Stamp};
use tokio::time::Instant;

use super::attempt_run::{Destination, spawn_cancel};
use super::stage_task::StageTask;
use crate::entry::process::{AttemptReport, DecisionsMessage, EntryContext, Route};

/// Reports the end of an attempt, also when its request is dropped because the caller disconnected.
#[derive(Debug)]
pub struct AttemptGuard {
    context: EntryContext,
    report: Option<AttemptReport>,
    sent: Option<Destination>,
    started: Instant,
}

impl AttemptGuard {
    /// Creates the guard of an attempt as soon as its sidecar is chosen.
    #[must_use]
    pub fn new(context: &EntryContext, task: &StageTask<'_>, route: &mut Route) -> Self {
        route.reservation.commit();
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
            context: context.clone(),
            report: Some(report),
            sent: None,
            started: Instant::now(),
        }
    }

    /// Records where the attempt was sent, so that it can be cancelled there.
    pub const fn mark_sent(&mut self, destination: Destination) {
        self.sent = Some(destination);
    }

    /// Reports the end; later calls have no effect.
    pub fn report_end(&mut self, end: AttemptEnd, stamp: Option<Stamp>, cost: StageCost) {
        if let Some(report) = self.report.take() {
            let elapsed = self.started.elapsed();
            let report = AttemptReport {
                end,
                elapsed,
                stamp,
                cost,
                ..report
            };
            self.context
                .decisions
                .send(DecisionsMessage::AttemptEnded(Box::new(report)));
        }
    }
}

impl Drop for AttemptGuard {
    /// Cancels an attempt that was not reported.
    ///
    /// Otherwise the attempt of a caller that has disconnected would hold a slot until its budget
    /// ends, and the router would count it as in flight forever.
    fn drop(&mut self) {
        if self.report.is_none() {
            return;
        }
        self.report_end(AttemptEnd::Cancelled, None, StageCost::default());
        if let Some(destination) = self.sent {
            self.context.counters.count("attempt.cancelled");
            spawn_cancel(&self.context, destination);
        }
    }
}
