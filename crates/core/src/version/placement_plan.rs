//! Decides which engine is to run which model.
//!
//! The decision starts from the placement in force and changes as little as it can: a replica
//! stays where it is while its host is live and its model is wanted. Missing replicas go to the
//! availability zone that has the fewest of the model, there to the engine with the fewest models.
//! Loads are paced, as the weight store of a region is rate-limited: only so many replicas that
//! have not been reported as loaded are placed there at once, and the others wait for a later plan.
//!
//! A host that is leaving, or that has gone from the host list, loses its replicas in the plan. It
//! is then not named at all, so its engine keeps its models until the last request on it has ended.

mod draft;
mod load_tracker;
mod plan_input;
mod plan_limits;
mod planned_placement;
mod shortfall;

use std::collections::BTreeMap;

use draft::Draft;

#[doc(inline)]
pub use load_tracker::LoadTracker;
#[doc(inline)]
pub use plan_input::PlanInput;
#[doc(inline)]
pub use plan_limits::PlanLimits;
#[doc(inline)]
pub use planned_placement::PlannedPlacement;
#[doc(inline)]
pub use shortfall::Shortfall;

/// Decides the placement that follows the present one.
///
/// The same question always has the same answer, so that planners that follow each other agree.
#[must_use]
pub fn plan_placement(question: &PlanInput<'_>) -> PlannedPlacement {
    let mut draft = Draft::new(question);
    let mut shortfalls = Vec::new();
    let mut waiting_loads = 0;
    for (service_id, service) in question.managed_services() {
        let engines = question.live_engines(service_id);
        draft.keep(&engines, service);
        for (model, replicas) in &service.models {
            draft.remove_surplus(&engines, model, *replicas);
            let missing = draft.add_missing(&engines, model, *replicas);
            waiting_loads += missing.waiting;
            if missing.without_engine > 0 {
                shortfalls.push(Shortfall {
                    service: service_id.clone(),
                    model: model.clone(),
                    missing_replicas: missing.without_engine,
                });
            }
        }
    }
    PlannedPlacement {
        assignments: draft.into_assignments(),
        shortfalls,
        waiting_loads,
    }
}

/// Counts by some key, zero where none was counted.
fn count_of<K: Ord>(counts: &BTreeMap<K, u32>, key: &K) -> u32 {
    counts.get(key).copied().unwrap_or_default()
}
