//! Guard that reports the end of every attempt to the scheduler.

use std::sync::Arc;

use amaranthscale_core::ResultCode;
use amaranthscale_core::wire::Outcome;
use log::warn;
use ractor::ActorRef;

use crate::sidecar::job::Job;
use crate::sidecar::scheduler::SchedulerMessage;

/// Reports the end of an attempt to the scheduler, even if its task panics.
///
/// Without the report the attempt would hold its slot forever and its entry would wait for the end.
#[derive(Debug)]
pub(super) struct RunGuard {
    job: Arc<Job>,
    scheduler: ActorRef<SchedulerMessage>,
    has_ended: bool,
}

/// Reports to the scheduler that a claimed attempt's outcome is in the table.
#[derive(Debug)]
pub(super) struct RecordedNotifier {
    job: Arc<Job>,
    scheduler: ActorRef<SchedulerMessage>,
}

impl RunGuard {
    pub(super) const fn new(job: Arc<Job>, scheduler: ActorRef<SchedulerMessage>) -> Self {
        Self {
            job,
            scheduler,
            has_ended: false,
        }
    }

    /// Ends the attempt.
    pub(super) fn end(mut self, outcome: Outcome) {
        self.send(outcome);
    }

    /// Ends the attempt; the scheduler retains its outcome until it is recorded.
    pub(super) fn end_unrecorded(mut self, outcome: Outcome) -> RecordedNotifier {
        self.send(outcome);
        RecordedNotifier {
            job: Arc::clone(&self.job),
            scheduler: self.scheduler.clone(),
        }
    }

    fn send(&mut self, outcome: Outcome) {
        self.has_ended = true;
        let message = SchedulerMessage::Ended(Arc::clone(&self.job), Box::new(outcome));
        if let Err(error) = self.scheduler.cast(message) {
            warn!(
                "sidecar: cannot report the end of {}: {error}",
                self.job.dispatch.attempt
            );
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.has_ended {
            self.send(Outcome::without_result(ResultCode::OutcomeUnknown));
        }
    }
}

impl RecordedNotifier {
    /// Allows the scheduler to drop the outcome when its retention ends.
    pub(super) fn notify(self) {
        let message = SchedulerMessage::OutcomeRecorded(self.job.dispatch.attempt);
        if let Err(error) = self.scheduler.cast(message) {
            warn!(
                "sidecar: cannot report the stored outcome of {}: {error}",
                self.job.dispatch.attempt
            );
        }
    }
}
