//! Ids of a stream's events.

use amaranthscale::gateway::request::EventSteps;

fn after(ids: &[u64]) -> EventSteps {
    let mut steps = EventSteps::default();
    for pair in ids.windows(2) {
        assert!(steps.follows(pair[0], pair[1]), "{pair:?}");
    }
    steps
}

#[test]
fn ids_may_rise_in_any_steps() {
    after(&[0, 1, 2, 3]);
    after(&[7, 14, 21]);
    after(&[1, 2, 40, 41]);
}

/// Guards against events that a caller gets twice or in another order.
#[test]
fn ids_that_do_not_rise_are_rejected() {
    let mut steps = after(&[1, 2]);

    assert!(!steps.follows(2, 2));
    assert!(!steps.follows(2, 1));
    assert!(!steps.continues(2, 2));
}

/// Guards against a gap where another engine continues a stream.
#[test]
fn even_steps_show_a_gap_between_engines() {
    assert!(after(&[1, 2, 3]).continues(3, 4));
    assert!(!after(&[1, 2, 3]).continues(3, 5));
    assert!(!after(&[7, 14]).continues(14, 22));
    assert!(after(&[1, 2, 40]).continues(40, 43));
    assert!(after(&[7]).continues(7, 14));
    assert!(!after(&[1]).continues(1, 9));
}

#[test]
fn ids_in_larger_steps_are_no_numbers_of_events() {
    assert!(after(&[1, 2]).may_count_events());
    assert!(!after(&[2, 4]).may_count_events());
    assert!(!after(&[1, 2, 4]).may_count_events());
}
