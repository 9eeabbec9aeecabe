//! The handle to a process's planner.

use ractor::{Actor, ActorRef, SpawnErr};
use tokio::sync::watch;

use super::{Planner, PlannerArguments, PlannerMessage, PlannerStatus};

/// Shows the status of a planner, and stops it.
#[derive(Debug, Clone)]
pub struct PlannerHandle {
    actor: ActorRef<PlannerMessage>,
    status: watch::Receiver<PlannerStatus>,
}

impl PlannerHandle {
    /// Starts a planner.
    pub async fn start(arguments: PlannerArguments) -> Result<Self, SpawnErr> {
        let (sender, status) = watch::channel(PlannerStatus::default());
        let (actor, _joined) = Actor::spawn(None, Planner, (arguments, sender)).await?;
        Ok(Self { actor, status })
    }

    /// Status of the planner.
    #[must_use]
    pub fn status(&self) -> PlannerStatus {
        self.status.borrow().clone()
    }

    /// Status of the planner, as a channel of its changes.
    #[must_use]
    pub fn statuses(&self) -> watch::Receiver<PlannerStatus> {
        self.status.clone()
    }

    /// Stops the planner; its lease expires by itself.
    pub fn stop(&self) {
        self.actor.stop(None);
    }
}
