//! Settings of a relay.

use std::net::{Ipv4Addr, SocketAddr};

/// Settings of a relay.
#[derive(Debug, Clone, Copy)]
pub struct RelaySettings {
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Address to connect to.
    pub to: SocketAddr,
    /// Address at which faults are set.
    pub admin: SocketAddr,
}

impl RelaySettings {
    /// A relay to an address, on any free loopback ports.
    #[must_use]
    pub fn to(address: SocketAddr) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: any_port,
            to: address,
            admin: any_port,
        }
    }
}
