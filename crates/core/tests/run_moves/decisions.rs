//! Single decisions on moves.

use std::time::Duration;

use amaranthscale_core::id::CallId;
use amaranthscale_core::process::{
    BegunMove, ElectiveRun, EngineOverview, MoveOrder, MoveReason, MoveRegistry, Rank, RunMove,
    SendEnd, ServerLoad, ServerRecord, ServerSelector,
};

use super::simulation::{TRANSFER, incarnation, record, update};

const NOW: Duration = Duration::from_secs(100);
const GAP: Duration = Duration::from_millis(400);

struct Fixture {
    engines: Vec<ServerRecord>,
    selector: ServerSelector,
}

impl Fixture {
    /// Engines with a published time of each event.
    fn new(event_ms: &[u32]) -> Self {
        let mut selector = ServerSelector::default();
        let updated = update(event_ms.iter().copied());
        selector.engine_speeds_mut().apply(updated, NOW);
        Self {
            engines: (0..event_ms.len()).map(|one| record(one, 10)).collect(),
            selector,
        }
    }

    /// Records the load of an engine, with ten slots.
    fn load(&mut self, engine: usize, running: u32, waiting: u32, at: Duration) {
        let load = ServerLoad {
            running,
            waiting,
            slots: 10,
        };
        self.selector.record_load(&incarnation(engine), load, at);
    }

    /// Why and to which engine a run is moved.
    fn choose(&self, run: &ElectiveRun<'_>, now: Duration) -> Option<(MoveReason, String)> {
        let engines: Vec<_> = self.engines.iter().collect();
        let overview = EngineOverview::new(
            &EngineOverview::default(),
            &engines,
            &engines,
            &self.selector,
            now,
        );
        let reason = overview.reason(run, &self.selector, now)?;
        let target = overview.target(run, reason, &engines, &TRANSFER, &self.selector, now)?;
        Some((reason, target.incarnation.id().to_string()))
    }

    fn run<'a>(&'a self, call: &'a CallId) -> ElectiveRun<'a> {
        ElectiveRun {
            call,
            engine: &self.engines[0],
            rank: Rank::default(),
            tokens: 6_000,
            tokens_left: 100,
            max_event_gap: Some(GAP),
            time_left: Duration::from_mins(1),
            age: Duration::from_secs(2),
            left: &[],
        }
    }

    /// Number of a thousand runs at the first engine that are moved.
    fn moved(&self, now: Duration) -> usize {
        let calls = (0..1_000).map(|number| format!("c{number}").parse().unwrap());
        let is_moved = |call: &CallId| self.choose(&self.run(call), now).is_some();
        calls.filter(is_moved).count()
    }
}

fn call() -> CallId {
    "c1".parse().unwrap()
}

#[test]
fn a_run_leaves_an_engine_of_three_times_the_median() {
    let call = call();
    let choose = |event_ms: &[u32]| {
        let fixture = Fixture::new(event_ms);
        let chosen = fixture.choose(&fixture.run(&call), NOW);
        chosen.map(|(reason, _)| reason)
    };

    assert_eq!(choose(&[90, 30, 30, 30]), Some(MoveReason::Slow));
    assert_eq!(choose(&[89, 30, 30, 30]), None);
    assert_eq!(choose(&[30, 30, 30, 30]), None);
    assert_eq!(choose(&[120, 120, 110, 30]), None, "most are slow");
}

/// Guards against answers that are late by their pauses although most engines are as slow.
#[test]
fn a_run_leaves_an_engine_that_exceeds_its_longest_pause() {
    let call = call();
    let fixture = Fixture::new(&[321, 300, 322, 322]);
    let run = fixture.run(&call);

    let chosen = fixture.choose(&run, NOW);

    assert_eq!(chosen, Some((MoveReason::Slow, "p1".to_owned())));
    let patient = ElectiveRun {
        max_event_gap: None,
        ..run
    };
    assert_eq!(fixture.choose(&patient, NOW), None);
    let fixture = Fixture::new(&[330, 325, 330, 330]);
    assert_eq!(
        fixture.choose(&fixture.run(&call), NOW),
        None,
        "all are too slow"
    );
}

/// Guards against copies that take longer than they save.
#[test]
fn a_run_that_ends_as_early_where_it_is_stays() {
    let run_move = |remaining_ms| RunMove {
        tokens: 100_000,
        remaining_time: Duration::from_millis(remaining_ms),
        is_other_zone: false,
    };
    let copy_time = run_move(0).copy_time(&TRANSFER);
    let at_target = Duration::from_secs(1);

    assert!(copy_time > Duration::from_millis(20) && copy_time < Duration::from_millis(25));
    assert!(run_move(1_025).ends_earlier(&TRANSFER, at_target));
    assert!(!run_move(1_020).ends_earlier(&TRANSFER, at_target));
    assert!(
        !run_move(100).ends_earlier(&TRANSFER, Duration::ZERO),
        "five copies"
    );

    let call = call();
    let fixture = Fixture::new(&[120, 30, 30, 30]);
    let short = ElectiveRun {
        tokens: 1_000_000,
        tokens_left: 3,
        ..fixture.run(&call)
    };
    assert_eq!(fixture.choose(&short, NOW), None);
}

/// Guards against decisions by estimates of a collector that is gone.
#[test]
fn without_recent_estimates_of_both_engines_no_run_is_moved() {
    let call = call();
    let fixture = Fixture::new(&[120, 30, 30, 30]);
    let run = fixture.run(&call);
    let after = |s| NOW + Duration::from_secs(s);

    assert!(fixture.choose(&run, after(10)).is_some());
    assert_eq!(fixture.choose(&run, after(11)), None);

    let mut fixture = Fixture::new(&[120, 30, 30, 30]);
    fixture.engines.extend((4..8).map(|one| record(one, 10)));
    for call in (0..50).map(|number| format!("c{number}").parse().unwrap()) {
        let (_, target) = fixture.choose(&fixture.run(&call), NOW).unwrap();
        assert!(["p1", "p2", "p3"].contains(&target.as_str()), "{target}");
    }
    let unknown = ElectiveRun {
        engine: &fixture.engines[5],
        ..fixture.run(&call)
    };
    assert_eq!(fixture.choose(&unknown, NOW), None);
}

#[test]
fn young_runs_and_those_that_were_moved_twice_stay() {
    let call = call();
    let fixture = Fixture::new(&[120, 30, 30, 30]);
    let run = fixture.run(&call);
    let is_moved = |run: ElectiveRun<'_>| fixture.choose(&run, NOW).is_some();

    let left = [7, 8].map(incarnation);
    assert!(is_moved(ElectiveRun {
        left: &left[..1],
        ..run
    }));
    assert!(!is_moved(ElectiveRun { left: &left, ..run }));
    let age = Duration::from_millis(999);
    assert!(!is_moved(ElectiveRun { age, ..run }));
}

/// Guards against a run that goes back and forth.
#[test]
fn a_run_does_not_return_to_an_engine_that_it_left() {
    let left = [incarnation(1)];
    for number in 0..50 {
        let call = format!("c{number}").parse().unwrap();
        let mut fixture = Fixture::new(&[120, 30, 30]);
        let run = |fixture: &Fixture| {
            let run = ElectiveRun {
                left: &left,
                ..fixture.run(&call)
            };
            fixture.choose(&run, NOW)
        };
        assert_eq!(run(&fixture), Some((MoveReason::Slow, "p2".to_owned())));

        fixture = Fixture::new(&[30, 30, 30]);
        fixture.load(0, 10, 20, NOW);
        fixture.load(1, 0, 0, NOW);
        assert_eq!(run(&fixture), None);
        fixture.load(2, 0, 0, NOW);
        let moved = run(&fixture);
        assert!(moved.is_none_or(|(_, target)| target == "p2"));
    }
}

#[test]
fn failing_and_nearly_full_engines_get_no_runs_of_a_slow_one() {
    let call = call();
    let mut fixture = Fixture::new(&[120, 30, 30, 30]);
    fixture.selector.record_send(&incarnation(1));
    let (failing, end) = (incarnation(1), SendEnd::Failed);
    fixture
        .selector
        .record_end(&failing, end, Duration::ZERO, NOW);
    fixture.load(2, 8, 0, NOW);

    let chosen = fixture.choose(&fixture.run(&call), NOW);

    assert_eq!(chosen, Some((MoveReason::Slow, "p3".to_owned())));
}

#[test]
fn runs_leave_a_full_engine_only_for_one_that_is_half_empty() {
    let moved = |loads: [(u32, u32); 2], at| {
        let mut fixture = Fixture::new(&[30, 30]);
        for (engine, (running, waiting)) in loads.into_iter().enumerate() {
            fixture.load(engine, running, waiting, at);
        }
        fixture.moved(NOW)
    };
    // Of 10 runs, as many as lower the difference of 0.6 to 0.25: 1.75.
    let of_a_thousand = moved([(10, 0), (4, 0)], NOW);
    assert!((140..210).contains(&of_a_thousand), "{of_a_thousand}");

    assert_eq!(moved([(9, 0), (0, 0)], NOW), 0, "not above 90%");
    assert_eq!(moved([(10, 0), (5, 0)], NOW), 0, "not below half");
    assert_eq!(moved([(10, 0), (4, 1)], NOW), 0, "requests wait there too");
    assert!(moved([(6, 2), (0, 0)], NOW) > 0, "requests wait");
    assert_eq!(moved([(4, 1), (3, 0)], NOW), 0, "nearly even");
    let old = NOW.checked_sub(Duration::from_millis(2_001)).unwrap();
    assert_eq!(moved([(10, 0), (0, 0)], old), 0, "the loads are too old");
}

/// Guards against an engine that gives up runs which other gateways have just moved to it.
#[test]
fn an_engine_that_has_just_had_free_capacity_gives_no_runs() {
    let mut fixture = Fixture::new(&[30, 30, 30]);
    let load = |fixture: &mut Fixture, running: [u32; 3], at| {
        for (engine, running) in running.into_iter().enumerate() {
            fixture.load(engine, running, 0, at);
        }
    };
    let after = |ms| NOW + Duration::from_millis(ms);
    let calls: Vec<CallId> = (0..50)
        .map(|number| format!("c{number}").parse().unwrap())
        .collect();
    let moved = |fixture: &Fixture, overview: &EngineOverview, now| {
        let is_moved = |call: &&CallId| {
            let run = fixture.run(call);
            overview.reason(&run, &fixture.selector, now).is_some()
        };
        calls.iter().filter(is_moved).count()
    };
    let overview = |fixture: &Fixture, previous: &EngineOverview, now| {
        let engines: Vec<_> = fixture.engines.iter().collect();
        EngineOverview::new(previous, &engines, &engines, &fixture.selector, now)
    };

    load(&mut fixture, [1, 10, 1], NOW);
    let first = overview(&fixture, &EngineOverview::default(), NOW);
    load(&mut fixture, [10, 5, 0], after(500));
    let second = overview(&fixture, &first, after(500));
    let third = overview(&fixture, &second, after(2_499));
    load(&mut fixture, [10, 5, 0], after(2_500));
    let fourth = overview(&fixture, &third, after(2_500));

    assert_eq!(moved(&fixture, &second, after(500)), 0);
    assert_eq!(moved(&fixture, &third, after(2_500)), 0);
    assert!(moved(&fixture, &fourth, after(2_500)) > 0);
}

/// Guards against each decision of the same load moving other runs, until all are moved.
#[test]
fn the_same_load_moves_the_same_runs_and_fewer_with_age() {
    let mut fixture = Fixture::new(&[30, 30, 30]);
    fixture.load(0, 10, 6, NOW);
    fixture.load(1, 1, 0, NOW);
    fixture.load(2, 1, 0, NOW);
    let mut moved = [0; 3];

    for number in 0..200 {
        let call = format!("c{number}").parse().unwrap();
        let run = fixture.run(&call);
        let first = fixture.choose(&run, NOW);
        for (second, moved) in (0..).zip(&mut moved) {
            let chosen = fixture.choose(&run, NOW + Duration::from_secs(second));
            *moved += u32::from(chosen.is_some());
            assert!(chosen.is_none() || chosen == first, "{chosen:?}, {first:?}");
        }
    }

    assert!(moved[0] > moved[1] && moved[1] > 0, "{moved:?}");
    assert_eq!(moved[2], 0);
}

/// Guards against a run that would end after its deadline at the slower of two engines.
#[test]
fn a_run_that_would_miss_its_deadline_elsewhere_stays() {
    let mut fixture = Fixture::new(&[30, 60]);
    fixture.load(0, 10, 20, NOW);
    fixture.load(1, 0, 0, NOW);
    let calls = (0..50).map(|number| format!("c{number}").parse::<CallId>().unwrap());
    let moved = |time_left| {
        let is_moved = |call: &CallId| {
            let run = ElectiveRun {
                time_left,
                ..fixture.run(call)
            };
            fixture.choose(&run, NOW).is_some()
        };
        calls.clone().filter(is_moved).count()
    };

    assert!(moved(Duration::from_secs(7)) > 0);
    assert_eq!(moved(Duration::from_secs(6)), 0);
}

#[test]
fn an_engine_that_received_a_run_gives_none_for_two_seconds() {
    let mut moves = MoveRegistry::default();
    let begun = BegunMove {
        call: call(),
        from: incarnation(0),
        to: incarnation(1),
        reason: MoveReason::Slow,
        began_at: NOW,
    };
    let id = moves.try_begin(begun).unwrap();
    let after = |ms| NOW + Duration::from_millis(ms);

    assert!(moves.has_received(&incarnation(1), NOW));
    assert!(!moves.has_received(&incarnation(0), NOW));
    moves.end(id, after(500));
    assert!(moves.has_received(&incarnation(1), after(2_499)));
    assert!(!moves.has_received(&incarnation(1), after(2_500)));
}

/// Guards against the first run that is checked being moved, instead of the one that gains most.
#[test]
fn the_first_runs_by_order_are_moved_first() {
    let mut moves = MoveRegistry::default();
    let calls: Vec<CallId> = (0..4)
        .map(|one| format!("c{one}").parse().unwrap())
        .collect();
    let lengths = [400, 100, 300, 200];
    let mut offer_all = |at| {
        let offers = calls.iter().zip(lengths).map(|(call, tokens_left)| {
            moves.offer(&incarnation(0), call, MoveOrder::of_slow(tokens_left), at)
        });
        offers.collect::<Vec<_>>()
    };

    assert_eq!(offer_all(NOW), [false; 4], "others may follow");
    let later = NOW + Duration::from_millis(100);
    assert_eq!(offer_all(later), [false, true, false, true]);
    // The short ones have ended and renew their offers no more.
    let later = later + Duration::from_millis(251);
    assert!(!moves.offer(&incarnation(0), &calls[0], MoveOrder::of_slow(400), later));
    let later = later + Duration::from_millis(100);
    assert!(moves.offer(&incarnation(0), &calls[0], MoveOrder::of_slow(400), later));
}
