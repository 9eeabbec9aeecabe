//! Queries sidecars for the models that their engines run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::HostId;
use amaranthscale_core::version::{Assignment, LoadTracker};
use amaranthscale_core::wire::{self, EngineReport, HostList};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::PlannerArguments;
use crate::connection::{PeerClient, read_body};

/// Path at which a sidecar reports on its engine.
const ENGINE_PATH: &str = "/engine";
/// Longest wait for one sidecar; one that does not answer is queried again at the next tick.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Longest report.
const MAX_REPORT_BYTES: usize = 1024 * 1024;

/// What the engines with unconfirmed loads run, as far as their sidecars answer.
///
/// Only these are queried: a few at a time, as loads are limited, and all of them once after the
/// lease has changed its holder.
pub(super) async fn read_reports(
    arguments: &PlannerArguments,
    loads: &LoadTracker,
    hosts: &HostList,
) -> Vec<(HostId, Assignment)> {
    let loading = loads.hosts_with_loading_replicas();
    let mut asking = JoinSet::new();
    for record in &hosts.hosts {
        if loading.contains(&record.host) {
            let peers = Arc::clone(&arguments.peers);
            let (host, address) = (record.host.clone(), record.address);
            asking.spawn(async move { Some((host, read_report(&peers, address).await?)) });
        }
    }
    asking.join_all().await.into_iter().flatten().collect()
}

async fn read_report(peers: &PeerClient, address: SocketAddr) -> Option<Assignment> {
    let reading = async {
        let response = peers.post(address, ENGINE_PATH, Vec::new()).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = read_body(response.into_body(), MAX_REPORT_BYTES, TIMEOUT);
        let report: EngineReport = wire::decode(&body.await.ok()?).ok()?;
        report.running
    };
    timeout(TIMEOUT, reading).await.ok().flatten()
}
