//! Compares the choice of engines by affinity with the choice by measured speed.
//!
//! Time is simulated. Each line is one run: times to the first event at the 50th and 90th
//! percentile and the fraction beyond 1.2 s of the largest fifth of the large prompts, the times of
//! the other large prompts and of the small and medium ones, the shared tokens that were prefilled
//! although another engine held them, and the bytes that a gateway sends and gets a second.
//!
//! `cargo run --release -p amaranthscale-core --example engine_speed -- SEED...`
#![expect(
    clippy::unwrap_used,
    clippy::print_stdout,
    reason = "a tool for developers that prints its table"
)]

#[path = "../tests/engine_speed/prefix_cache.rs"]
mod prefix_cache;
#[path = "../tests/engine_speed/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::{Choice, Scenario, Simulation, late_fraction, percentile};

fn main() {
    let seeds: Vec<u64> = std::env::args()
        .skip(1)
        .map(|seed| seed.parse().unwrap())
        .collect();
    let seeds = if seeds.is_empty() { vec![1] } else { seeds };
    for seed in &seeds {
        for choice in [
            Choice::Affinity,
            Choice::Speed,
            Choice::SpeedWithoutExchange,
        ] {
            for (fast_engines, load) in [(12, 1.0), (12, 1.5), (0, 1.0)] {
                let scenario = Scenario {
                    choice,
                    seed: *seed,
                    fast_engines,
                    load,
                    ..Scenario::default()
                };
                print_run(scenario);
            }
        }
        slow_engine(*seed);
    }
}

fn print_run(scenario: Scenario) {
    let shown = format!(
        "{:?} seed {} fast {} load {}",
        scenario.choice, scenario.seed, scenario.fast_engines, scenario.load
    );
    let seconds = usize::try_from(scenario.duration.as_secs()).unwrap();
    let gateway_seconds = seconds * scenario.gateways;
    let outcome = Simulation::new(scenario).run();
    let ms = |times: &[Duration], percent| percentile(times, percent).as_millis();
    println!(
        "{shown:45} largest {:5} {:5} late {:.3}  large {:5} {:5}  others {:4} {:4} totals {:5} {:5}  again {}  \
        bytes/s {} {}",
        ms(&outcome.largest, 50),
        ms(&outcome.largest, 90),
        late_fraction(&outcome.largest, Duration::from_millis(1_200)),
        ms(&outcome.large, 50),
        ms(&outcome.large, 90),
        ms(&outcome.others, 50),
        ms(&outcome.others, 90),
        ms(&outcome.other_totals, 50),
        ms(&outcome.other_totals, 90),
        outcome.tokens_again,
        outcome.report_bytes / gateway_seconds,
        outcome.update_bytes / gateway_seconds,
    );
}

/// Prints how many subjects gateways would send to an engine that is slow for some seconds.
fn slow_engine(seed: u64) {
    let (from, until) = (Duration::from_secs(20), Duration::from_secs(28));
    let slow = 20;
    let mut simulation = Simulation::new(Scenario {
        seed,
        slowdown: Some((slow, 4.0, from, until)),
        ..Scenario::default()
    });
    simulation.run_until(from);
    let before = simulation.homes(0);
    for step in 0..24 {
        let at = from + Duration::from_millis(step * 500);
        simulation.run_until(at);
        println!(
            "{at:?} {:?} {:?}",
            simulation.subjects_at(slow),
            simulation.estimate(slow)
        );
    }
    let after = simulation.homes(0);
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b);
    println!(
        "{} of {} subjects have another home",
        moved.count(),
        before.len()
    );
}
