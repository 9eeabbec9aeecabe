//! Takes orders, and remembers them.

use amaranthscale_core::id::ModelId;

use crate::engine::{EngineOrder, FencedOrder, OrderRecord, OrderReply, OrderState};

/// Takes orders, and remembers them.
#[derive(Debug)]
pub(crate) struct OrderBook {
    honours_fence: bool,
    state: OrderState,
}

impl OrderBook {
    /// An engine without models.
    pub(crate) fn new(honours_fence: bool) -> Self {
        Self {
            honours_fence,
            state: OrderState::default(),
        }
    }

    /// Takes an order, or refuses it for its old fencing number.
    pub(crate) fn take(&mut self, fenced: FencedOrder) -> OrderReply {
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

    /// What orders have made of the engine.
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
