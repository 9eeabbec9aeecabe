//! Options, ready line and shutdown that the stand-in programs share.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::builder::ValueParser;
use clap::{Arg, ArgMatches, Command, value_parser};
use tokio::signal::unix::{SignalKind, signal};

use crate::http::RunningStandin;

/// Default listening address: any free loopback port.
const DEFAULT_LISTEN: &str = "127.0.0.1:0";

/// A command with the `--listen` option.
#[must_use]
pub fn standin_command(name: &'static str, about: &'static str) -> Command {
    let listen = option("listen", "ADDRESS", value_parser!(SocketAddr))
        .default_value(DEFAULT_LISTEN)
        .help("Address to listen at; port 0 takes any free one");
    Command::new(name).about(about).arg(listen)
}

/// An option with a value of its own type.
#[must_use]
pub fn option(name: &'static str, value_name: &'static str, parser: impl Into<ValueParser>) -> Arg {
    let arg = Arg::new(name).long(name).value_name(value_name);
    arg.value_parser(parser)
}

/// The value of an option, if it was given or has a default.
#[must_use]
pub fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}

/// Runs a stand-in as a program: prints its address, then serves until it stops or SIGTERM.
#[must_use]
pub fn run(start: impl Future<Output = io::Result<RunningStandin>>) -> ExitCode {
    run_until_terminated(serve(start))
}

/// Runs a program's main task until it ends, or SIGTERM or an interrupt arrives.
#[must_use]
pub fn run_until_terminated(main: impl Future<Output = io::Result<()>>) -> ExitCode {
    env_logger::init();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return failure(&error),
    };
    match runtime.block_on(until_terminated(main)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failure(&error),
    }
}

/// Prints a ready line and flushes it, so that a reader of a pipe gets it at once.
pub fn print_ready(line: impl AsRef<str>) -> io::Result<()> {
    let mut stdout = io::stdout();
    writeln!(stdout, "{}", line.as_ref())?;
    stdout.flush()
}

async fn serve(start: impl Future<Output = io::Result<RunningStandin>>) -> io::Result<()> {
    let mut running = start.await?;
    print_ready(format!("listening {}", running.address()))?;
    running.wait_until_stopped().await;
    Ok(())
}

async fn until_terminated(main: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        ended = main => ended,
        _ = terminate.recv() => Ok(()),
        interrupted = tokio::signal::ctrl_c() => interrupted,
    }
}

fn failure(error: &io::Error) -> ExitCode {
    log::error!("command: {error}");
    eprintln!("error: {error}");
    ExitCode::FAILURE
}
