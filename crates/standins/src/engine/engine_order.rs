//! Orders to an engine.

use amaranthscale_core::id::{FencingNumber, ModelId};
use serde::{Deserialize, Serialize};

/// What an engine does within a pair that splits prefill and decode.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Reads prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Does both.
    #[default]
    Both,
}

/// An order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineOrder {
    /// Loads a model.
    LoadModel(ModelId),
    /// Unloads a model.
    UnloadModel(ModelId),
    /// Changes the role.
    SetRole(EngineRole),
}

/// An order with its fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Fencing number of whoever gives the order.
    pub fence: FencingNumber,
    /// The order itself.
    pub order: EngineOrder,
}

/// An order as the engine remembers it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Fencing number that came with it.
    pub fence: FencingNumber,
    /// The order itself.
    pub order: EngineOrder,
    /// Whether it was applied; else its fencing number was too old.
    pub applied: bool,
}

/// Answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether it was applied.
    pub applied: bool,
    /// Highest fencing number seen so far.
    pub highest_fence: FencingNumber,
}

/// What orders have made of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Highest fencing number seen so far.
    pub highest_fence: FencingNumber,
    /// Models loaded, in order of their names.
    pub models: Vec<ModelId>,
    /// Present role.
    pub role: EngineRole,
    /// All orders, also the refused ones, in order of arrival.
    pub history: Vec<OrderRecord>,
}
