//! Measures how the cost of control grows with the size of a deployment.
//!
//! Entries and sidecars run as separate processes, so that memory and processor time can be
//! measured by role; the platform and the backend servers are stand-ins in this process. Each sweep
//! varies one size while the others are fixed, and prints one line of JSON for each point.

mod capacity_error;
mod capacity_tree;
mod daemon_process;
mod fleet;
mod fleet_size;
mod limits;
mod probes;
mod process_usage;
mod role_window;
mod spread;
mod sweep;

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};

use fleet_size::FleetSize;
use sweep::Sweep;

/// Command line of the sweeps.
#[must_use]
pub fn command() -> Command {
    let sweep = Arg::new("sweep")
        .value_name("SWEEP")
        .help("What to change from point to point")
        .value_parser(Sweep::NAMES)
        .required(true);
    let points = Arg::new("points")
        .long("points")
        .value_name("N,N,...")
        .help("Sizes to measure, in place of the sweep's own")
        .value_delimiter(',')
        .value_parser(value_parser!(u32));
    let binaries = Arg::new("binaries")
        .long("binaries")
        .value_name("DIRECTORY")
        .help("Where amaranth-entry and amaranth-sidecar are; else beside this program")
        .value_parser(value_parser!(PathBuf));
    Command::new("capacity")
        .about("Measures how the cost of control grows with the deployment")
        .args([sweep, points, binaries])
        .args(size_arguments())
}

/// Runs the requested sweep.
pub fn run(matches: &ArgMatches) -> Result<(), String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let sweep = Sweep::of(
        matches
            .get_one::<String>("sweep")
            .map_or("", String::as_str),
    );
    let points: Option<Vec<u32>> = matches
        .get_many::<u32>("points")
        .map(|points| points.copied().collect());
    let binaries = matches.get_one::<PathBuf>("binaries").cloned();
    let measuring = sweep.run(size(matches), points, binaries);
    // The processes of a deployment are ended when it is dropped, so an interrupt must return here.
    runtime.block_on(async {
        tokio::select! {
            measured = measuring => measured.map_err(|error| error.to_string()),
            _ = tokio::signal::ctrl_c() => Err("interrupted".to_owned()),
        }
    })
}

fn size_arguments() -> [Arg; 6] {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .help(help)
            .value_parser(value_parser!(u32))
            .default_value(default)
    };
    [
        number("sidecars", "20", "Sidecars, where the sweep does not say"),
        number("entries", "2", "Entries, where the sweep does not say"),
        number(
            "organisations",
            "5",
            "Organisations, where the sweep does not say",
        ),
        number(
            "exchange-ms",
            "2000",
            "Time between two comparisons of the tree",
        ),
        number("windows", "3", "Windows of measurement at each point"),
        number("window-ms", "5000", "Length of each window"),
    ]
}

fn size(matches: &ArgMatches) -> FleetSize {
    let number = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or(1);
    FleetSize {
        sidecars: number("sidecars"),
        entries: number("entries").max(1),
        organisations: number("organisations"),
        exchange_ms: number("exchange-ms"),
        windows: number("windows").max(1),
        window_ms: number("window-ms"),
    }
}
