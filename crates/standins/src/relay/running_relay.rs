//! A relay within this process.

use std::net::SocketAddr;

use crate::http::RunningStandin;

/// A running relay; dropping it stops it.
#[derive(Debug)]
pub struct RunningRelay {
    relay: RunningStandin,
    admin: RunningStandin,
}

impl RunningRelay {
    /// Address at which it relays.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Address at which faults are set.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// URL of a path at the destination, through the relay.
    #[must_use]
    pub fn url(&self, path: impl AsRef<str>) -> String {
        self.relay.url(path)
    }

    /// URL of a path of the relay's own interface.
    #[must_use]
    pub fn admin_url(&self, path: impl AsRef<str>) -> String {
        self.admin.url(path)
    }

    /// Stops at once: closes all connections and frees both ports.
    pub async fn stop(self) {
        self.relay.stop().await;
        self.admin.stop().await;
    }

    /// Waits until it has stopped, for any reason.
    pub async fn wait_until_stopped(&mut self) {
        self.relay.wait_until_stopped().await;
    }

    pub(crate) fn new(relay: RunningStandin, admin: RunningStandin) -> Self {
        Self { relay, admin }
    }
}
