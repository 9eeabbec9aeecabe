//! Compares admission by forecast with admission without it, at several loads.
//!
//! `cargo run --release -p amaranthscale-core --example admission_load -- 7 8 9` with seeds.
#![expect(
    clippy::unwrap_used,
    clippy::print_stdout,
    reason = "a tool for developers that prints its table"
)]

#[path = "../tests/batcher/load_simulation.rs"]
#[expect(unreachable_pub, reason = "shared with the tests")]
mod load_simulation;

use load_simulation::{Figures, ROUTES, Scenario};

const LOADS: [f64; 4] = [0.6, 0.9, 1.2, 2.0];

fn percent(part: usize, whole: usize) -> String {
    let number = |count: usize| f64::from(u32::try_from(count).unwrap());
    format!("{:.1}%", number(part) * 100.0 / number(whole).max(1.0))
}

fn print(name: &str, figures: &Figures) {
    for (route, figures) in ROUTES.iter().zip(&figures.routes) {
        println!(
            "{name:<26} {:<13} {:>6} {:>7} {:>5} {:>8} {:>7} {:>9} {:>7} {:>9.1}",
            route.name,
            figures.requests,
            figures.in_time,
            figures.late,
            figures.refused,
            percent(figures.refused_early, figures.refused),
            figures.displaced,
            percent(figures.failed, figures.admitted),
            figures.wasted.as_secs_f64(),
        );
    }
    println!(
        "{name:<26} {:<13} {:>6} {:>7} {:>5} {:>8} {:>7} {:>9} {:>7} {:>9.1}  value {:.0}, servers {:.0} s, storage full {}",
        "all",
        figures.total(|route| route.requests),
        figures.total(|route| route.in_time),
        figures.total(|route| route.late),
        figures.total(|route| route.refused),
        percent(
            figures.total(|route| route.refused_early),
            figures.total(|route| route.refused)
        ),
        figures.total(|route| route.displaced),
        percent(
            figures.total(|route| route.failed),
            figures.total(|route| route.admitted)
        ),
        figures.wasted().as_secs_f64(),
        figures.value(),
        figures.busy.as_secs_f64(),
        figures.storage_full,
    );
}

fn main() {
    let seeds: Vec<u64> = std::env::args()
        .skip(1)
        .map(|seed| seed.parse().expect("seeds, such as 7"))
        .collect();
    println!(
        "{:<26} {:<13} {:>6} {:>7} {:>5} {:>8} {:>7} {:>9} {:>7} {:>9}",
        "run",
        "route",
        "asked",
        "in time",
        "late",
        "refused",
        "100 ms",
        "displaced",
        "failed",
        "wasted s"
    );
    for seed in seeds {
        for (load, lost) in LOADS
            .map(|load| (load, 0.0))
            .into_iter()
            .chain([(0.9, 0.5)])
        {
            for has_forecast in [false, true] {
                let scenario = Scenario {
                    seed,
                    lost_servers: lost,
                    ..Scenario::at(load, has_forecast)
                };
                let name = format!("{load} lost {lost} {seed} {has_forecast}");
                print(&name, &scenario.run());
            }
        }
    }
}
