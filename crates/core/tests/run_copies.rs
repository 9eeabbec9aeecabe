//! Decisions on copies of KV cache between engines.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{
    BegunMove, MoveReason, MoveRegistry, PromptFetch, RecentPrefills, RunBackup, RunMove, SendEnd,
    ServerLoad, ServerRecord, ServerSelector, StreamLosses,
};
use amaranthscale_core::version::TransferSpec;

const NOW: Duration = Duration::from_secs(100);

fn engine(name: &str) -> ServerIncarnation {
    name.parse().unwrap()
}

/// 131,072 bytes a token over 1,100,000 Mbit/s: about 1 ms for 1,000 tokens.
fn transfer() -> TransferSpec {
    TransferSpec {
        bytes_per_token: 131_072,
        bytes_per_s: 137_500_000_000,
        can_back_up: true,
        can_move: true,
        copy_retention: Duration::from_secs(5),
    }
}

/// A fetch that costs as much as prefilling only loads the links that other transfers need.
#[test]
fn parts_are_fetched_only_where_prefilling_takes_twice_as_long() {
    let of = |tokens, prefill_ms| PromptFetch {
        tokens,
        prefill_time: Duration::from_millis(prefill_ms),
    };

    assert!(of(5_000, 35).is_worthwhile(&transfer()));
    assert!(!of(5_000, 14).is_worthwhile(&transfer()));
    assert!(!of(100, 1).is_worthwhile(&transfer()), "the start alone");
    assert!(!of(0, 0).is_worthwhile(&transfer()));
    assert!(!of(u64::MAX, 60_000).is_worthwhile(&transfer()));
}

/// An engine that prefilled a part long ago has evicted it: the fetch would find nothing.
#[test]
fn a_prefill_is_forgotten_after_eight_seconds() {
    let mut prefills = RecentPrefills::default();
    prefills.record("a", &engine("p1"), NOW);

    let within = NOW + Duration::from_millis(7_999);
    let after = NOW + Duration::from_secs(8);

    assert_eq!(prefills.engines("a", within).count(), 1);
    assert_eq!(prefills.engines("a", after).count(), 0);
    prefills.record("b", &engine("p1"), after);
    assert_eq!(prefills.len(), 1, "the expired part is dropped");
}

#[test]
fn the_latest_engine_of_a_part_comes_first() {
    let mut prefills = RecentPrefills::default();
    for name in ["p1", "p2", "p1"] {
        prefills.record("a", &engine(name), NOW);
    }

    let engines: Vec<_> = prefills.engines("a", NOW).cloned().collect();

    assert_eq!(engines, [engine("p1"), engine("p2")]);
}

/// Callers name the parts, so their number must not grow the gateway's memory.
#[test]
fn the_number_of_parts_and_of_their_engines_is_bounded() {
    let mut prefills = RecentPrefills::default();
    for number in 0..10_000 {
        prefills.record(&format!("part{number}"), &engine("p1"), NOW);
    }
    for number in 0..100 {
        prefills.record("part9999", &engine(&format!("p{number}")), NOW);
    }

    assert_eq!(prefills.len(), 4_096);
    assert_eq!(prefills.engines("part0", NOW).count(), 0, "the oldest part");
    assert_eq!(prefills.engines("part9999", NOW).count(), 4);
}

fn record(name: &str, zone: &str, port: u16) -> ServerRecord {
    ServerRecord {
        incarnation: engine(name),
        service: "pool".parse().unwrap(),
        address: ([127, 0, 0, 1], port).into(),
        zone: zone.parse().unwrap(),
        slots: 8,
        is_leaving: false,
        cold_left: None,
        software_version: None,
    }
}

/// Copies without losses would only take the links' bandwidth from fetches and moves.
#[test]
fn runs_are_backed_up_only_while_streams_break() {
    let backup = RunBackup {
        broken_share: 0.01,
        lost_time: Duration::from_secs(3),
        transfer_time: Duration::from_millis(2),
        prefill_time: Duration::ZERO,
        is_engine_failing: false,
    };
    let is_worthwhile = |backup: RunBackup| backup.is_worthwhile();

    assert!(is_worthwhile(backup));
    assert!(!is_worthwhile(RunBackup {
        broken_share: 0.0,
        ..backup
    }));
    assert!(!is_worthwhile(RunBackup {
        broken_share: 0.005,
        ..backup
    }));
    assert!(!is_worthwhile(RunBackup {
        prefill_time: Duration::from_millis(100),
        ..backup
    }));
    let failing = RunBackup {
        broken_share: 0.0,
        is_engine_failing: true,
        ..backup
    };
    assert!(is_worthwhile(failing));
}

/// A loss of long ago must not cause copies for the rest of the process's life.
#[test]
fn losses_count_for_ten_seconds() {
    let mut losses = StreamLosses::default();
    losses.record(Duration::from_secs(4), true, NOW);
    losses.record(Duration::from_secs(2), false, NOW + Duration::from_secs(9));

    let shares = [0, 9, 11, 60].map(|s| losses.broken_share(NOW + Duration::from_secs(s)));

    assert_eq!(shares.map(|share| share > 0.0), [true, true, false, false]);
    let mean = losses.mean_engine_time(NOW + Duration::from_secs(9));
    assert_eq!(mean, Duration::from_secs(3));
}

/// A copy at the run's own engine is lost with it, and full or failing engines keep none.
#[test]
fn backups_go_to_another_engine_with_free_capacity_in_the_same_zone() {
    let engines = [
        record("own", "east", 1),
        record("full", "east", 2),
        record("failing", "east", 3),
        record("near", "east", 4),
        record("far", "west", 5),
    ];
    let mut selector = ServerSelector::default();
    let load = ServerLoad {
        running: 6,
        waiting: 0,
        slots: 8,
    };
    selector.record_load(&engine("full"), load, NOW);
    selector.record_send(&engine("failing"));
    selector.record_end(&engine("failing"), SendEnd::Failed, Duration::ZERO, NOW);
    let target = |candidates: &[ServerRecord]| {
        let call = "c1".parse().unwrap();
        let target = RunBackup::target(candidates, &engines[0], &call, &selector, NOW);
        target.map(|target| target.incarnation.id().to_string())
    };

    assert_eq!(target(&engines).as_deref(), Some("near"));
    assert_eq!(
        target(&[engines[0].clone(), engines[4].clone()]).as_deref(),
        Some("far")
    );
    assert_eq!(target(&engines[..3]), None);
}

/// A move whose copy takes as long as the rest of the run gains nothing.
#[test]
fn runs_are_moved_only_if_their_rest_takes_much_longer_than_the_copy() {
    let run = |remaining_ms, is_other_zone| RunMove {
        tokens: 5_000,
        remaining_time: Duration::from_millis(remaining_ms),
        is_other_zone,
    };

    assert!(run(50, false).is_worthwhile(&transfer()));
    assert!(!run(30, false).is_worthwhile(&transfer()));
    assert!(!run(50, true).is_worthwhile(&transfer()), "twice as long");
    assert!(run(80, true).is_worthwhile(&transfer()));
}

fn begun(from: &str, to: &str) -> BegunMove {
    BegunMove {
        call: "c1".parse().unwrap(),
        from: engine(from),
        to: engine(to),
        reason: MoveReason::Leaving,
        began_at: NOW,
    }
}

/// Many moves at once would hold up the fetches of both engines.
#[test]
fn an_engine_takes_part_in_two_moves_of_each_direction_at_once() {
    let mut moves = MoveRegistry::default();

    let first = moves.try_begin(begun("a", "b")).unwrap();
    assert!(moves.try_begin(begun("a", "c")).is_some());
    assert!(moves.try_begin(begun("a", "c")).is_none(), "two from a");
    assert!(moves.try_begin(begun("c", "b")).is_some());
    assert!(moves.try_begin(begun("c", "b")).is_none(), "two to b");
    assert_eq!(moves.list().count(), 3);
    moves.end(first, NOW);
    assert_eq!(moves.list().count(), 2);
    assert!(moves.try_begin(begun("a", "b")).is_some());
}
