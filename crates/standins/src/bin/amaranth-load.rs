//! The load tool: measures the policy on a virtual clock, and the daemons in real time.

use std::process::ExitCode;

use amaranthscale_standins::load::{capacity, measure, run};
use amaranthscale_standins::policy;
use clap::Command;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    env_logger::init();
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("policy", policy_matches)) => policy::run(policy_matches),
        Some(("capacity", capacity_matches)) => capacity::run(capacity_matches),
        Some(("run", run_matches)) => run::run(run_matches),
        Some(("measure", measure_matches)) => measure::run(measure_matches),
        _ => Err("no subcommand was given".to_owned()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            log::error!("load: {message}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("amaranth-load")
        .about("Puts load on the system and measures what comes of it")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(policy::command())
        .subcommand(run::command())
        .subcommand(measure::command())
        .subcommand(capacity::command())
}
