//! Plans which engine runs which model.
//!
//! A plan starts from the placement in force and changes as little as possible: a replica stays
//! where it is while its host is live and its model is wanted. Missing replicas are placed in the
//! availability zone with the fewest replicas of the model, there on the engine with the fewest
//! models. The weight store of a region is rate-limited, so the replicas of a region that are not
//! yet reported as loaded are limited in number, and the others wait for a later plan.
//!
//! A host that is leaving or no longer in the host list loses its replicas in the plan. It is left
//! out of the plan, so its engine keeps its models until the last request on it has ended.

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

/// Plans the placement that follows the current one.
///
/// The same input always gives the same plan, so that successive planners agree.
#[must_use]
pub fn plan_placement(input: &PlanInput<'_>) -> PlannedPlacement {
    let mut draft = Draft::new(input);
    let mut shortfalls = Vec::new();
    let mut waiting_loads = 0;
    for (service_id, service) in input.managed_services() {
        let engines = input.live_engines(service_id);
        draft.retain_wanted(&engines, service);
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

/// Returns the count of a key, zero if it has none.
fn count_of<K: Ord>(counts: &BTreeMap<K, u32>, key: &K) -> u32 {
    counts.get(key).copied().unwrap_or_default()
}
