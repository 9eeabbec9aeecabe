//! A whole deployment in one process: stand-ins, sidecars and entries on loopback ports.
//!
//! Entries and sidecars are the real daemons, embedded; only the platform and the backend servers
//! are stand-ins. The quickstart, tests and measurements are built on this module.

mod backend_plan;
mod deployment_error;
mod deployment_plan;
mod running_backend;

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale::entry::{Entry, EntryConfig};
use amaranthscale_core::id::{HostId, RegionId, TreeVersion};
use amaranthscale_core::version::{KeyHash, TreeEdit};
use amaranthscale_core::wire::{HostRecord, HostState};
use serde_json::json;

#[doc(inline)]
pub use backend_plan::{BackendKind, BackendPlan};
#[doc(inline)]
pub use deployment_error::DeploymentError;
#[doc(inline)]
pub use deployment_plan::DeploymentPlan;
#[doc(inline)]
pub use running_backend::RunningBackend;

use crate::http::{HttpClient, RunningStandin};
use crate::platform::{Platform, PlatformSettings};

/// Operators' bearer key of an embedded deployment.
pub const OPERATOR_KEY: &str = "operator-demo-key";

/// Timeout for an entry to have the tree and the hosts.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks whether an entry is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of an entry's graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    platform: RunningStandin,
    backends: Vec<RunningBackend>,
    entries: Vec<Entry>,
    http: HttpClient,
}

impl Deployment {
    /// Starts, in this order, the platform, the backend servers with their sidecars and the
    /// entries, and imports the tree.
    pub async fn start(plan: DeploymentPlan) -> Result<Self, DeploymentError> {
        let platform = Platform::start(PlatformSettings::default()).await?;
        let http = HttpClient::new();
        let mut deployment = Self {
            platform,
            backends: Vec::new(),
            entries: Vec::new(),
            http,
        };
        deployment.start_backends(&plan).await?;
        deployment.start_entries(&plan).await?;
        deployment.import(&plan).await?;
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Address of the platform stand-in.
    #[must_use]
    pub fn platform(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Addresses of the entries for callers and operators.
    pub fn entries(&self) -> impl Iterator<Item = SocketAddr> {
        self.entries.iter().map(Entry::address)
    }

    /// The backend servers with their sidecars.
    #[must_use]
    pub fn backends(&self) -> &[RunningBackend] {
        &self.backends
    }

    /// Stops the entries, then each sidecar and its backend server, then the platform; whether all
    /// drained in time.
    pub async fn stop(self) -> bool {
        let mut is_drained = true;
        for entry in self.entries {
            is_drained &= entry.stop(STOP_TIMEOUT).await;
        }
        for backend in self.backends {
            is_drained &= backend.stop().await;
        }
        self.platform.stop().await;
        is_drained
    }

    async fn start_backends(&mut self, plan: &DeploymentPlan) -> Result<(), DeploymentError> {
        for backend in &plan.backends {
            for number in 0..backend.count {
                let zone = plan.zone(number);
                let started = RunningBackend::start(backend, number, self.platform()).await?;
                let record = HostRecord {
                    host: started.host().clone(),
                    address: started.sidecar_address(),
                    region: plan.region.clone(),
                    zone: zone.clone(),
                    service: Some(backend.service.clone()),
                    state: HostState::Live,
                };
                self.put_host(&record).await?;
                self.backends.push(started);
            }
        }
        Ok(())
    }

    async fn start_entries(&mut self, plan: &DeploymentPlan) -> Result<(), DeploymentError> {
        for number in 0..plan.entries {
            let host: HostId = format!("entry-{number}").parse()?;
            let zone = plan.zone(number).clone();
            let config = EntryConfig {
                operator_key: Some(KeyHash::of(OPERATOR_KEY)),
                host_poll_interval: plan.host_poll_interval,
                seed: plan.seed.wrapping_add(u64::from(number)),
                ..EntryConfig::new(host.clone(), zone.clone(), self.platform())
            };
            let entry = Entry::start(config).await?;
            let region: RegionId = plan.region.clone();
            let record = HostRecord {
                host,
                address: entry.peer_address(),
                region,
                zone,
                service: None,
                state: HostState::Live,
            };
            self.put_host(&record).await?;
            self.entries.push(entry);
        }
        Ok(())
    }

    async fn put_host(&self, record: &HostRecord) -> Result<(), DeploymentError> {
        let url = self.platform.url("/admin/hosts/put");
        let body = serde_json::to_vec(record)?;
        self.http.post(url, &[], body).await?.success()?;
        Ok(())
    }

    /// Imports the tree through the first entry, as an operator would.
    async fn import(&self, plan: &DeploymentPlan) -> Result<(), DeploymentError> {
        let Some(entry) = self.entries().next() else {
            return Ok(());
        };
        self.wait_for_tree(TreeVersion::default()).await?;
        let edit = TreeEdit::Import {
            tree: Box::new(plan.tree.clone()),
        };
        let body = json!({"expected_version": 0, "by": "deployment", "edit": edit});
        let url = format!("http://{entry}/v1/operator/edits");
        let bearer = format!("Bearer {OPERATOR_KEY}");
        let headers = [("authorization", bearer.as_str())];
        let reply = self
            .http
            .post(url, &headers, serde_json::to_vec(&body)?)
            .await?;
        if !reply.status.is_success() {
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            return Err(DeploymentError::TreeRefused(text));
        }
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), DeploymentError> {
        self.wait_for_tree(TreeVersion::new(1)).await?;
        let hosts = self.backends.len() + self.entries.len();
        for address in self.entries() {
            let url = format!("http://{address}/status");
            let polling = async {
                loop {
                    let status: serde_json::Value = self.http.get_json(&url).await?;
                    if status["decisions"]["hosts"].as_u64() == Some(hosts as u64) {
                        return Ok(());
                    }
                    tokio::time::sleep(READY_POLL_INTERVAL).await;
                }
            };
            let waited = tokio::time::timeout(READY_TIMEOUT, polling).await;
            waited.unwrap_or(Err(DeploymentError::NotReady))?;
        }
        Ok(())
    }

    async fn wait_for_tree(&self, version: TreeVersion) -> Result<(), DeploymentError> {
        let waiting = async {
            for entry in &self.entries {
                let mut in_force = entry.tree().in_force();
                entry.tree().clone().ready().await;
                // The entry owns the sender, so this cannot fail.
                let _ = in_force.wait_for(|tree| tree.version() >= version).await;
            }
        };
        let waited = tokio::time::timeout(READY_TIMEOUT, waiting).await;
        waited.map_err(|_elapsed| DeploymentError::NotReady)
    }
}
