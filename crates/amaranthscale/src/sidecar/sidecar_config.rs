//! Where a sidecar stands and whom it serves.

use std::net::SocketAddr;

use amaranthscale_core::id::{HostId, ServiceId};

use super::SidecarLimits;

/// Where a sidecar stands and whom it serves.
#[derive(Debug, Clone)]
pub struct SidecarConfig {
    /// Host of the sidecar.
    pub host: HostId,
    /// Service of the backend server beside it.
    pub service: ServiceId,
    /// Address to listen at; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address for metrics, if they are sent.
    pub statsd: Option<SocketAddr>,
    /// Bounds.
    pub limits: SidecarLimits,
}
