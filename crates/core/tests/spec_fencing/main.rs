//! Exhaustive search over the interleavings of lease, placement and engine orders, with each guard
//! shown to be necessary.

mod model;
#[path = "../spec_at_most_once/search.rs"]
mod search;

use model::{Guard, OUTDATED_PLAN, Spec, WENT_BACK};
use search::{Specification as _, search};

fn spec(disabled: Option<Guard>) -> Spec {
    Spec {
        disabled,
        restarts: 1,
    }
}

fn assert_violated(name: &str, guard: Guard, rule: &'static str) {
    let result = search(name, &spec(Some(guard)), &[rule]);
    let actions = result.counterexample.expect("the guard is not necessary");
    assert!(!actions.is_empty());
}

#[test]
fn fencing_holds_in_every_interleaving() {
    let result = search("fencing", &spec(None), Spec::RULES);
    assert!(result.counterexample.is_none());
    assert!(
        result.states > 1 && result.depth > 1,
        "the search has not left its initial state"
    );
}

#[test]
fn without_the_lease_check_a_paused_planner_can_write() {
    // A planner is paused, another takes the lease, and the first resumes and writes its outdated
    // plan before the second has written one.
    assert_violated("no lease check", Guard::LeaseCheck, OUTDATED_PLAN);
}

#[test]
fn without_the_placement_version_a_plan_is_overwritten_unnoticed() {
    // A planner sends a second plan based on the same version, and a repeat of the first takes
    // effect after it, so the second plan is lost.
    assert_violated(
        "no placement version",
        Guard::PlacementVersion,
        OUTDATED_PLAN,
    );
}

#[test]
fn without_applying_only_newer_placements_the_engine_goes_back() {
    // Two replies of the table arrive out of order, and the sidecar applies the older one last. The
    // engine unloads the model it has just loaded.
    assert_violated("older placements applied", Guard::NewerOnly, WENT_BACK);
}

#[test]
fn without_reading_first_a_restarted_sidecar_goes_back() {
    // The sidecar restarts and sends an order from its initial configuration, before it has read
    // the placement in force. The engine unloads the model it has just loaded.
    assert_violated("not read first", Guard::ReadFirst, WENT_BACK);
}

#[test]
fn without_one_order_at_a_time_the_engine_goes_back() {
    // An engine that ignores fencing numbers carries out an unanswered order after the next one,
    // sent on a new connection. It ends with the older placement.
    assert_violated("not one at a time", Guard::OneAtATime, WENT_BACK);
}
