//! The command line that all daemons share.

use std::fmt::Display;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use log::LevelFilter;

/// Exit status for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// Builds a daemon's command line.
///
/// # Examples
///
/// ```
/// use amaranthscale::process::daemon_command;
///
/// let command = daemon_command("amaranth-entry", "Takes callers' requests");
/// let matches = command.try_get_matches_from(["amaranth-entry", "--print-settings"])?;
/// assert!(matches.get_flag("print-settings"));
/// # Ok::<(), clap::Error>(())
/// ```
#[must_use]
pub fn daemon_command(name: &'static str, about: &'static str) -> Command {
    let config = Arg::new("config")
        .long("config")
        .value_name("FILE")
        .help("Settings file in INI")
        .value_parser(value_parser!(PathBuf))
        .required_unless_present("print-settings");
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("ADDR")
        .help("Address to listen at, in place of the settings file's")
        .value_parser(value_parser!(SocketAddr));
    let check = Arg::new("check")
        .long("check")
        .help("Check the settings file and exit")
        .action(ArgAction::SetTrue);
    let print_settings = Arg::new("print-settings")
        .long("print-settings")
        .help("List all settings with their defaults and exit")
        .action(ArgAction::SetTrue);
    Command::new(name)
        .version(clap::crate_version!())
        .about(about)
        .args([config, listen, check, print_settings])
}

/// Reads the settings file that a command line names, or returns the exit status if the program is
/// to end without running.
pub fn read_settings<S, E: Display>(
    matches: &ArgMatches,
    parse: impl Fn(&str, &str) -> Result<S, E>,
    settings_list: impl Fn() -> String,
) -> Result<S, ExitCode> {
    if matches.get_flag("print-settings") {
        // The reader may close its end early.
        let _ = io::stdout().write_all(settings_list().as_bytes());
        return Err(ExitCode::SUCCESS);
    }
    let settings = read_file(matches, parse).map_err(|error| {
        let _ = writeln!(io::stderr(), "{error}");
        ExitCode::from(EXIT_SETTINGS)
    })?;
    if matches.get_flag("check") {
        return Err(ExitCode::SUCCESS);
    }
    Ok(settings)
}

/// The address that overrides the settings file's.
#[must_use]
pub fn listen_override(matches: &ArgMatches) -> Option<SocketAddr> {
    matches.get_one("listen").copied()
}

/// Starts logging at a level; the environment's `RUST_LOG` overrides it.
pub fn start_logging(level: LevelFilter) {
    env_logger::Builder::new()
        .filter_level(level)
        .parse_default_env()
        .init();
}

/// Prints the address that the daemon listens at, as one line on standard output.
pub fn print_listen_address(address: SocketAddr) -> io::Result<()> {
    print_line(format_args!("listening {address}"))
}

/// Prints the daemon's address for the system's other processes, as a second line.
pub fn print_peer_address(address: SocketAddr) -> io::Result<()> {
    print_line(format_args!("peers {address}"))
}

fn print_line(line: impl Display) -> io::Result<()> {
    let mut out = io::stdout();
    writeln!(out, "{line}")?;
    out.flush()
}

fn read_file<S, E: Display>(
    matches: &ArgMatches,
    parse: impl Fn(&str, &str) -> Result<S, E>,
) -> Result<S, String> {
    let file = matches
        .get_one::<PathBuf>("config")
        .ok_or("no settings file was given")?;
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
    parse(&name, &text).map_err(|error| error.to_string())
}
