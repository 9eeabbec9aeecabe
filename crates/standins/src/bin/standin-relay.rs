//! A relay of TCP connections, as a program.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use amaranthscale_standins::command::{
    option, print_ready, run_until_terminated, standin_command, value,
};
use amaranthscale_standins::relay::{Relay, RelaySettings};
use clap::{ArgMatches, Command, value_parser};

fn main() -> ExitCode {
    let settings = settings(&command().get_matches());
    run_until_terminated(relay(settings))
}

fn command() -> Command {
    let to = option("to", "ADDRESS", value_parser!(SocketAddr)).required(true);
    let admin = option("admin", "ADDRESS", value_parser!(SocketAddr));
    standin_command(
        "standin-relay",
        "Relays TCP connections, and can cut or silence them",
    )
    .arg(to.help("Address to connect to"))
    .arg(admin.help("Address at which faults are switched; any free port by default"))
}

fn settings(matches: &ArgMatches) -> RelaySettings {
    // The option is required, so a value is always there.
    let to = value(matches, "to").expect("--to is required");
    let default = RelaySettings::to(to);
    RelaySettings {
        listen: value(matches, "listen").unwrap_or(default.listen),
        admin: value(matches, "admin").unwrap_or(default.admin),
        ..default
    }
}

async fn relay(settings: RelaySettings) -> io::Result<()> {
    let mut relay = Relay::start(settings).await?;
    print_ready(format!("listening {}", relay.address()))?;
    print_ready(format!("admin {}", relay.admin_address()))?;
    relay.wait_until_stopped().await;
    Ok(())
}
