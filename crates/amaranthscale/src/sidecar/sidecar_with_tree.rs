//! A sidecar together with the keeper of its settings tree.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::HostId;
use amaranthscale_core::wire::HostList;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::{Sidecar, SidecarConfig, SidecarError, TreeSource, counters, platform};
use crate::connection::{PeerClient, PeerClientLimits};
use crate::process::{ControlKind, ControlTraffic, poll_hosts};
use crate::version::{TreeSyncArguments, TreeSyncHandle, TreeSyncSettings, exchange_peers};

/// Time between two looks at the host list. A sidecar needs it only to find peers while the
/// table is away, and 660 of them must not load the platform.
const HOST_POLL: Duration = Duration::from_secs(30);

/// A sidecar that keeps a settings tree.
#[derive(Debug)]
pub struct SidecarWithTree {
    sidecar: Sidecar,
    tree: TreeSyncHandle,
    host_watch: JoinHandle<()>,
}

impl SidecarWithTree {
    /// Starts a keeper, then the sidecar.
    pub async fn start(
        config: SidecarConfig,
        settings: TreeSyncSettings,
    ) -> Result<Self, SidecarError> {
        let counters = counters(&config)?;
        let platform = platform(&config, &counters);
        let traffic = ControlTraffic::new(Arc::clone(&counters));
        let peers = PeerClient::new(PeerClientLimits::default()).with_traffic(traffic);
        let (found, peer_addresses) = watch::channel(Vec::new());
        let tree = TreeSyncHandle::start(TreeSyncArguments {
            host: config.host.clone(),
            settings,
            platform: platform.with_kind(ControlKind::TreePoll),
            peers: Arc::new(peers),
            peer_addresses,
            counters: Arc::clone(&counters),
            seed: rand::random(),
        })
        .await?;
        let own_host = config.host.clone();
        let sidecar = Sidecar::start_counting(config, source(&tree), counters).await?;
        let host_watch = tokio::spawn(poll_hosts(
            platform.with_kind(ControlKind::HostList),
            HOST_POLL,
            move |hosts| {
                found.send_replace(entries(&own_host, &hosts));
            },
        ));
        Ok(Self {
            sidecar,
            tree,
            host_watch,
        })
    }

    /// The sidecar.
    #[must_use]
    pub const fn sidecar(&self) -> &Sidecar {
        &self.sidecar
    }

    /// The keeper of its settings tree.
    #[must_use]
    pub const fn tree(&self) -> &TreeSyncHandle {
        &self.tree
    }

    /// Completes when the sidecar can serve no more because of a fault of its own.
    pub async fn failed(&mut self) {
        self.sidecar.failed().await;
    }

    /// Leaves, lets what runs end, and says whether all did within the bound.
    pub async fn stop(self) -> bool {
        let is_drained = self.sidecar.stop().await;
        self.host_watch.abort();
        self.tree.stop();
        is_drained
    }
}

fn source(tree: &TreeSyncHandle) -> TreeSource {
    let (since, version, heard) = (tree.clone(), tree.in_force(), tree.clone());
    TreeSource::new(
        move |ask| since.since(ask.version),
        move || version.borrow().version(),
        move |version| heard.report_version(version),
    )
}

fn entries(own_host: &HostId, hosts: &HostList) -> Vec<SocketAddr> {
    let entries = hosts.hosts.iter().filter(|record| record.service.is_none());
    exchange_peers(own_host, entries)
}
