//! Makes sure that the gate hears of every end.

use std::sync::Arc;

use amaranthscale_core::ResultCode;
use amaranthscale_core::wire::Outcome;
use log::warn;
use ractor::ActorRef;

use crate::sidecar::gate::GateMessage;
use crate::sidecar::job::Job;

/// Tells the gate that an attempt has ended, even if its task panics.
///
/// A task that went without a word would hold its slot and leave its entry waiting for good.
#[derive(Debug)]
pub(super) struct RunGuard {
    job: Arc<Job>,
    gate: ActorRef<GateMessage>,
    has_ended: bool,
}

/// Tells the gate that a claimed attempt's outcome is in the table.
#[derive(Debug)]
pub(super) struct Recorder {
    job: Arc<Job>,
    gate: ActorRef<GateMessage>,
}

impl RunGuard {
    pub(super) const fn new(job: Arc<Job>, gate: ActorRef<GateMessage>) -> Self {
        Self {
            job,
            gate,
            has_ended: false,
        }
    }

    /// Ends the attempt.
    pub(super) fn end(mut self, outcome: Outcome) {
        self.tell(outcome);
    }

    /// Ends the attempt, whose outcome the gate keeps until it is recorded.
    pub(super) fn end_unrecorded(mut self, outcome: Outcome) -> Recorder {
        self.tell(outcome);
        Recorder {
            job: Arc::clone(&self.job),
            gate: self.gate.clone(),
        }
    }

    fn tell(&mut self, outcome: Outcome) {
        self.has_ended = true;
        let message = GateMessage::Ended(Arc::clone(&self.job), Box::new(outcome));
        if let Err(error) = self.gate.cast(message) {
            warn!(
                "sidecar: end of {} not told: {error}",
                self.job.dispatch.attempt
            );
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.has_ended {
            self.tell(Outcome::without_result(ResultCode::OutcomeUnknown));
        }
    }
}

impl Recorder {
    /// Lets the gate drop the outcome in its time.
    pub(super) fn recorded(self) {
        let message = GateMessage::Recorded(self.job.dispatch.attempt);
        if let Err(error) = self.gate.cast(message) {
            warn!(
                "sidecar: record of {} not told: {error}",
                self.job.dispatch.attempt
            );
        }
    }
}
