//! Removes the drains of servers that are no longer listed.

use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::process::{Cell, StaleDrains};
use log::info;

use super::super::StoreApi;
use super::super::version::write_store;
use super::GatewayContext;

/// Interval at which drains of unlisted servers are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(20);

/// Removes the rows of drained servers that are no longer listed; only the owner of
/// [`Cell::SINGLE`] does so, which removes stale limits too.
pub async fn remove_stale_drains(context: Arc<GatewayContext>, store: StoreApi) {
    let mut stale = StaleDrains::default();
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        let now = context.cluster_view.clock().now();
        let servers = stale.update(&context.cluster_view.servers(), now);
        let (.., is_own) = context.cluster_view.owner(Cell::SINGLE);
        if !is_own {
            continue;
        }
        for server in servers {
            let written = write_store(&store, (store.remove_drain)(&server)).await;
            let server = server.as_str();
            if let Err(reason) = written {
                info!(server, reason = reason.as_str(); "servers: drain not removed");
            } else {
                info!(server; "servers: drain of a gone server removed");
            }
        }
    }
}
