//! How operators see the use of a server.

use std::time::Duration;

use amaranthscale_core::process::{ServerAvailability, ServerUse};

const NOW: Duration = Duration::from_secs(10);
const UNTIL: Duration = Duration::from_secs(13);
const LEFT: Duration = Duration::from_secs(3);

/// Guards against points in time of the process's clock in a listing, which tell operators nothing.
#[test]
fn states_that_end_show_the_time_left() {
    let cold = ServerAvailability::Cold {
        until: UNTIL,
        max_per_s: 2.0,
    };
    let backing_off = ServerAvailability::BackingOff { until: UNTIL };

    let cold = ServerUse::of(cold, false, None, NOW);
    let backing_off = ServerUse::of(backing_off, false, None, NOW);

    assert_eq!((cold.left(), cold.max_per_s()), (Some(LEFT), Some(2.0)));
    assert_eq!(backing_off.left(), Some(LEFT));
    assert_eq!(backing_off.max_per_s(), None);
}

/// Guards against an ejection that hides the reason for which a server would get nothing anyway.
#[test]
fn an_ejection_is_shown_only_for_a_server_that_could_be_used() {
    let ejected_for = Some(Duration::from_secs(1));

    let free = ServerUse::of(ServerAvailability::Free, false, ejected_for, NOW);
    let leaving = ServerUse::of(ServerAvailability::Leaving, false, ejected_for, NOW);

    assert_eq!(free.name(), "ejected");
    assert_eq!(free.ejected_for(), ejected_for);
    assert_eq!(leaving, ServerUse::Leaving);
}

/// Guards against a drained server that is listed as one of an evacuated zone.
#[test]
fn a_drained_server_is_told_from_an_evacuated_one() {
    let drained = ServerUse::of(ServerAvailability::Evacuated, true, None, NOW);
    let evacuated = ServerUse::of(ServerAvailability::Evacuated, false, None, NOW);

    assert_eq!(drained.name(), "drained");
    assert_eq!(evacuated.name(), "evacuated");
}
