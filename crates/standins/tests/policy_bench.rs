//! Scenarios of the policy bench, each with fixed seeds on the virtual clock.

use amaranthscale_standins::policy::{Bench, Deployment, Figures, Mechanism, Mechanisms, Scenario};

/// Seconds of arrivals before counting starts; series begin there.
const FIRST_S: usize = 5;
/// When the cause of the retry storm has ended and what it left in flight is over.
const AFTER_STORM_S: usize = 50;

fn run(scenario: Scenario, mechanisms: Mechanisms, seed: u64) -> Figures {
    Bench::new(Deployment::delta_basin(), scenario, mechanisms, seed).run()
}

fn after_storm(figures: &Figures) -> &[f64] {
    &figures.paid_by_second[AFTER_STORM_S - FIRST_S..]
}

fn least(shares: &[f64]) -> f64 {
    shares.iter().copied().fold(1.0, f64::min)
}

fn most(shares: &[f64]) -> f64 {
    shares.iter().copied().fold(0.0, f64::max)
}

/// Generation is eight times as slow for ten seconds. Every caller whose request fails asks anew,
/// up to five times. With retries at will the system is still down half a minute after the cause
/// has gone, busy with work that nobody waits for. With the design it comes back and stays.
#[test]
fn a_retry_storm_ends_with_its_cause() {
    for seed in 1..=3 {
        let design = run(Scenario::RetryStorm, Mechanisms::design(), seed);

        let least = least(after_storm(&design));
        assert!(least >= 0.99, "seed {seed}: {least}");
    }
}

/// The same storm with the baseline: the overload outlives its cause. Shows that the scenario is
/// a storm, and that the test above would see one.
#[test]
fn a_retry_storm_outlives_its_cause_in_the_baseline() {
    let baseline = run(Scenario::RetryStorm, Mechanisms::baseline(), 1);

    let most = most(after_storm(&baseline));
    assert!(most < 0.5, "{most}");
}

/// The same storm where only cancelling is off: engines go on with what nobody waits for, and
/// the overload outlives its cause.
#[test]
fn without_cancelling_the_storm_stays() {
    let mechanisms = Mechanisms::design().without(Mechanism::Cancel);

    let figures = run(Scenario::RetryStorm, mechanisms, 1);

    let most = most(after_storm(&figures));
    assert!(most < 0.5, "{most}");
}

/// Trials ask ten times as often, for more than twice what generation can do. Paid work keeps
/// its attainment, and trials get what is left.
#[test]
fn paid_work_keeps_its_attainment_in_a_trial_surge() {
    for seed in 1..=3 {
        let figures = run(Scenario::TrialSurge, Mechanisms::design(), seed);

        assert!(
            figures.paid_attainment >= 0.99,
            "seed {seed}: {}",
            figures.paid_attainment
        );
        assert!(
            figures.trial_attainment >= 0.15,
            "seed {seed}: {}",
            figures.trial_attainment
        );
        assert!(
            figures.wasted_share < 0.05,
            "seed {seed}: {}",
            figures.wasted_share
        );
    }
}

/// A generation server freezes for eight seconds and thaws. On its old measurements it would
/// refuse all work while it looks idle, and so draw more; requests would fail after the fault.
#[test]
fn a_thawed_server_does_not_refuse_all_work() {
    for seed in [2, 4, 5] {
        let figures = run(Scenario::ServerFreezes, Mechanisms::design(), seed);

        assert!(
            figures.worst_second >= 0.95,
            "seed {seed}: {}",
            figures.worst_second
        );
    }
}

/// The platform's table is away for 25 seconds. Calls that may not be repeated are refused and
/// truly did not run; nothing else notices.
#[test]
fn a_lost_table_stops_only_what_needs_it() {
    let figures = run(Scenario::StoreAway, Mechanisms::design(), 1);

    assert!(
        figures.paid_attainment >= 0.99,
        "{}",
        figures.paid_attainment
    );
    assert!(
        figures.settle_refused_share > 0.2,
        "{}",
        figures.settle_refused_share
    );
    assert!(
        figures.settle_unknown_share <= 0.0,
        "{}",
        figures.settle_unknown_share
    );
}

/// A run is a function of its seed, so that a failure seen once can be seen again.
#[test]
fn the_same_seed_gives_the_same_run() {
    let first = run(Scenario::Straggler, Mechanisms::design(), 9);
    let second = run(Scenario::Straggler, Mechanisms::design(), 9);

    assert_eq!(first.paid_by_second, second.paid_by_second);
    assert_eq!(first.wasted_share.to_bits(), second.wasted_share.to_bits());
}

/// Every scenario in both deployments, with all mechanisms and with none, keeps the invariants
/// that the bench asserts: one answer each, slots, refused work not run, a third ejected at most.
#[test]
fn invariants_hold_in_every_scenario() {
    for deployment in [Deployment::delta_basin(), Deployment::cedarline()] {
        for scenario in Scenario::ALL {
            let low_load = deployment.clone().with_load(0.3);
            let _ = Bench::new(low_load.clone(), scenario, Mechanisms::design(), 3).run();
            let _ = Bench::new(low_load, scenario, Mechanisms::baseline(), 3).run();
        }
    }
}
