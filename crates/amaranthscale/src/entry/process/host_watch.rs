//! Keeps the entry's view of the hosts.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::HostId;
use amaranthscale_core::wire::HostList;
use log::warn;
use tokio::sync::watch;

use super::{Decision, DecisionsHandle};
use crate::process::PlatformClient;

/// Polls the host list and tells the decisions of each change; ends with its task.
///
/// While the platform is away the last list stays in use.
pub async fn watch_hosts(
    platform: PlatformClient,
    decisions: DecisionsHandle,
    own_host: HostId,
    every: Duration,
    peer_addresses: watch::Sender<Vec<SocketAddr>>,
) {
    let mut version = None;
    let mut is_away = false;
    loop {
        match platform.hosts().await {
            Ok(hosts) => {
                is_away = false;
                if version != Some(hosts.version) {
                    version = Some(hosts.version);
                    peer_addresses.send_replace(addresses(&hosts, &own_host));
                    decisions.tell(Decision::Hosts(hosts));
                }
            }
            Err(error) if !is_away => {
                is_away = true;
                warn!("entry: the host list cannot be read: {error}");
            }
            Err(_still_away) => {}
        }
        tokio::time::sleep(every).await;
    }
}

fn addresses(hosts: &HostList, own_host: &HostId) -> Vec<SocketAddr> {
    let others = hosts.hosts.iter().filter(|record| record.host != *own_host);
    others.map(|record| record.address).collect()
}
