//! Load plans: accepted settings, and arrival times of the open-loop load.

use std::time::Duration;

use amaranthscale_standins::load::run::{Arrivals, LoadPlan};

const BASE_PLAN: &str = "[load]\nduration_ms = 100000\n[organisation a]\nclass = paid\nkey = k\n\
                   path = /v1/pipelines/p\nrate_per_s = 10\n";

#[test]
fn the_example_load_plans_are_valid() {
    // Arrange
    let examples = [
        include_str!("../../../examples/delta-basin/load.ini"),
        include_str!("../../../examples/cedarline/load.ini"),
    ];

    // Act
    let plans = examples.map(|text| LoadPlan::parse("load.ini", text).unwrap());

    // Assert
    assert!(plans.iter().all(|plan| plan.organisations.len() == 4));
}

#[test]
fn the_error_for_an_invalid_value_names_it_and_what_is_accepted() {
    // Arrange
    let text = BASE_PLAN.replace("rate_per_s = 10", "rate_per_s = -1");

    // Act
    let error = LoadPlan::parse("load.ini", text).unwrap_err();

    // Assert
    assert_eq!(
        error.to_string(),
        "load.ini: [organisation a] rate_per_s = \"-1\": give a number above 0"
    );
}

/// If a misspelt key were ignored, its default would apply and the run's figures would be taken
/// for those of another load.
#[test]
fn a_misspelt_key_is_rejected() {
    // Arrange
    let text = format!("{BASE_PLAN}burst_facto = 3\n");

    // Act
    let error = LoadPlan::parse("load.ini", text).unwrap_err();

    // Assert
    assert!(error.to_string().contains("burst_facto is unknown"));
}

#[test]
fn arrivals_follow_the_rate_and_the_bursts() {
    // Arrange
    let bursts = "burst_every_ms = 10000\nburst_ms = 2000\nburst_factor = 5\n";
    let plan = LoadPlan::parse("load.ini", format!("{BASE_PLAN}{bursts}")).unwrap();

    // Act
    let times: Vec<Duration> = Arrivals::of(&plan).map(|arrival| arrival.at).collect();
    let again: Vec<Duration> = Arrivals::of(&plan).map(|arrival| arrival.at).collect();

    // Assert: 20 s at 50/s and 80 s at 10/s; fixed seed, bounds of 5 standard deviations.
    let in_burst = |at: &&Duration| at.as_millis() % 10_000 < 2000;
    let burst_count = times.iter().filter(in_burst).count();
    assert!((840..1160).contains(&burst_count), "{burst_count}");
    let other_count = times.len() - burst_count;
    assert!((660..940).contains(&other_count), "{other_count}");
    assert!(times.is_sorted());
    assert_eq!(times, again);
}
