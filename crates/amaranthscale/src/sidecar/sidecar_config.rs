//! Configuration of a sidecar.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::{HostId, ServiceId};
use amaranthscale_core::process::FairQueueLimits;
use amaranthscale_core::request::LedgerLimits;

use super::{OrderSettings, SidecarLimits};
use crate::process::settings::SidecarSettings;

/// Configuration of a sidecar.
#[derive(Debug, Clone)]
pub struct SidecarConfig {
    /// Host of the sidecar.
    pub host: HostId,
    /// Service of its backend server.
    pub service: ServiceId,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address that metrics are sent to, if any.
    pub statsd: Option<SocketAddr>,
    /// Settings of orders to the engine; none if the backend server accepts no orders.
    pub orders: Option<OrderSettings>,
    /// Limits and timeouts.
    pub limits: SidecarLimits,
}

impl From<&SidecarSettings> for SidecarConfig {
    fn from(settings: &SidecarSettings) -> Self {
        Self {
            host: settings.host.clone(),
            service: settings.service.clone(),
            listen: settings.listen,
            backend: settings.backend,
            platform: settings.platform,
            statsd: settings.statsd,
            orders: orders(settings),
            limits: limits(settings),
        }
    }
}

fn orders(settings: &SidecarSettings) -> Option<OrderSettings> {
    let engine = settings.engine;
    engine.has_orders.then(|| OrderSettings {
        honours_fence: engine.honours_fence,
        ..OrderSettings::default()
    })
}

fn limits(settings: &SidecarSettings) -> SidecarLimits {
    SidecarLimits {
        queue: FairQueueLimits {
            slots: settings.queue.slots,
            capacity: settings.queue.capacity,
            paid_reserve_slots: settings.queue.paid_reserve_slots,
        },
        ledger: LedgerLimits {
            max_entries: settings.ledger.max_entries,
            keep_finished: Duration::from_millis(settings.ledger.keep_finished_ms),
            ..LedgerLimits::default()
        },
        drain_timeout: Duration::from_millis(settings.drain_ms),
        ..SidecarLimits::default()
    }
}
