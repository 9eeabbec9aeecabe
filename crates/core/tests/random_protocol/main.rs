//! Random runs of the at-most-once protocol with the real ledgers, conditional writes and claims.

mod entries;
mod sidecars;
mod simulation;
mod table;

use simulation::{Counts, Omission, run};

/// Number of schedules in CI.
const SCHEDULES: u64 = 10_000;
const SCHEDULES_VARIABLE: &str = "AMARANTH_RANDOM_SCHEDULES";
/// Random steps before the faults end; a call takes about twenty.
const STEPS: usize = 150;
/// Number of schedules within which an omitted guard must be detected.
const SCHEDULES_TO_DETECT: u64 = 2_000;

fn schedules() -> u64 {
    let wanted = std::env::var(SCHEDULES_VARIABLE).ok();
    wanted.map_or(SCHEDULES, |text| {
        text.parse().expect("the number of schedules is a number")
    })
}

fn add(total: &mut Counts, counts: &Counts) {
    total.runs += counts.runs;
    total.complete += counts.complete;
    total.not_run += counts.not_run;
    total.unknown += counts.unknown;
    total.restarts += counts.restarts;
}

/// The first seed whose run fails with the expected violation.
fn first_detected(omission: Omission, expected: &str) -> Option<(u64, String)> {
    let violation = |seed| run(seed, STEPS, omission).err();
    let is_expected = |violation: &String| violation.contains(expected);
    (0..SCHEDULES_TO_DETECT).find_map(|seed| Some((seed, violation(seed).filter(is_expected)?)))
}

#[test]
fn every_schedule_runs_each_call_at_most_once() {
    let mut total = Counts::default();
    let schedules = schedules();
    for seed in 0..schedules {
        match run(seed, STEPS, Omission::None) {
            Ok(counts) => add(&mut total, &counts),
            Err(violation) => panic!("seed {seed}: {violation}"),
        }
    }
    println!("{schedules} schedules of {STEPS} steps: {total:?}");
    assert!(total.runs > 0 && total.complete > 0 && total.not_run > 0 && total.unknown > 0);
}

#[test]
fn a_timeout_treated_as_not_run_is_detected() {
    // The entry gets no answer from the sidecar and does not cancel, and the delayed dispatch then
    // claims the row: a notice reported as "not run" is sent later.
    let detected = first_detected(Omission::Cancel, "\"not run\" and ran");
    let (seed, violation) = detected.expect("the omission is detected");
    println!("without cancelling, seed {seed}: {violation}");
}

#[test]
fn a_timeout_treated_as_a_won_claim_is_detected() {
    // The table does not reply, and the sidecar makes the call without knowing whether its claim
    // took effect: a grower is paid twice.
    let detected = first_detected(Omission::ReadBack, "ran 2 times");
    let (seed, violation) = detected.expect("the omission is detected");
    println!("without reading back, seed {seed}: {violation}");
}
