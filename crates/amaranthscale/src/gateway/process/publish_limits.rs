//! Publishes the rate limits that servers report to other gateways through the store.

use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{Cell, ServerLimit};
use log::{info, warn};

use super::super::StoreApi;
use super::super::version::write_store;
use super::GatewayContext;

/// Time per gateway over which writes are spread: all gateways that send to a server receive its
/// report at the same time, and the first write makes the others' unnecessary.
const SPREAD_PER_GATEWAY: Duration = Duration::from_millis(4);
/// Minimum pause between two rounds, as limits may change with each answer.
const ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which limits of unlisted servers are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(20);

/// Publishes limits as long as the gateway runs; retries each until the store contains it.
pub async fn publish_limits(context: Arc<GatewayContext>, store: StoreApi) {
    loop {
        context.limits.publish_requested().await;
        let gateways = u32::try_from(context.cluster_view.live_count()).unwrap_or(u32::MAX);
        let spread = SPREAD_PER_GATEWAY.saturating_mul(gateways);
        tokio::time::sleep(spread.mul_f64(rand::random_range(0.0..1.0))).await;
        for (server, limit) in context.limits.unpublished() {
            publish(&context, &store, &server, limit).await;
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

async fn publish(
    context: &GatewayContext,
    store: &StoreApi,
    server: &ServerIncarnation,
    limit: Option<ServerLimit>,
) {
    let request = match limit {
        Some(limit) => (store.publish_limit)(server, limit),
        None => (store.remove_limit)(server),
    };
    match write_store(store, request).await {
        Ok(()) => {
            context.limits.mark_published(server, limit);
            context.counters.count("limits.told");
        }
        Err(reason) => {
            warn!(server:% = server, reason = reason.as_str(); "servers: limit not published, retrying");
            context.counters.count("limits.not-told");
            context.limits.request_publish();
        }
    }
}

/// Drops the limits of unlisted servers; the owner of [`Cell::SINGLE`] also removes their rows.
pub async fn remove_stale_limits(context: Arc<GatewayContext>, store: StoreApi) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        let unlisted = context.limits.remove_unlisted();
        let (.., is_own) = context.cluster_view.owner(Cell::SINGLE);
        if !is_own {
            continue;
        }
        for server in unlisted {
            if let Err(reason) = write_store(&store, (store.remove_limit)(&server)).await {
                info!(server:% = server, reason = reason.as_str(); "servers: limit not removed");
            }
        }
    }
}
