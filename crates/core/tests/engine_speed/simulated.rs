//! Simulated engines of two speeds behind twenty gateways.

use std::thread;
use std::time::Duration;

use super::simulation::{Choice, Scenario, Simulation, TIME_LEFT, late_fraction, percentile};

fn scenario(choice: Choice) -> Scenario {
    Scenario {
        choice,
        duration: Duration::from_secs(40),
        ..Scenario::default()
    }
}

/// Guards against large prompts that wait at slow engines while fast ones are idle.
#[test]
fn the_largest_prompts_get_their_first_event_earlier_at_no_cost_to_others() {
    let before = Simulation::new(scenario(Choice::Affinity)).run();
    let after = Simulation::new(scenario(Choice::Speed)).run();

    let p90 = |times: &[Duration]| percentile(times, 90);
    assert!(
        late_fraction(&before.largest, TIME_LEFT) > 0.15,
        "the load is as measured"
    );
    assert!(late_fraction(&after.largest, TIME_LEFT) < 0.08);
    assert!(p90(&after.largest) < p90(&before.largest).mul_f64(0.8));
    assert!(p90(&after.large) <= p90(&before.large));
    assert!(p90(&after.others) <= p90(&before.others));
    assert!(p90(&after.other_totals) <= p90(&before.other_totals));
    // Lateness that is saved by all large prompts outweighs 60 ms for each 1,000 tokens.
    let sum = |times: &[Duration]| times.iter().sum::<Duration>();
    let saved = sum(&before.largest).saturating_sub(sum(&after.largest))
        + sum(&before.large).saturating_sub(sum(&after.large));
    let again = Duration::from_micros(after.tokens_again * 60);
    assert!(saved > again, "{saved:?} saved, {again:?} spent");
}

/// Guards against an exchange that takes more than a gateway's share of the control traffic, 3 kB/s
/// for all purposes.
#[test]
fn the_exchange_is_small() {
    let outcome = Simulation::new(scenario(Choice::Speed)).run();

    let gateway_seconds = 20 * 40;
    let bytes_per_s = (outcome.report_bytes + outcome.update_bytes) / gateway_seconds;
    assert!((1..1_500).contains(&bytes_per_s), "{bytes_per_s}");
}

/// Guards against prompts that keep going to an engine which has become slow, and against an engine
/// that stays unused after it has recovered.
#[test]
fn a_slowed_engine_gets_less_within_a_second_and_is_back_within_three() {
    for slow in [3, 20] {
        let (from, until) = (Duration::from_secs(20), Duration::from_secs(28));
        let mut simulation = Simulation::new(Scenario {
            slowdown: Some((slow, 4.0, from, until)),
            ..scenario(Choice::Speed)
        });

        simulation.run_until(from);
        let before = simulation.subjects_at(slow);
        simulation.run_until(from + Duration::from_secs(1));
        let slowed = simulation.subjects_at(slow);
        simulation.run_until(until + Duration::from_secs(3));
        let after = simulation.subjects_at(slow);

        let is_all = |holds: fn(usize, usize) -> bool, counts: &[usize]| {
            let mut pairs = before.iter().zip(counts);
            pairs.all(|(before, count)| holds(*before, *count))
        };
        assert!(
            is_all(|before, count| before > 0 && count < before, &slowed),
            "{slow}: {before:?} {slowed:?}"
        );
        assert!(
            is_all(|before, count| count * 2 >= before, &after),
            "{slow}: {before:?} {after:?} {:?}",
            simulation.estimate(slow)
        );
    }
}

/// Guards against subjects that move between engines with small changes of the estimates, and
/// against gateways that disagree on them.
#[test]
fn gateways_agree_on_homes_that_stay() {
    let mut simulation = Simulation::new(scenario(Choice::Speed));
    simulation.run_until(Duration::from_secs(25));
    let before = simulation.homes(0);

    let others = (1..20).map(|gateway| simulation.homes(gateway));
    assert!(others.into_iter().all(|homes| homes == before));

    simulation.run_until(Duration::from_secs(40));
    let after = simulation.homes(0);
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b);
    assert!(moved.count() * 50 < before.len(), "under 2% in 15 s");
}

/// Guards against a gateway that needs the collector to use engines by their speed.
#[test]
fn gateways_without_a_collector_are_no_worse_than_by_affinity() {
    let before = Simulation::new(scenario(Choice::Affinity)).run();
    let after = Simulation::new(scenario(Choice::SpeedWithoutExchange)).run();

    assert!(percentile(&after.largest, 90) < percentile(&before.largest, 90));
}

/// Guards against prompts that leave an engine which holds their shared part although it would answer
/// in time, or that go where nothing is known of the part, and against parts that no engine fetches
/// after a change of the engines' classes has moved their home.
#[test]
fn few_shared_tokens_are_prefilled_again() {
    let by_speed = |seed| {
        move || {
            let scenario = scenario(Choice::Speed);
            Simulation::new(Scenario { seed, ..scenario }).run()
        }
    };
    let runs: Vec<_> = (1..=4).map(|seed| thread::spawn(by_speed(seed))).collect();

    let mut again = 0;
    for run in runs {
        let outcome = run.join().unwrap();
        // A fifth of the 810 prompts with a shared part are of the largest.
        assert!(late_fraction(&outcome.largest, TIME_LEFT) <= 0.01);
        assert!(late_fraction(&outcome.large, TIME_LEFT) <= 0.01);
        assert!(outcome.missed_fetches < outcome.fetches);
        again += outcome.tokens_again;
    }
    // A twentieth of the shared tokens of the 30 s that are measured; by affinity alone hardly any.
    assert!(again / 4 <= 220_000, "{again} in four runs");
}

/// Guards against a part that many prompts have at once, which each engine with free slots prefills
/// again.
#[test]
fn prompts_of_a_hot_part_are_split_between_two_engines() {
    let tokens_again = |has_splits| {
        let run = |seed| {
            move || {
                let scenario = Scenario {
                    seed,
                    slots: 20,
                    hot_share: 0.5,
                    has_splits,
                    ..scenario(Choice::Speed)
                };
                Simulation::new(scenario).run().tokens_again
            }
        };
        let runs: Vec<_> = (1..=6).map(|seed| thread::spawn(run(seed))).collect();
        let again = runs.into_iter().map(|run| run.join().unwrap());
        again.sum::<u64>()
    };

    let (without, with) = (tokens_again(false), tokens_again(true));

    assert!(with < without, "{with} with and {without} without splits");
}
