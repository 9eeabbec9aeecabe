//! What the rest of a process asks its planner.

use ractor::{Actor, ActorRef, SpawnErr};
use tokio::sync::watch;

use super::{Planner, PlannerArguments, PlannerMessage, PlannerStatus};

/// Shows and stops a planner.
#[derive(Debug, Clone)]
pub struct PlannerHandle {
    actor: ActorRef<PlannerMessage>,
    published: watch::Receiver<PlannerStatus>,
}

impl PlannerHandle {
    /// Starts a planner.
    pub async fn start(arguments: PlannerArguments) -> Result<Self, SpawnErr> {
        let (status, published) = watch::channel(PlannerStatus::default());
        let (actor, _joined) = Actor::spawn(None, Planner, (arguments, status)).await?;
        Ok(Self { actor, published })
    }

    /// State of the planner.
    #[must_use]
    pub fn status(&self) -> PlannerStatus {
        self.published.borrow().clone()
    }

    /// State of the planner, as it changes.
    #[must_use]
    pub fn statuses(&self) -> watch::Receiver<PlannerStatus> {
        self.published.clone()
    }

    /// Stops the planner; its lease lapses by itself.
    pub fn stop(&self) {
        self.actor.stop(None);
    }
}
