//! Where a sidecar stands and whom it serves.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::{HostId, ServiceId};
use amaranthscale_core::process::FairQueueLimits;
use amaranthscale_core::request::LedgerLimits;

use super::{OrderSettings, SidecarLimits};
use crate::process::settings::SidecarSettings;

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
    /// Orders to the engine; none if the backend server takes none.
    pub orders: Option<OrderSettings>,
    /// Bounds.
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
        drain_bound: Duration::from_millis(settings.drain_ms),
        ..SidecarLimits::default()
    }
}
