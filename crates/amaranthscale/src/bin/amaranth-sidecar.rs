//! The daemon beside each backend server.

use std::error::Error;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use amaranthscale::process::settings::SidecarSettings;
use amaranthscale::sidecar::{Sidecar, SidecarConfig, TreeSource};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use log::{error, info, warn};
use mimalloc::MiMalloc;
use tokio::signal::unix::{Signal, SignalKind, signal};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Exit status for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let matches = command().get_matches();
    if matches.get_flag("print-settings") {
        print!("{}", SidecarSettings::print_settings());
        return ExitCode::SUCCESS;
    }
    let settings = match settings(&matches) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("amaranth-sidecar: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    env_logger::Builder::new()
        .filter_level(settings.log_level)
        .parse_default_env()
        .init();
    match run(&settings) {
        Ok(exit_code) => exit_code,
        Err(error) => {
            error!("sidecar: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("amaranth-sidecar")
        .version(clap::crate_version!())
        .about("Stands before one backend server as the only door to it")
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .help("Settings file in INI")
                .value_parser(value_parser!(PathBuf))
                .required_unless_present("print-settings"),
        )
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDR")
                .help("Address to listen at, in place of the settings file's")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings file and exit")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("print-settings")
                .long("print-settings")
                .help("List all settings with their defaults and exit")
                .action(ArgAction::SetTrue),
        )
}

fn settings(matches: &ArgMatches) -> Result<SidecarSettings, Box<dyn Error>> {
    let file = matches
        .get_one::<PathBuf>("config")
        .ok_or("no settings file was given")?;
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
    let mut settings = SidecarSettings::parse(name, text)?;
    if let Some(listen) = matches.get_one::<SocketAddr>("listen") {
        settings.listen = *listen;
    }
    Ok(settings)
}

#[tokio::main]
async fn run(settings: &SidecarSettings) -> Result<ExitCode, Box<dyn Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let config = SidecarConfig::from(settings);
    let mut sidecar = Sidecar::start(config, TreeSource::default()).await?;
    writeln!(io::stdout(), "listening {}", sidecar.address())?;
    tokio::select! {
        _ = terminate.recv() => Ok(stop(sidecar, terminate).await),
        _ = tokio::signal::ctrl_c() => Ok(stop(sidecar, terminate).await),
        () = sidecar.failed() => Err("the gate has ended".into()),
    }
}

/// Drains until done, or until a second signal.
async fn stop(sidecar: Sidecar, mut terminate: Signal) -> ExitCode {
    info!("sidecar: draining");
    let is_clean = tokio::select! {
        is_clean = sidecar.stop() => is_clean,
        _ = terminate.recv() => {
            warn!("sidecar: stopped by a second signal");
            false
        }
    };
    if is_clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
