//! The platform's table, object store and host list, as a program.

use std::process::ExitCode;

use amaranthscale_standins::command::{option, run, standin_command, value};
use amaranthscale_standins::platform::{Platform, PlatformSettings};
use clap::{ArgMatches, Command, value_parser};

fn main() -> ExitCode {
    let settings = settings(&command().get_matches());
    run(Platform::start(settings))
}

fn command() -> Command {
    standin_command(
        "standin-platform",
        "Stands in for the platform's table, objects and hosts",
    )
    .arg(option("reads-per-second", "N", value_parser!(u32)).help("Limit of reads"))
    .arg(option("writes-per-second", "N", value_parser!(u32)).help("Limit of writes"))
    .arg(option("host-list-lag-ms", "MS", value_parser!(u64)).help("Lag of the hosts"))
    .arg(option("latency-ms", "MS", value_parser!(u64)).help("Time of each call"))
}

fn settings(matches: &ArgMatches) -> PlatformSettings {
    let default = PlatformSettings::default();
    PlatformSettings {
        listen: value(matches, "listen").unwrap_or(default.listen),
        reads_per_second: value(matches, "reads-per-second").unwrap_or(default.reads_per_second),
        writes_per_second: value(matches, "writes-per-second").unwrap_or(default.writes_per_second),
        host_list_lag_ms: value(matches, "host-list-lag-ms").unwrap_or(default.host_list_lag_ms),
        latency_ms: value(matches, "latency-ms").unwrap_or(default.latency_ms),
    }
}
