//! An attempt at a sidecar, and the same attempt after it has ended.

use amaranthscale_core::id::HostId;
use amaranthscale_core::process::AttemptEnd;
use amaranthscale_core::wire::{Dispatch, StageCost, Stamp};

use super::attempt_guard::AttemptGuard;
use super::attempt_run::{AttemptOutcome, AttemptRun, Destination};
use super::stage_task::StageTask;
use crate::entry::process::{EntryContext, Route};

/// An attempt at a sidecar.
///
/// Dropped before its end, it is reported as cancelled, and its sidecar is asked to cancel it.
#[derive(Debug)]
pub struct SentAttempt<'a> {
    context: &'a EntryContext,
    host: HostId,
    destination: Destination,
    dispatch: Dispatch,
    guard: AttemptGuard,
}

/// An attempt that has ended and is not yet reported.
#[derive(Debug)]
pub struct EndedAttempt {
    /// Host of the sidecar.
    pub host: HostId,
    /// Target of the attempt.
    pub destination: Destination,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    guard: AttemptGuard,
}

impl<'a> SentAttempt<'a> {
    /// Prepares an attempt that is about to be sent.
    #[must_use]
    pub fn new(
        context: &'a EntryContext,
        task: &StageTask<'_>,
        route: &Route,
        dispatch: Dispatch,
        mut guard: AttemptGuard,
    ) -> Self {
        let destination = Destination {
            address: route.address,
            attempt: dispatch.attempt,
            incarnation: dispatch.incarnation,
            expiry: dispatch.expiry,
            is_repeatable: task.stage.is_repeatable,
            deadline: task.deadline,
        };
        guard.mark_sent(destination);
        Self {
            context,
            host: route.host.clone(),
            destination,
            dispatch,
            guard,
        }
    }

    /// Sends the attempt once and follows it to its end.
    pub async fn run(self, on_data: impl FnMut(&[u8]) + Send) -> EndedAttempt {
        let run = AttemptRun::new(self.context, self.destination, on_data);
        let outcome = run.dispatch(&self.dispatch).await;
        EndedAttempt {
            host: self.host,
            destination: self.destination,
            outcome,
            guard: self.guard,
        }
    }
}

impl EndedAttempt {
    /// Whether the whole result was received.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        matches!(self.outcome, AttemptOutcome::Complete(..))
    }

    /// Whether the attempt may have run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        !matches!(self.outcome, AttemptOutcome::NotRun(..))
    }

    /// Reports the end.
    pub fn report(&mut self) {
        let (end, stamp, cost) = self.reported();
        self.guard.report_end(end, stamp, cost);
    }

    /// Reports a complete result that cannot be used.
    pub fn report_unusable(&mut self) {
        let (_end, stamp, cost) = self.reported();
        self.guard.report_end(AttemptEnd::Failed, stamp, cost);
    }

    fn reported(&self) -> (AttemptEnd, Option<Stamp>, StageCost) {
        let none = StageCost::default();
        match &self.outcome {
            AttemptOutcome::Complete(_, end) => {
                let stamp = Some(end.stamp.clone());
                (AttemptEnd::Complete, stamp, end.outcome.cost)
            }
            AttemptOutcome::NotRun(code, _, stamp) => {
                let stamp = stamp.as_deref().cloned();
                (AttemptEnd::Refused(*code), stamp, none)
            }
            AttemptOutcome::Failed(end) => {
                let stamp = Some(end.stamp.clone());
                (AttemptEnd::Failed, stamp, end.outcome.cost)
            }
            AttemptOutcome::Unknown | AttemptOutcome::TimedOut => {
                (AttemptEnd::TimedOut, None, none)
            }
        }
    }
}
