//! Measures the system's own overhead and throughput on an embedded deployment.

mod overhead;
mod throughput;

use clap::{Arg, ArgMatches, Command, value_parser};

/// Command line of the measurements.
#[must_use]
pub fn command() -> Command {
    let rounds = Arg::new("rounds")
        .long("rounds")
        .help("Times that the measurement is repeated")
        .value_parser(value_parser!(u32).range(1..))
        .default_value("5");
    let requests = Arg::new("requests")
        .long("requests")
        .help("Requests of each round")
        .value_parser(value_parser!(u32).range(1..))
        .default_value("2000");
    let concurrency = Arg::new("concurrency")
        .long("concurrency")
        .help("Requests open at once")
        .value_parser(value_parser!(u32).range(1..))
        .default_value("64");
    Command::new("measure")
        .about("Measures what entry and sidecar cost")
        .subcommand_required(true)
        .subcommand(
            Command::new("overhead")
                .about("Latency that entry and sidecar add to a call, against a direct one")
                .args([rounds.clone(), requests.clone()]),
        )
        .subcommand(
            Command::new("throughput")
                .about("Four-stage requests a second through one entry")
                .args([rounds, requests, concurrency]),
        )
}

/// Runs the requested measurement.
pub fn run(matches: &ArgMatches) -> Result<(), String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let measured = match matches.subcommand() {
        Some(("overhead", matches)) => runtime.block_on(overhead::measure(
            count(matches, "rounds"),
            count(matches, "requests"),
        )),
        Some(("throughput", matches)) => runtime.block_on(throughput::measure(
            count(matches, "rounds"),
            count(matches, "requests"),
            count(matches, "concurrency"),
        )),
        _ => return Err("no measurement was named".to_owned()),
    };
    measured.map_err(|error| error.to_string())
}

fn count(matches: &ArgMatches, name: &str) -> u32 {
    matches.get_one(name).copied().unwrap_or(1)
}
