//! One attempt on its way to a sidecar, and how it ended.

use amaranthscale_core::id::HostId;
use amaranthscale_core::process::AttemptEnd;
use amaranthscale_core::wire::{Dispatch, StageCost, Stamp};

use super::attempt_run::{AttemptOutcome, AttemptRun, Destination};
use super::attempt_watch::AttemptWatch;
use super::stage_task::StageTask;
use crate::entry::process::{EntryParts, Route};

/// An attempt on its way to a sidecar.
///
/// Dropped before its end, it is reported as cancelled, and its sidecar is told so.
#[derive(Debug)]
pub struct SentAttempt<'a> {
    parts: &'a EntryParts,
    host: HostId,
    destination: Destination,
    dispatch: Dispatch,
    watch: AttemptWatch,
}

/// An attempt that has ended, and is not yet reported.
#[derive(Debug)]
pub struct EndedAttempt {
    /// Host of the sidecar.
    pub host: HostId,
    /// Where the attempt went.
    pub destination: Destination,
    /// What became of it.
    pub outcome: AttemptOutcome,
    watch: AttemptWatch,
}

impl<'a> SentAttempt<'a> {
    /// Prepares an attempt that will be sent next.
    #[must_use]
    pub fn new(
        parts: &'a EntryParts,
        task: &StageTask<'_>,
        route: &Route,
        dispatch: Dispatch,
        mut watch: AttemptWatch,
    ) -> Self {
        let destination = Destination {
            address: route.address,
            attempt: dispatch.attempt,
            incarnation: dispatch.incarnation,
            expiry: dispatch.expiry,
            is_repeatable: task.stage.is_repeatable,
            due: task.due,
        };
        watch.sent(destination);
        Self {
            parts,
            host: route.host.clone(),
            destination,
            dispatch,
            watch,
        }
    }

    /// Sends the attempt, once, and follows it to its end.
    pub async fn run(self, on_data: impl FnMut(&[u8]) + Send) -> EndedAttempt {
        let run = AttemptRun::new(self.parts, self.destination, on_data);
        let outcome = run.dispatch(&self.dispatch).await;
        EndedAttempt {
            host: self.host,
            destination: self.destination,
            outcome,
            watch: self.watch,
        }
    }
}

impl EndedAttempt {
    /// Whether the whole result is here.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        matches!(self.outcome, AttemptOutcome::Complete(..))
    }

    /// Whether it may have run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        !matches!(self.outcome, AttemptOutcome::NotRun(..))
    }

    /// Reports how it ended.
    pub fn report(&mut self) {
        let (end, stamp, cost) = self.reported();
        self.watch.ended(end, stamp, cost);
    }

    /// Reports a result that came whole and cannot be used.
    pub fn report_unusable(&mut self) {
        let (_end, stamp, cost) = self.reported();
        self.watch.ended(AttemptEnd::Failed, stamp, cost);
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
