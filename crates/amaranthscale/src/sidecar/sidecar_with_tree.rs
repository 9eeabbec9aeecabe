//! A sidecar together with the actor that replicates its settings tree.

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

/// Time between two reads of the host list. A sidecar needs it only to find peers while the table
/// is unavailable, and 660 sidecars must not overload the platform.
const HOST_POLL_INTERVAL: Duration = Duration::from_secs(30);

/// A sidecar that replicates the settings tree.
#[derive(Debug)]
pub struct SidecarWithTree {
    sidecar: Sidecar,
    tree: TreeSyncHandle,
    host_watch: JoinHandle<()>,
}

impl SidecarWithTree {
    /// Starts the replication of the settings tree, then the sidecar.
    pub async fn start(
        config: SidecarConfig,
        settings: TreeSyncSettings,
    ) -> Result<Self, SidecarError> {
        let counters = counters(&config)?;
        let platform = platform(&config, &counters);
        let traffic = ControlTraffic::new(Arc::clone(&counters));
        let peers = PeerClient::new(PeerClientLimits::default()).with_traffic(traffic);
        let (address_sender, peer_addresses) = watch::channel(Vec::new());
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
        let sidecar = Sidecar::start_with_counters(config, tree_source(&tree), counters).await?;
        let host_watch = tokio::spawn(poll_hosts(
            platform.with_kind(ControlKind::HostList),
            HOST_POLL_INTERVAL,
            move |hosts| {
                address_sender.send_replace(entry_addresses(&own_host, &hosts));
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

    /// Handle of its settings tree.
    #[must_use]
    pub const fn tree(&self) -> &TreeSyncHandle {
        &self.tree
    }

    /// Completes when the sidecar's actor has stopped, after which it can serve no requests.
    pub async fn failed(&mut self) {
        self.sidecar.failed().await;
    }

    /// Leaves, waits for running attempts and returns whether all ended within the timeout.
    pub async fn stop(self) -> bool {
        let is_drained = self.sidecar.stop().await;
        self.host_watch.abort();
        self.tree.stop();
        is_drained
    }
}

fn tree_source(tree: &TreeSyncHandle) -> TreeSource {
    let (sync, version, reporter) = (tree.clone(), tree.in_force(), tree.clone());
    TreeSource::new(
        move |request| sync.since(request.version),
        move || version.borrow().version(),
        move |version| reporter.report_version(version),
    )
}

fn entry_addresses(own_host: &HostId, hosts: &HostList) -> Vec<SocketAddr> {
    let entries = hosts.hosts.iter().filter(|record| record.service.is_none());
    exchange_peers(own_host, entries)
}
