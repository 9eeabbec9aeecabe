//! The actor that schedules a sidecar's attempts.
//!
//! It owns ledger, queue, answers, load and costs, which change together, one message at a time. An
//! attempt takes two messages: its arrival and its end.

mod retained_answers;
mod scheduler_message;
mod scheduler_state;
mod scheduler_status;

use std::sync::Arc;

use ractor::{Actor, ActorProcessingErr, ActorRef};
pub(super) use scheduler_message::{Fetched, SchedulerMessage};
use scheduler_state::SchedulerState;
pub(super) use scheduler_status::SchedulerStatus;

use super::runner::Runner;

/// The actor that schedules a sidecar's attempts.
#[derive(Debug)]
pub(super) struct Scheduler;

impl Actor for Scheduler {
    type Msg = SchedulerMessage;
    type State = SchedulerState;
    type Arguments = Arc<Runner>;

    async fn pre_start(
        &self,
        myself: ActorRef<SchedulerMessage>,
        runner: Arc<Runner>,
    ) -> Result<SchedulerState, ActorProcessingErr> {
        Ok(SchedulerState::new(myself, runner))
    }

    async fn handle(
        &self,
        _myself: ActorRef<SchedulerMessage>,
        message: SchedulerMessage,
        state: &mut SchedulerState,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(message);
        Ok(())
    }
}
