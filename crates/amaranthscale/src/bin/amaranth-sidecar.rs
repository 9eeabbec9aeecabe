//! The daemon beside each backend server.

use std::error::Error;
use std::process::ExitCode;

use amaranthscale::process::settings::SidecarSettings;
use amaranthscale::process::{
    StopSignal, daemon_command, listen_override, print_listen_address, read_settings, start_logging,
};
use amaranthscale::sidecar::{SidecarConfig, SidecarWithTree};
use amaranthscale::version::TreeSyncSettings;
use log::{error, warn};
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    let about = "Stands before one backend server as the only door to it";
    let matches = daemon_command("amaranth-sidecar", about).get_matches();
    let parse = |name: &str, text: &str| SidecarSettings::parse(name, text);
    let settings = match read_settings(&matches, parse, SidecarSettings::print_settings) {
        Ok(settings) => settings,
        Err(exit_code) => return exit_code,
    };
    start_logging(settings.log_level);
    let mut config = SidecarConfig::from(&settings);
    if let Some(listen) = listen_override(&matches) {
        config.listen = listen;
    }
    match run(config, TreeSyncSettings::from(&settings.tree)) {
        Ok(exit_code) => exit_code,
        Err(error) => {
            error!("sidecar: {error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(config: SidecarConfig, tree: TreeSyncSettings) -> Result<ExitCode, Box<dyn Error>> {
    let mut stop = StopSignal::listen()?;
    let mut sidecar = SidecarWithTree::start(config, tree).await?;
    print_listen_address(sidecar.sidecar().address())?;
    tokio::select! {
        () = stop.next() => {}
        () = sidecar.failed() => return Err("the scheduler has stopped".into()),
    }
    let is_drained = tokio::select! {
        is_drained = sidecar.stop() => is_drained,
        () = stop.next() => {
            warn!("sidecar: second signal received, stopping at once");
            false
        }
    };
    Ok(if is_drained {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
