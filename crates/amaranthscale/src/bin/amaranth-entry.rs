//! The daemon on each entry host.

use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

use amaranthscale::entry::{Entry, EntryConfig};
use amaranthscale::process::settings::EntrySettings;
use amaranthscale::process::{
    StopSignal, daemon_command, listen_override, print_listen_address, print_peer_address,
    read_settings, start_logging,
};
use log::{error, warn};
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Time added to the longest deadline while open requests end at a stop.
const DRAIN_MARGIN: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    let matches =
        daemon_command("amaranth-entry", "Takes requests from arrival to answer").get_matches();
    let parse = |name: &str, text: &str| EntrySettings::parse(name, text);
    let settings = match read_settings(&matches, parse, EntrySettings::print_settings) {
        Ok(settings) => settings,
        Err(exit_code) => return exit_code,
    };
    start_logging(settings.log_level);
    let mut config = EntryConfig::from(&settings);
    if let Some(listen) = listen_override(&matches) {
        config.listen = listen;
    }
    match run(config) {
        Ok(exit_code) => exit_code,
        Err(error) => {
            error!("entry: {error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(config: EntryConfig) -> Result<ExitCode, Box<dyn Error>> {
    let mut stop = StopSignal::listen()?;
    let drain_timeout = config.max_deadline + DRAIN_MARGIN;
    let entry = Entry::start(config).await?;
    print_listen_address(entry.address())?;
    print_peer_address(entry.peer_address())?;
    stop.next().await;
    let is_drained = tokio::select! {
        is_drained = entry.stop(drain_timeout) => is_drained,
        () = stop.next() => {
            warn!("entry: second signal received, stopping at once");
            false
        }
    };
    Ok(if is_drained {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
