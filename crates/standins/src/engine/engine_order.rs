//! Orders to an engine.

use amaranthscale_core::id::{FencingNumber, ModelId};
use serde::{Deserialize, Serialize};

/// Role of an engine within a pair that splits prefill and decode.
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

/// An order to an engine.
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
    /// Fencing number of the sender.
    pub fence: FencingNumber,
    /// The order itself.
    pub order: EngineOrder,
}

/// Record of an order that the engine received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Fencing number of its sender.
    pub fence: FencingNumber,
    /// The order itself.
    pub order: EngineOrder,
    /// Whether it was applied; if not, its fencing number was too old.
    pub applied: bool,
}

/// Answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether it was applied.
    pub applied: bool,
    /// Highest fencing number received so far.
    pub highest_fence: FencingNumber,
}

/// State of an engine that orders change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Highest fencing number received so far.
    pub highest_fence: FencingNumber,
    /// Loaded models, ordered by name.
    pub models: Vec<ModelId>,
    /// Current role.
    pub role: EngineRole,
    /// All orders, refused ones included, in order of arrival.
    pub history: Vec<OrderRecord>,
}
