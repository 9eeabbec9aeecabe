//! A quarantined request in a gateway's list.

use std::str::FromStr;

use amaranthscale_core::id::{RequestFingerprint, ServerIncarnation};
use serde::{Deserialize, Serialize};

/// A quarantined request, which is sent to no server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldBackRequest {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Servers that crashed while they ran it.
    pub servers: Vec<ServerIncarnation>,
}

impl FromStr for HeldBackRequest {
    type Err = String;

    /// Parses `FINGERPRINT SERVER,SERVER`.
    fn from_str(line: &str) -> Result<Self, String> {
        let (fingerprint, servers) = line.split_once(' ').unwrap_or((line, ""));
        let fingerprint = fingerprint.parse();
        let servers = servers.split(',').filter(|server| !server.is_empty());
        let servers: Result<_, _> = servers.map(str::parse).collect();
        Ok(Self {
            fingerprint: fingerprint.map_err(|error| format!("{error}"))?,
            servers: servers.map_err(|error| format!("{error}"))?,
        })
    }
}
