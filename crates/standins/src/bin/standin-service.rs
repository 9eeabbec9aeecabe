//! A plain service, as a program.

use std::process::ExitCode;

use amaranthscale_standins::backend::CrashMode;
use amaranthscale_standins::command::{option, run, standin_command, value};
use amaranthscale_standins::service::{Service, ServiceSettings};
use clap::{ArgMatches, Command, value_parser};

fn main() -> ExitCode {
    let settings = settings(&command().get_matches());
    run(Service::start(settings))
}

fn command() -> Command {
    standin_command("standin-service", "Stands in for a plain service")
        .arg(option("name", "NAME", value_parser!(String)).help("Name that answers show"))
        .arg(option("service-ms", "MS", value_parser!(u64)).help("Time of each call"))
}

fn settings(matches: &ArgMatches) -> ServiceSettings {
    let default = ServiceSettings::default();
    ServiceSettings {
        listen: value(matches, "listen").unwrap_or(default.listen),
        name: value(matches, "name").unwrap_or(default.name),
        service_ms: value(matches, "service-ms").unwrap_or(default.service_ms),
        crash_mode: CrashMode::ExitProcess,
    }
}
