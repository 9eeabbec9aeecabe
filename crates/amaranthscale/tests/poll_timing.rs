//! Timing of polls of the store under the bounds of several deployments.

use std::time::Duration;

use amaranthscale::gateway::version::{KEY_AGE_PERCENT, PollTiming, READY_AGE_PERCENT};

/// Timeout for the beginning of an answer, in addition to the wait of the poll.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// A deployment accepts a revoked key for two seconds. If the store is polled every 1.8 s, as is
/// enough for five seconds, its last answer becomes too old for keys to be accepted before the next
/// one arrives, and every request with a key is refused for a moment although the store works.
#[test]
fn the_routing_is_polled_twice_while_keys_are_accepted() {
    for bound_ms in [1_000, 2_000, 5_000, 20_000] {
        let bound = Duration::from_millis(bound_ms);

        let timing = PollTiming::routing(bound);

        let max_key_age = bound * KEY_AGE_PERCENT / 100;
        assert!(timing.wait * 2 <= max_key_age, "{bound_ms} ms");
        assert!(
            timing.wait + timing.failure_pause < max_key_age,
            "{bound_ms} ms"
        );
    }
}

/// A deployment accepts a revoked key for ten seconds. A gateway that is ready for only 2.8 s after
/// an answer, as is right for five seconds, leaves the rotation between two polls of an idle store.
#[test]
fn a_gateway_stays_ready_between_two_polls() {
    for bound_ms in [1_000, 2_000, 5_000, 10_000, 20_000] {
        let bound = Duration::from_millis(bound_ms);

        let timing = PollTiming::routing(bound);

        let ready = bound * READY_AGE_PERCENT / 100;
        assert!(timing.wait + bound / 20 <= ready, "{bound_ms} ms");
    }
}

/// With the usual bound of five seconds, a hanging connection must not make keys too old: the poll
/// times out and a new connection is answered in time.
#[test]
fn one_hanging_connection_does_not_make_keys_too_old() {
    let bound = Duration::from_secs(5);

    let timing = PollTiming::routing(bound);

    let next_answer_after = timing.wait + CALL_TIMEOUT + timing.failure_pause;
    assert!(next_answer_after < bound * KEY_AGE_PERCENT / 100);
}

/// Guards against a configuration that a gateway uses for too long after its connection went silent.
#[test]
fn a_silent_connection_is_replaced_within_the_bound() {
    for bound_ms in [2_000, 3_000, 4_000] {
        let bound = Duration::from_millis(bound_ms);

        let timing = PollTiming::routing(Duration::from_secs(5)).with_silence_bound(bound);

        assert!(timing.wait + CALL_TIMEOUT < bound, "{bound_ms} ms");
        assert!(timing.failure_pause < CALL_TIMEOUT, "{bound_ms} ms");
        assert!(timing.wait >= bound / 5, "{bound_ms} ms");
    }
}

/// Servers leave one after another for some time. Each change costs a call to the store, so changes
/// are read together, but a leaving server must still be known well before it may get no more work.
#[test]
fn a_leaving_server_is_known_well_before_its_bound() {
    for bound_ms in [500, 2_000, 3_000] {
        let bound = Duration::from_millis(bound_ms);

        let timing = PollTiming::servers(bound);

        assert!(timing.interval + timing.failure_pause <= bound / 2);
        assert!(timing.interval >= bound / 10, "each call costs money");
    }
}

/// A gateway must learn of a crash in time even if its connection to the store hangs.
#[test]
fn a_crash_is_known_within_its_bound_if_a_connection_hangs() {
    let quarantined_after = Duration::from_millis(500);
    let bound = Duration::from_secs(3);

    let timing = PollTiming::instances(bound);

    let next_answer_after = timing.wait + CALL_TIMEOUT + timing.failure_pause;
    assert!(next_answer_after + quarantined_after <= bound);
    assert!(timing.max_relay_silence() + Duration::from_millis(400) <= bound);
    assert!(timing.interval >= bound / 10, "each call costs money");
}

/// The gateway that relays the store's answers is cut off from the store. A gateway that receives
/// nothing from it must still get the store's data within the bound.
#[test]
fn a_gateway_without_relayed_answers_reads_the_store_within_the_bound() {
    let network_time = Duration::from_millis(400);
    for bound_ms in [1_500, 2_000, 3_000, 4_000, 8_000] {
        let bound = Duration::from_millis(bound_ms);

        let servers = PollTiming::servers(bound);
        let routing = PollTiming::routing(Duration::from_secs(5)).with_relay_bound(bound);

        assert!(
            servers.max_relay_silence() + network_time <= bound,
            "{bound_ms} ms"
        );
        assert!(
            routing.max_relay_silence() + network_time <= bound,
            "{bound_ms} ms"
        );
    }
}
