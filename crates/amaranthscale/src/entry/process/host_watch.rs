//! Task that polls the host list.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::HostId;
use amaranthscale_core::wire::HostList;
use tokio::sync::watch;

use super::{DecisionsHandle, DecisionsMessage};
use crate::connection::PeerClient;
use crate::process::{PlatformClient, poll_hosts};
use crate::version::exchange_peers;

/// Polls the host list and passes each change to its users; never returns.
pub async fn watch_hosts(
    platform: PlatformClient,
    decisions: DecisionsHandle,
    own_host: HostId,
    every: Duration,
    peers: Arc<PeerClient>,
    peer_addresses: watch::Sender<Vec<SocketAddr>>,
    host_list: watch::Sender<Option<Arc<HostList>>>,
) {
    poll_hosts(platform, every, move |hosts| {
        let known: BTreeSet<SocketAddr> = hosts.hosts.iter().map(|host| host.address).collect();
        peers.retain(|address| known.contains(address));
        peer_addresses.send_replace(exchange_peers(&own_host, &hosts.hosts));
        host_list.send_replace(Some(Arc::new(hosts.clone())));
        decisions.send(DecisionsMessage::HostsChanged(hosts));
    })
    .await;
}
