//! The actor that owns what a sidecar knows of its attempts.
//!
//! Ledger, queue, answers, load and costs change together, one message at a time. An attempt
//! costs two messages: its arrival and its end.

mod gate_figures;
mod gate_message;
mod gate_state;
mod kept_answers;

use std::sync::Arc;

pub(super) use gate_figures::GateFigures;
pub(super) use gate_message::{Fetched, GateMessage};
use gate_state::GateState;
use ractor::{Actor, ActorProcessingErr, ActorRef};

use super::runner::Runner;

/// The actor that owns what a sidecar knows of its attempts.
#[derive(Debug)]
pub(super) struct Gate;

impl Actor for Gate {
    type Msg = GateMessage;
    type State = GateState;
    type Arguments = Arc<Runner>;

    async fn pre_start(
        &self,
        myself: ActorRef<GateMessage>,
        runner: Arc<Runner>,
    ) -> Result<GateState, ActorProcessingErr> {
        Ok(GateState::new(myself, runner))
    }

    async fn handle(
        &self,
        _myself: ActorRef<GateMessage>,
        message: GateMessage,
        state: &mut GateState,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(message);
        Ok(())
    }
}
