//! Messages of the engine's order interface.

use amaranthscale_core::id::{ModelId, PlacementVersion};
use amaranthscale_core::version::{Assignment, EngineRole};
use serde::{Deserialize, Serialize};

/// Role of an engine, as its order interface names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum StepRole {
    Prefill,
    Decode,
    Both,
}

/// A single order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EngineStep {
    LoadModel(ModelId),
    UnloadModel(ModelId),
    SetRole(StepRole),
}

/// An order with its fencing number.
#[derive(Debug, Serialize)]
pub(super) struct FencedStep {
    pub(super) fence: PlacementVersion,
    pub(super) order: EngineStep,
}

/// State that the engine reports.
#[derive(Debug, Deserialize)]
pub(super) struct EngineState {
    models: Vec<ModelId>,
    role: StepRole,
}

impl From<EngineRole> for StepRole {
    fn from(role: EngineRole) -> Self {
        match role {
            EngineRole::Mixed => Self::Both,
            EngineRole::Prefill => Self::Prefill,
            EngineRole::Decode => Self::Decode,
        }
    }
}

impl From<StepRole> for EngineRole {
    fn from(role: StepRole) -> Self {
        match role {
            StepRole::Both => Self::Mixed,
            StepRole::Prefill => Self::Prefill,
            StepRole::Decode => Self::Decode,
        }
    }
}

impl From<EngineState> for Assignment {
    fn from(state: EngineState) -> Self {
        Self {
            models: state.models.into_iter().collect(),
            role: state.role.into(),
        }
    }
}

/// Steps from the running to the wanted assignment; unloads come first, because memory is limited.
pub(super) fn steps(running: &Assignment, wanted: &Assignment) -> Vec<EngineStep> {
    let surplus = running.models.difference(&wanted.models).cloned();
    let role = (running.role != wanted.role).then(|| EngineStep::SetRole(wanted.role.into()));
    let missing = wanted.models.difference(&running.models).cloned();
    surplus
        .map(EngineStep::UnloadModel)
        .chain(role)
        .chain(missing.map(EngineStep::LoadModel))
        .collect()
}
