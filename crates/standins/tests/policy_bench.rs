//! Scenarios of the policy bench, with fixed seeds and a virtual clock.

use amaranthscale_standins::policy::{Bench, Deployment, Figures, Mechanism, Mechanisms, Scenario};

/// Seconds of arrivals before counting starts; the series by second begin there.
const WARM_UP_S: usize = 5;
/// When the cause of the retry storm has ended and the requests then in flight are done.
const AFTER_STORM_S: usize = 50;

fn run(scenario: Scenario, mechanisms: Mechanisms, seed: u64) -> Figures {
    Bench::new(Deployment::delta_basin(), scenario, mechanisms, seed).run()
}

fn after_storm(figures: &Figures) -> &[f64] {
    &figures.paid_by_second[AFTER_STORM_S - WARM_UP_S..]
}

fn lowest(shares: &[f64]) -> f64 {
    shares.iter().copied().fold(1.0, f64::min)
}

fn highest(shares: &[f64]) -> f64 {
    shares.iter().copied().fold(0.0, f64::max)
}

/// Generation is eight times as slow for ten seconds, and callers retry failed requests up to five
/// times. With unlimited retries the system is still overloaded half a minute after the cause has
/// ended, busy with abandoned requests. With the design it recovers and stays up.
#[test]
fn a_retry_storm_ends_with_its_cause() {
    for seed in 1..=3 {
        let design = run(Scenario::RetryStorm, Mechanisms::design(), seed);

        let lowest = lowest(after_storm(&design));
        assert!(lowest >= 0.99, "seed {seed}: {lowest}");
    }
}

/// The same scenario with the baseline: the overload outlives its cause. Shows that the scenario
/// causes a storm, and that the test above would detect one.
#[test]
fn a_retry_storm_outlives_its_cause_in_the_baseline() {
    let baseline = run(Scenario::RetryStorm, Mechanisms::baseline(), 1);

    let highest = highest(after_storm(&baseline));
    assert!(highest < 0.5, "{highest}");
}

/// The same scenario with only cancellation disabled: engines continue abandoned requests, and the
/// overload outlives its cause.
#[test]
fn a_retry_storm_outlives_its_cause_without_cancellation() {
    let mechanisms = Mechanisms::design().without(Mechanism::Cancel);

    let figures = run(Scenario::RetryStorm, mechanisms, 1);

    let highest = highest(after_storm(&figures));
    assert!(highest < 0.5, "{highest}");
}

/// Trial traffic rises tenfold, to more than twice the capacity of generation. Paid requests keep
/// their attainment, and trials get the remaining capacity.
#[test]
fn paid_requests_keep_their_attainment_in_a_trial_surge() {
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

/// A generation server freezes for eight seconds and resumes. With its old measurements it would
/// refuse all work, look idle, and so attract more; requests would fail after the fault has ended.
#[test]
fn a_resumed_server_does_not_refuse_all_work() {
    for seed in [2, 4, 5] {
        let figures = run(Scenario::ServerFreezes, Mechanisms::design(), seed);

        assert!(
            figures.worst_second >= 0.95,
            "seed {seed}: {}",
            figures.worst_second
        );
    }
}

/// The platform's table is unavailable for 25 seconds. Calls that must not be repeated are refused
/// and none of them ran; all other calls are unaffected.
#[test]
fn a_table_outage_refuses_only_calls_that_must_not_be_repeated() {
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

/// A run depends on its seed alone, so that a failure can be reproduced.
#[test]
fn the_same_seed_gives_the_same_run() {
    let first = run(Scenario::Straggler, Mechanisms::design(), 9);
    let second = run(Scenario::Straggler, Mechanisms::design(), 9);

    assert_eq!(first.paid_by_second, second.paid_by_second);
    assert_eq!(first.wasted_share.to_bits(), second.wasted_share.to_bits());
}

/// Every scenario in both deployments, with all mechanisms and with none, keeps the invariants
/// that the bench asserts: one answer per request, no server above its slots, refused requests not
/// run, at most a third of the servers ejected.
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
