//! Every interleaving of lease, placement and engine orders, and each guard shown to be needed.

mod model;
#[path = "../spec_at_most_once/search.rs"]
mod search;

use model::{Guard, OUTDATED_PLAN, Spec, WENT_BACK};
use search::{Specification as _, search};

fn spec(off: Option<Guard>) -> Spec {
    Spec { off, restarts: 1 }
}

fn assert_broken(name: &str, guard: Guard, rule: &'static str) {
    let found = search(name, &spec(Some(guard)), &[rule]);
    let actions = found.counterexample.expect("the guard is not needed");
    assert!(!actions.is_empty());
}

#[test]
fn fencing_holds_in_every_interleaving() {
    let found = search("fencing", &spec(None), Spec::RULES);
    assert!(found.counterexample.is_none());
    assert!(
        found.states > 1 && found.depth > 1,
        "the search has not left its start"
    );
}

#[test]
fn without_the_lease_check_a_paused_planner_writes() {
    // An operator sees a plan that its author had given up. A planner is paused, another takes the
    // lease, and the first wakes and writes before the second has written anything.
    assert_broken("no lease check", Guard::LeaseCheck, OUTDATED_PLAN);
}

#[test]
fn without_the_placement_version_a_plan_is_overwritten_unseen() {
    // A plan disappears. Its planner sends a second one made from the same reading, and a repeat
    // of the first takes effect after it.
    assert_broken(
        "no placement version",
        Guard::PlacementVersion,
        OUTDATED_PLAN,
    );
}

#[test]
fn without_moving_only_up_the_engine_goes_back() {
    // An engine unloads the model it has just loaded. Two answers of the table overtake each other
    // and the sidecar follows the older one last.
    assert_broken("not only up", Guard::OnlyUp, WENT_BACK);
}

#[test]
fn without_reading_first_a_restarted_sidecar_goes_back() {
    // An engine unloads the model it has just loaded. The sidecar restarts and orders what it
    // knows from its start, before it has read the placement in force.
    assert_broken("not read first", Guard::ReadFirst, WENT_BACK);
}

#[test]
fn without_one_order_at_a_time_the_engine_goes_back() {
    // An engine ends with the older of two placements. It ignores fencing numbers and carries out
    // a silent order after the one that followed it on a new connection.
    assert_broken("not one at a time", Guard::OneAtATime, WENT_BACK);
}
