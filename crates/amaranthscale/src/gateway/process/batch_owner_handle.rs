//! Submits jobs to a batch owner in this process.

use amaranthscale_core::process::{JobId, JobSpec};
use ractor::ActorRef;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::{BatchOwnerMessage, JobSource, JobUpdate, Submission};

/// Handle to a batch owner, for requests and peers.
#[derive(Debug, Clone)]
pub struct BatchOwnerHandle {
    actor: ActorRef<BatchOwnerMessage>,
}

/// Releases a job when dropped.
///
/// A caller that disconnects, a request that fails and a peer's connection that ends all drop it,
/// so that no results stay unfreed.
#[derive(Debug)]
pub struct JobGuard {
    job: JobId,
    actor: ActorRef<BatchOwnerMessage>,
}

/// A submitted job and its updates.
#[derive(Debug)]
pub struct RunningJob {
    /// Keeps the job alive; `None` if it was not accepted.
    pub guard: Option<JobGuard>,
    /// Updates; a channel that ends without [`JobUpdate::Ended`] means that the owner is stopping.
    pub updates: mpsc::UnboundedReceiver<JobUpdate>,
}

impl RunningJob {
    /// A job that was not accepted, as the owner is stopping.
    #[must_use]
    pub fn rejected() -> Self {
        let (_sender, updates) = mpsc::unbounded_channel();
        Self {
            guard: None,
            updates,
        }
    }
}

impl JobGuard {
    pub(super) const fn new(job: JobId, actor: ActorRef<BatchOwnerMessage>) -> Self {
        Self { job, actor }
    }
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        // Without its actor the process is exiting, and the servers expire the results.
        let _ = self
            .actor
            .send_message(BatchOwnerMessage::Release(self.job));
    }
}

impl BatchOwnerHandle {
    /// Creates a handle to the actor.
    #[must_use]
    pub const fn new(actor: ActorRef<BatchOwnerMessage>) -> Self {
        Self { actor }
    }

    /// Submits a job; its results are retained until the job is dropped.
    pub async fn submit(&self, spec: JobSpec, source: JobSource) -> RunningJob {
        let (accepted, guard) = oneshot::channel();
        let (sender, updates) = mpsc::unbounded_channel();
        let submit = BatchOwnerMessage::Submit(Submission {
            spec,
            accepted,
            updates: sender,
            source,
            arrived_at: Instant::now(),
        });
        if self.actor.send_message(submit).is_err() {
            return RunningJob::rejected();
        }
        let guard = guard.await.ok();
        RunningJob { guard, updates }
    }

    /// Notifies the owner of a change, or to stop.
    pub fn notify(&self, message: BatchOwnerMessage) {
        // The actor ends only with the process.
        let _ = self.actor.send_message(message);
    }
}
