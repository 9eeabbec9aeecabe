//! Gives jobs to the owner of the batches in this process.

use amaranthscale_core::process::{JobId, PipelineOrder};
use ractor::ActorRef;
use tokio::sync::oneshot;

use super::{BatchOwnerMessage, JobAnswer};

/// The owner of the batches, as requests and peers see it.
#[derive(Debug, Clone)]
pub struct BatchOwnerHandle {
    actor: ActorRef<BatchOwnerMessage>,
}

/// A job that is released when this is dropped.
///
/// Guards against results that nobody frees: a caller that leaves, a request that fails and a
/// connection to a peer that ends all drop it.
#[derive(Debug)]
pub struct OwnedJob {
    job: JobId,
    actor: ActorRef<BatchOwnerMessage>,
}

impl Drop for OwnedJob {
    fn drop(&mut self) {
        // Without its actor the process is ending, and the results lapse by themselves.
        let _ = self
            .actor
            .send_message(BatchOwnerMessage::Release(self.job));
    }
}

impl BatchOwnerHandle {
    /// A handle of the actor.
    #[must_use]
    pub const fn new(actor: ActorRef<BatchOwnerMessage>) -> Self {
        Self { actor }
    }

    /// Has a request's pieces made; the results are kept until the job is dropped.
    pub async fn run(&self, order: PipelineOrder) -> (JobAnswer, Option<OwnedJob>) {
        let (id, job) = oneshot::channel();
        let (answer, answered) = oneshot::channel();
        let submit = BatchOwnerMessage::Submit(order, id, answer);
        if self.actor.send_message(submit).is_err() {
            return (JobAnswer::Stopping, None);
        }
        let owned = job.await.ok().map(|job| OwnedJob {
            job,
            actor: self.actor.clone(),
        });
        (answered.await.unwrap_or(JobAnswer::Stopping), owned)
    }

    /// Tells the owner of a change, or to stop.
    pub fn tell(&self, message: BatchOwnerMessage) {
        // The actor ends only with the process.
        let _ = self.actor.send_message(message);
    }
}
