//! What 20 gateways do together that see the same estimates and loads.

use std::time::Duration;

use amaranthscale_core::process::MoveReason;

use super::simulation::{Outcome, Scenario, Simulation};

const SEEDS: u64 = 3;
/// Age of a reported load, at least and at most.
const REPORT_INTERVALS: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(2),
];
/// Requests with which an engine of 48 slots would itself be a source of moves.
const MAX_REQUESTS: usize = 43;

type Initial = fn(engine: usize) -> usize;
type Arrivals = fn(engine: usize, now: Duration) -> f64;

fn even() -> Scenario {
    Scenario {
        event_ms: |_, _| 40,
        initial: |_| 24,
        arrivals_per_s: |_, _| 6.0,
        engines: 40,
        report_interval: Duration::from_millis(500),
        duration: Duration::from_secs(12),
        moves: true,
        seed: 1,
    }
}

/// One engine of 40 turns four times slower after 3 s and recovers 8 s later.
fn one_slow(moves: bool, seed: u64) -> Outcome {
    Simulation::run(Scenario {
        event_ms: |engine, at| {
            let is_slow = engine == 7 && (3..11).contains(&at.as_secs());
            if is_slow { 160 } else { 40 }
        },
        duration: Duration::from_secs(18),
        moves,
        seed,
        ..even()
    })
}

/// 6 engines of 42 have half as much more requests than slots, the others are a third full.
fn uneven(report_interval: Duration, moves: bool, seed: u64) -> Outcome {
    Simulation::run(Scenario {
        event_ms: |_, _| 40,
        initial: |engine| if engine < 6 { 72 } else { 16 },
        arrivals_per_s: |engine, _| if engine < 6 { 13.0 } else { 4.0 },
        engines: 42,
        report_interval,
        duration: Duration::from_secs(12),
        moves,
        seed,
    })
}

/// Guards against runs that stay at an engine on which they end too late, and against 20 gateways
/// that move them all to the same engine, or back once it has recovered.
#[test]
fn runs_leave_an_engine_that_turns_slow_and_stay_away() {
    for seed in 0..SEEDS {
        let without = one_slow(false, seed);
        let with = one_slow(true, seed);

        assert!(with.completed.len() >= 15, "{}", with.completed.len());
        for one in &with.completed {
            assert_eq!((one.from, one.reason), (7, MoveReason::Slow));
            let at_s = one.at.as_secs() - 100;
            assert!((3..12).contains(&at_s), "moved at {at_s} s");
        }
        assert_eq!(
            (with.returns(), with.swings(Duration::from_secs(4))),
            (0, 0)
        );
        assert_eq!(with.rejected, 0);
        assert!(with.fullest_target() <= MAX_REQUESTS);
        assert!(with.mean_run_ms() < without.mean_run_ms());
        println!(
            "seed {seed}: {} moves, most received in 2 s {}, fullest target {}, mean {} ms, without {} ms",
            with.completed.len(),
            with.most_received(Duration::from_secs(2)),
            with.fullest_target(),
            with.mean_run_ms(),
            without.mean_run_ms()
        );
    }
}

/// Guards against gateways that overload an engine together as each sees only its load of before,
/// and against runs that go back and forth.
#[test]
fn runs_of_full_engines_spread_without_swinging() {
    for report_interval in REPORT_INTERVALS {
        for seed in 0..SEEDS {
            let without = uneven(report_interval, false, seed);
            let with = uneven(report_interval, true, seed);

            println!(
                "reports each {} ms, seed {seed}: {} moves, {} rejected, most received in 2 s \
                {}, fullest target {}, mean {} ms, without {} ms; waited {} s, without {} s",
                report_interval.as_millis(),
                with.completed.len(),
                with.rejected,
                with.most_received(Duration::from_secs(2)),
                with.fullest_target(),
                with.mean_run_ms(),
                without.mean_run_ms(),
                with.waited.as_secs(),
                without.waited.as_secs()
            );
            assert!(!with.completed.is_empty());
            for one in &with.completed {
                assert_eq!(one.reason, MoveReason::Uneven);
                assert!(one.from < 6 && one.to >= 6, "{one:?}");
            }
            assert_eq!(
                (with.returns(), with.swings(Duration::from_secs(4))),
                (0, 0)
            );
            assert!(with.fullest_target() <= MAX_REQUESTS);
            assert_eq!(with.rejected, 0);
            assert!(with.waited < without.waited * 3 / 4);
            assert!(with.mean_run_ms() < without.mean_run_ms());
        }
    }
}

/// Guards against runs that follow a load which moves from one half of the engines to the other and
/// back.
#[test]
fn a_load_that_changes_sides_takes_no_run_back() {
    for report_interval in REPORT_INTERVALS {
        for seed in 0..SEEDS {
            let outcome = Simulation::run(Scenario {
                initial: |_| 24,
                arrivals_per_s: |engine, at| {
                    let is_left = (at.as_secs() / 4) % 2 == 0;
                    if (engine < 6) == is_left { 18.0 } else { 1.0 }
                },
                engines: 12,
                duration: Duration::from_secs(20),
                report_interval,
                seed,
                ..even()
            });

            println!(
                "reports each {} ms, seed {seed}: {} moves, {} rejected, {} from engines that \
                received a run within 2 s, fullest target {}",
                report_interval.as_millis(),
                outcome.completed.len(),
                outcome.rejected,
                outcome.swings(Duration::from_secs(2)),
                outcome.fullest_target()
            );
            assert!(!outcome.completed.is_empty());
            assert_eq!(outcome.returns(), 0);
            assert_eq!(outcome.swings(Duration::from_secs(2)), 0);
            assert_eq!(outcome.rejected, 0);
        }
    }
}

/// Guards against targets that 40 full engines overload at once: the two that have free capacity
/// must not be filled by each of the others' gap.
#[test]
fn many_full_engines_do_not_overload_the_few_others() {
    for report_interval in REPORT_INTERVALS {
        for seed in 0..SEEDS {
            let outcome = Simulation::run(Scenario {
                initial: |engine| if engine < 40 { 60 } else { 10 },
                arrivals_per_s: |engine, _| if engine < 40 { 12.0 } else { 2.5 },
                engines: 42,
                report_interval,
                seed,
                ..even()
            });

            println!(
                "reports each {} ms, seed {seed}: {} moves, {} rejected, most received in 2 s \
                {}, fullest target {}",
                report_interval.as_millis(),
                outcome.completed.len(),
                outcome.rejected,
                outcome.most_received(Duration::from_secs(2)),
                outcome.fullest_target()
            );
            assert!(!outcome.completed.is_empty());
            assert!(outcome.fullest_target() <= MAX_REQUESTS);
            assert_eq!(outcome.rejected, 0);
            assert_eq!(
                (outcome.returns(), outcome.swings(Duration::from_secs(4))),
                (0, 0)
            );
        }
    }
}

/// Guards against moves that gain nothing: of an idle deployment, and where engines are equally fast
/// and not full, or equally full.
#[test]
fn even_engines_make_no_moves() {
    let scenarios: [(Initial, Arrivals); 4] = [
        (|_| 0, |_, _| 0.0),
        (|_| 1, |_, _| 0.3),
        (|engine| 18 + engine / 2, |_, _| 6.0),
        (|_| 60, |_, _| 12.0),
    ];
    for (initial, arrivals_per_s) in scenarios {
        let outcome = Simulation::run(Scenario {
            initial,
            arrivals_per_s,
            ..even()
        });

        assert_eq!(outcome.completed, []);
        assert_eq!(outcome.rejected, 0);
    }
}
