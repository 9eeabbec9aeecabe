//! Applies orders and records them.

use amaranthscale_core::id::ModelId;

use crate::engine::{EngineOrder, FencedOrder, OrderRecord, OrderReply, OrderState};

/// Applies orders and records them.
#[derive(Debug)]
pub(crate) struct OrderLog {
    honours_fence: bool,
    state: OrderState,
}

impl OrderLog {
    /// An engine without models.
    pub(crate) fn new(honours_fence: bool) -> Self {
        Self {
            honours_fence,
            state: OrderState::default(),
        }
    }

    /// Applies an order, or refuses it if its fencing number is old.
    pub(crate) fn receive(&mut self, fenced: FencedOrder) -> OrderReply {
        let is_old = fenced.fence < self.state.highest_fence;
        let applied = !(self.honours_fence && is_old);
        if applied {
            self.apply(&fenced.order);
        }
        self.state.highest_fence = self.state.highest_fence.max(fenced.fence);
        self.state.history.push(OrderRecord {
            fence: fenced.fence,
            order: fenced.order,
            applied,
        });
        OrderReply {
            applied,
            highest_fence: self.state.highest_fence,
        }
    }

    /// State that the orders have led to.
    pub(crate) fn state(&self) -> &OrderState {
        &self.state
    }

    fn apply(&mut self, order: &EngineOrder) {
        match order {
            EngineOrder::LoadModel(model) => self.load(model),
            EngineOrder::UnloadModel(model) => self.state.models.retain(|m| m != model),
            EngineOrder::SetRole(role) => self.state.role = *role,
        }
    }

    fn load(&mut self, model: &ModelId) {
        if let Err(position) = self.state.models.binary_search(model) {
            self.state.models.insert(position, model.clone());
        }
    }
}
