//! A relay that runs within this process.

use std::net::SocketAddr;

use crate::http::Running;

/// A relay that runs; dropping it stops it.
#[derive(Debug)]
pub struct RunningRelay {
    relay: Running,
    admin: Running,
}

impl RunningRelay {
    /// Address at which it relays.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Address at which faults are switched.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// URL of a path at the far end, through the relay.
    #[must_use]
    pub fn url(&self, path: impl AsRef<str>) -> String {
        self.relay.url(path)
    }

    /// URL of a path of the relay's own switches.
    #[must_use]
    pub fn admin_url(&self, path: impl AsRef<str>) -> String {
        self.admin.url(path)
    }

    /// Stops at once: cuts all connections and frees both ports.
    pub async fn stop(self) {
        self.relay.stop().await;
        self.admin.stop().await;
    }

    /// Waits until it has stopped, by whatever cause.
    pub async fn ended(&mut self) {
        self.relay.ended().await;
    }

    pub(crate) fn new(relay: Running, admin: Running) -> Self {
        Self { relay, admin }
    }
}
