//! The commands `gateway …`.

use amaranthscale_core::id::ServerId;
use amaranthscale_core::process::Suspect;
use clap::ArgMatches;
use serde_json::json;

use super::arguments::{editor, required};
use super::program::{as_json, formatted, is_json};
use super::{CtlError, GatewayAddress, GatewayClient, gateway_render};

/// Runs a command of the group and returns the text to print.
pub(super) async fn run(name: &str, matches: &ArgMatches) -> Result<String, CtlError> {
    let gateway = matches.get_one::<GatewayAddress>("gateway").copied();
    let gateway = gateway.ok_or(CtlError::MissingOption("--gateway", "10.0.0.1:7101"))?;
    let client = GatewayClient::new(gateway);
    match name {
        "held-back" => {
            let requests = client.held_back().await?;
            Ok(formatted(matches, &requests, |requests| {
                gateway_render::held_back(requests)
            }))
        }
        "lift" => {
            let suspect: Suspect = required(matches, "id");
            Ok(confirmed(matches, &client.lift(&suspect).await?))
        }
        "drain" => {
            let server: ServerId = required(matches, "server");
            let text = client.drain(&server, &editor(matches)).await?;
            Ok(confirmed(matches, &text))
        }
        "undrain" => {
            let server: ServerId = required(matches, "server");
            let text = client.undrain(&server, &editor(matches)).await?;
            Ok(confirmed(matches, &text))
        }
        _ => {
            let servers = client.servers().await?;
            Ok(formatted(matches, &servers, gateway_render::servers))
        }
    }
}

/// The confirmation of a change.
fn confirmed(matches: &ArgMatches, text: &str) -> String {
    if is_json(matches) {
        as_json(&json!({ "text": text }))
    } else {
        format!("{text}\n")
    }
}
