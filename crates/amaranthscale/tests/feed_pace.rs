//! How often the store is asked, under the bounds of several deployments.

use std::time::Duration;

use amaranthscale::gateway::version::{FeedPace, KEY_AGE_PERCENT, READY_AGE_PERCENT};

/// Longest wait for the start of an answer beside what a poll waits by itself.
const CALL_PATIENCE: Duration = Duration::from_millis(900);

/// A deployment lets a revoked key live for two seconds. Asked once in 1.8 s, as where it may live
/// for five, the store's word was older than keys are believed before the next one came, and every
/// keyed request of those moments was refused though the store was well.
#[test]
fn the_routing_is_asked_for_twice_while_keys_are_believed() {
    for bound_ms in [1_000, 2_000, 5_000, 20_000] {
        let bound = Duration::from_millis(bound_ms);

        let pace = FeedPace::routing(bound);

        let believed = bound * KEY_AGE_PERCENT / 100;
        assert!(pace.wait * 2 <= believed, "{bound_ms} ms");
        assert!(pace.wait + pace.after_failure < believed, "{bound_ms} ms");
    }
}

/// A deployment lets a revoked key live for ten seconds. A gateway that counted as ready for 2.8 s
/// without word, as where it may live for five, left the rotation between two polls of a calm store.
#[test]
fn a_gateway_is_ready_from_one_poll_to_the_next() {
    for bound_ms in [1_000, 2_000, 5_000, 10_000, 20_000] {
        let bound = Duration::from_millis(bound_ms);

        let pace = FeedPace::routing(bound);

        let ready = bound * READY_AGE_PERCENT / 100;
        assert!(pace.wait + bound / 20 <= ready, "{bound_ms} ms");
    }
}

/// At the bound of the users' deployments, one connection that falls silent must not make keys too
/// old: the poll is given up and a new connection answers in time.
#[test]
fn one_silent_connection_does_not_make_keys_too_old() {
    let bound = Duration::from_secs(5);

    let pace = FeedPace::routing(bound);

    let answered_again = pace.wait + CALL_PATIENCE + pace.after_failure;
    assert!(answered_again < bound * KEY_AGE_PERCENT / 100);
}

/// Servers leave one after the other for a while. Each news of it is a call to the store that is
/// paid for; read together they must still be known well before a leaving server may get no more.
#[test]
fn a_leaving_server_is_known_well_before_its_bound() {
    for bound_ms in [500, 2_000, 3_000] {
        let bound = Duration::from_millis(bound_ms);

        let pace = FeedPace::servers(bound);

        assert!(pace.between + pace.after_failure <= bound / 2);
        assert!(pace.between >= bound / 10, "calls are paid for");
    }
}

/// Guards against a gateway that hears of no crash while its connection to the store is silent.
#[test]
fn a_crash_is_known_within_its_bound_though_a_connection_falls_silent() {
    let held_back_after = Duration::from_millis(500);
    let bound = Duration::from_secs(3);

    let pace = FeedPace::instances(bound);

    let answered_again = pace.wait + CALL_PATIENCE + pace.after_failure;
    assert!(answered_again + held_back_after <= bound);
    assert!(pace.handed_silence() + Duration::from_millis(400) <= bound);
    assert!(pace.between >= bound / 10, "calls are paid for");
}

/// The gateway that hands the store's answers on is cut off from it. The one that hears nothing from
/// it must still know within the bound what the store says.
#[test]
fn who_hears_nothing_from_a_neighbour_asks_within_the_bound() {
    let ways = Duration::from_millis(400);
    for bound_ms in [1_500, 2_000, 3_000, 4_000, 8_000] {
        let bound = Duration::from_millis(bound_ms);

        let servers = FeedPace::servers(bound);
        let routing = FeedPace::routing(Duration::from_secs(5)).heard_within(bound);

        assert!(servers.handed_silence() + ways <= bound, "{bound_ms} ms");
        assert!(routing.handed_silence() + ways <= bound, "{bound_ms} ms");
    }
}
