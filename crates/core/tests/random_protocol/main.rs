//! Long random runs of the protocol over the real ledgers, conditional writes and claims.

mod entries;
mod sidecars;
mod table;
mod world;

use world::{Omission, Tally, run};

/// Schedules in a run of CI.
const SCHEDULES: u64 = 10_000;
const SCHEDULES_VARIABLE: &str = "AMARANTH_RANDOM_SCHEDULES";
/// Random steps before the faults end; a call takes some twenty.
const STEPS: usize = 150;
/// Schedules within which an omitted guard must show.
const SCHEDULES_TO_NOTICE: u64 = 2_000;

fn schedules() -> u64 {
    let wanted = std::env::var(SCHEDULES_VARIABLE).ok();
    wanted.map_or(SCHEDULES, |text| {
        text.parse().expect("the number of schedules is a number")
    })
}

fn add(total: &mut Tally, tally: &Tally) {
    total.runs += tally.runs;
    total.complete += tally.complete;
    total.not_run += tally.not_run;
    total.unknown += tally.unknown;
    total.restarts += tally.restarts;
}

/// The first seed whose run breaks in the expected way.
fn first_noticed(omission: Omission, expected: &str) -> Option<(u64, String)> {
    let broken = |seed| run(seed, STEPS, omission).err();
    let is_expected = |broken: &String| broken.contains(expected);
    (0..SCHEDULES_TO_NOTICE).find_map(|seed| Some((seed, broken(seed).filter(is_expected)?)))
}

#[test]
fn every_schedule_keeps_the_promises() {
    let mut total = Tally::default();
    let schedules = schedules();
    for seed in 0..schedules {
        match run(seed, STEPS, Omission::None) {
            Ok(tally) => add(&mut total, &tally),
            Err(broken) => panic!("seed {seed}: {broken}"),
        }
    }
    println!("{schedules} schedules of {STEPS} steps: {total:?}");
    assert!(total.runs > 0 && total.complete > 0 && total.not_run > 0 && total.unknown > 0);
}

#[test]
fn silence_taken_for_not_run_is_noticed() {
    // A caller is told "not run" and the notice goes out later. The entry hears nothing from the
    // sidecar, does not cancel, and the delayed dispatch then claims the row.
    let noticed = first_noticed(Omission::Cancel, "\"not run\" and ran");
    let (seed, broken) = noticed.expect("the omission shows");
    println!("without cancelling, seed {seed}: {broken}");
}

#[test]
fn silence_taken_for_a_won_claim_is_noticed() {
    // A grower is paid twice. The table is silent and the sidecar makes the call without knowing
    // whether its claim was the one that took effect.
    let noticed = first_noticed(Omission::ReadBack, "ran 2 times");
    let (seed, broken) = noticed.expect("the omission shows");
    println!("without reading back, seed {seed}: {broken}");
}
