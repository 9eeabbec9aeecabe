//! A backend server stand-in with its sidecar.

use std::net::SocketAddr;

use amaranthscale::sidecar::{SidecarConfig, SidecarLimits, SidecarWithTree};
use amaranthscale::version::TreeSyncSettings;
use amaranthscale_core::id::{HostId, ServiceId};
use amaranthscale_core::process::FairQueueLimits;

use super::{BackendKind, BackendPlan, DeploymentError};
use crate::engine::{Engine, EngineSettings};
use crate::http::RunningStandin;
use crate::service::{Service, ServiceSettings};

/// Queue capacity per slot of a backend server.
const QUEUE_PER_SLOT: usize = 64;

/// A backend server stand-in with its sidecar.
#[derive(Debug)]
pub struct RunningBackend {
    host: HostId,
    service: ServiceId,
    backend: RunningStandin,
    sidecar: SidecarWithTree,
}

impl RunningBackend {
    /// Starts one backend server of a plan, and a sidecar in front of it.
    pub async fn start(
        plan: &BackendPlan,
        number: u32,
        platform: SocketAddr,
    ) -> Result<Self, DeploymentError> {
        let host: HostId = format!("{}-{number}", plan.service).parse()?;
        let backend = start_backend(&plan.kind).await?;
        let config = SidecarConfig {
            host: host.clone(),
            service: plan.service.clone(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            backend: backend.address(),
            platform,
            statsd: None,
            orders: None,
            limits: SidecarLimits {
                queue: FairQueueLimits {
                    slots: plan.slots,
                    capacity: QUEUE_PER_SLOT * usize::try_from(plan.slots).unwrap_or(1),
                    paid_reserve_slots: plan.slots / 4,
                },
                ..SidecarLimits::default()
            },
        };
        let sidecar = SidecarWithTree::start(config, TreeSyncSettings::default()).await?;
        Ok(Self {
            host,
            service: plan.service.clone(),
            backend,
            sidecar,
        })
    }

    /// Host of the backend server.
    #[must_use]
    pub const fn host(&self) -> &HostId {
        &self.host
    }

    /// Service of the backend server.
    #[must_use]
    pub const fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Address of the backend server, to read its records and set its faults.
    #[must_use]
    pub fn backend_address(&self) -> SocketAddr {
        self.backend.address()
    }

    /// Address of the sidecar.
    #[must_use]
    pub const fn sidecar_address(&self) -> SocketAddr {
        self.sidecar.sidecar().address()
    }

    /// The sidecar.
    #[must_use]
    pub const fn sidecar(&self) -> &SidecarWithTree {
        &self.sidecar
    }

    /// Stops the sidecar gracefully, then the backend server; whether the sidecar drained in time.
    pub async fn stop(self) -> bool {
        let is_drained = self.sidecar.stop().await;
        self.backend.stop().await;
        is_drained
    }
}

async fn start_backend(kind: &BackendKind) -> Result<RunningStandin, DeploymentError> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let running = match kind {
        BackendKind::Engine(settings) => {
            Engine::start(EngineSettings {
                listen: any,
                ..*settings
            })
            .await?
        }
        BackendKind::Service(settings) => {
            Service::start(ServiceSettings {
                listen: any,
                ..settings.clone()
            })
            .await?
        }
    };
    Ok(running)
}
