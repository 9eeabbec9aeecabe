//! Settings of the stand-in of a plain service.

use std::net::{Ipv4Addr, SocketAddr};

use crate::backend::Death;

/// Time that a call takes unless told otherwise.
const DEFAULT_SERVICE_MS: u64 = 5;

/// Settings of the stand-in of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Name that its answers show.
    pub name: String,
    /// Time that a call takes, in milliseconds.
    pub service_ms: u64,
    /// What it does when told to die.
    pub death: Death,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            name: "service".to_owned(),
            service_ms: DEFAULT_SERVICE_MS,
            death: Death::default(),
        }
    }
}
