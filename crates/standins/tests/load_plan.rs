//! Plans of an open-loop load: what they accept, and when requests arrive.

use std::time::Duration;

use amaranthscale_standins::load::run::{Arrivals, LoadPlan};

const ONE: &str = "[load]\nduration_ms = 100000\n[organisation a]\nclass = paid\nkey = k\n\
                   path = /v1/pipelines/p\nrate_per_s = 10\n";

#[test]
fn the_examples_are_plans() {
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
fn a_bad_value_is_named_with_what_to_give() {
    // Arrange
    let text = ONE.replace("rate_per_s = 10", "rate_per_s = -1");

    // Act
    let error = LoadPlan::parse("load.ini", text).unwrap_err();

    // Assert
    assert_eq!(
        error.to_string(),
        "load.ini: [organisation a] rate_per_s = \"-1\": give a number above 0"
    );
}

/// An operator misspells a key, its default stays in force, and the figures of the run are taken
/// for those of another load.
#[test]
fn a_misspelt_key_is_refused() {
    // Arrange
    let text = format!("{ONE}burst_facto = 3\n");

    // Act
    let error = LoadPlan::parse("load.ini", text).unwrap_err();

    // Assert
    assert!(error.to_string().contains("burst_facto is unknown"));
}

#[test]
fn arrivals_keep_the_rate_and_rise_in_bursts() {
    // Arrange
    let bursts = "burst_every_ms = 10000\nburst_ms = 2000\nburst_factor = 5\n";
    let plan = LoadPlan::parse("load.ini", format!("{ONE}{bursts}")).unwrap();

    // Act
    let times: Vec<Duration> = Arrivals::of(&plan).map(|arrival| arrival.at).collect();
    let again: Vec<Duration> = Arrivals::of(&plan).map(|arrival| arrival.at).collect();

    // Assert: 20 s at 50/s and 80 s at 10/s; the seed is fixed, the bounds are 5 deviations.
    let in_burst = |at: &&Duration| at.as_millis() % 10_000 < 2000;
    let burst_count = times.iter().filter(in_burst).count();
    assert!((840..1160).contains(&burst_count), "{burst_count}");
    let other_count = times.len() - burst_count;
    assert!((660..940).contains(&other_count), "{other_count}");
    assert!(times.is_sorted());
    assert_eq!(times, again);
}
