//! Gives jobs to the owner of the batches in this process.

use amaranthscale_core::process::{JobId, JobSpec};
use ractor::ActorRef;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::{BatchOwnerMessage, JobSource, JobUpdate, Submission};

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

/// A job and what its owner tells of it.
#[derive(Debug)]
pub struct RunningJob {
    /// Keeps it; none if it was not taken.
    pub owned: Option<OwnedJob>,
    /// The end of this without [`JobUpdate::Ended`] means that the owner is about to stop.
    pub updates: mpsc::UnboundedReceiver<JobUpdate>,
}

impl RunningJob {
    /// No job: the owner is about to stop.
    #[must_use]
    pub fn none() -> Self {
        let (_sender, updates) = mpsc::unbounded_channel();
        Self {
            owned: None,
            updates,
        }
    }
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
    pub async fn submit(&self, order: JobSpec, source: JobSource) -> RunningJob {
        let (id, job) = oneshot::channel();
        let (sender, updates) = mpsc::unbounded_channel();
        let submit = BatchOwnerMessage::Submit(Submission {
            order,
            id,
            updates: sender,
            source,
            arrived: Instant::now(),
        });
        if self.actor.send_message(submit).is_err() {
            return RunningJob::none();
        }
        let owned = job.await.ok().map(|job| OwnedJob {
            job,
            actor: self.actor.clone(),
        });
        RunningJob { owned, updates }
    }

    /// Tells the owner of a change, or to stop.
    pub fn tell(&self, message: BatchOwnerMessage) {
        // The actor ends only with the process.
        let _ = self.actor.send_message(message);
    }
}
