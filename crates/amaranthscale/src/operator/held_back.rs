//! What is quarantined, in a gateway's list.

use std::str::FromStr;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::Suspect;
use serde::{Deserialize, Serialize};

/// A quarantined request or prompt part, which is sent to no server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldBack {
    /// Fingerprint of the request, or the prompt part.
    pub suspect: Suspect,
    /// Servers that crashed while they ran it.
    pub servers: Vec<ServerIncarnation>,
}

impl FromStr for HeldBack {
    type Err = String;

    /// Parses `SUSPECT SERVER,SERVER`.
    fn from_str(line: &str) -> Result<Self, String> {
        let (suspect, servers) = line.split_once(' ').unwrap_or((line, ""));
        let servers = servers.split(',').filter(|server| !server.is_empty());
        let servers: Result<_, _> = servers.map(str::parse).collect();
        Ok(Self {
            suspect: suspect.parse()?,
            servers: servers.map_err(|error| format!("{error}"))?,
        })
    }
}
