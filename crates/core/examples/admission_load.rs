//! Compares admission by forecast with admission without it, at several loads.
//!
//! `cargo run --release -p amaranthscale-core --example admission_load -- 7 8 9` with seeds. The
//! figures of a load are sums over the seeds.
#![expect(
    clippy::unwrap_used,
    clippy::print_stdout,
    reason = "a tool for developers that prints its table"
)]

#[path = "../tests/batcher/load_simulation.rs"]
#[expect(unreachable_pub, reason = "shared with the tests")]
mod load_simulation;

use load_simulation::{Deployment, FOUR_SERVICES, Figures, Scenario, THREE_SERVICES};

/// A load, and the load during bursts.
const LOADS: [(f64, Option<f64>); 7] = [
    (0.6, None),
    (0.9, None),
    (1.0, None),
    (1.2, None),
    (2.0, None),
    (0.7, Some(1.8)),
    (0.95, Some(1.3)),
];

fn percent(part: usize, whole: usize) -> String {
    let number = |count: usize| f64::from(u32::try_from(count).unwrap());
    format!("{:.1}%", number(part) * 100.0 / number(whole).max(1.0))
}

fn print(name: &str, deployment: &Deployment, figures: &Figures) {
    for (route, figures) in deployment.routes.iter().zip(&figures.routes) {
        println!(
            "{name:<38} {:<13} {:>4} {:>6} {:>7} {:>5} {:>8} {:>7} {:>9} {:>7} {:>9.1}",
            route.name,
            route.rank,
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
        "{name:<38} {:<13} {:>4} {:>6} {:>7} {:>5} {:>8} {:>7} {:>9} {:>7} {:>9.1}  value {:.0}, servers {:.0} s, storage full {}, refusals {} ms median, {} ms p90",
        "all",
        "",
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
        figures.refusal_time(50).as_millis(),
        figures.refusal_time(90).as_millis(),
    );
}

fn main() {
    let seeds: Vec<u64> = std::env::args()
        .skip(1)
        .map(|seed| seed.parse().expect("seeds, such as 7"))
        .collect();
    println!(
        "{:<38} {:<13} {:>4} {:>6} {:>7} {:>5} {:>8} {:>7} {:>9} {:>7} {:>9}",
        "run",
        "route",
        "rank",
        "asked",
        "in time",
        "late",
        "refused",
        "100 ms",
        "displaced",
        "failed",
        "wasted s"
    );
    for deployment in [&FOUR_SERVICES, &THREE_SERVICES] {
        for (load, burst) in LOADS {
            for lost in [0.0, 0.5] {
                if lost > 0.0 && (load, burst) != (0.9, None) {
                    continue;
                }
                let mut least_urgent = Vec::new();
                for has_forecast in [false, true] {
                    let scenario = burst.map_or(Scenario::at(load, has_forecast), |burst| {
                        Scenario::with_bursts(load, burst, has_forecast)
                    });
                    let mut sum = Figures::new(deployment);
                    for seed in &seeds {
                        let scenario = Scenario {
                            deployment,
                            seed: *seed,
                            lost_servers: lost,
                            ..scenario
                        };
                        sum.add(scenario.run());
                    }
                    let burst = burst.map_or(String::new(), |burst| format!(" to {burst}"));
                    let lost = if lost > 0.0 { " loss" } else { "" };
                    let forecast = if has_forecast { "forecast" } else { "" };
                    let name = format!("{}, {load}{burst}{lost} {forecast}", deployment.name);
                    print(&name, deployment, &sum);
                    least_urgent.push(sum.least_urgent().served());
                }
                println!(
                    "{:<38} least urgent served: {}",
                    deployment.name,
                    percent(least_urgent[1], least_urgent[0])
                );
            }
        }
    }
}
