//! Tells the other gateways what servers say of their limits, through the store.

use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{Cell, ServerLimit};
use log::{info, warn};

use super::super::StoreApi;
use super::super::version::write_store;
use super::GatewayParts;

/// Time for each gateway by which words are spread: all that send to a server hear it in the same moment, and
/// the first that tells spares the others their writes.
const SPREAD_EACH: Duration = Duration::from_millis(4);
/// Least pause between two rounds: limits may change with each answer.
const PAUSE: Duration = Duration::from_millis(500);
/// Time between two looks for servers that are gone.
const CLEAN_UP: Duration = Duration::from_secs(20);

/// Tells words for good, each until the store has taken it or says the same.
pub async fn tell_limits(parts: Arc<GatewayParts>, store: StoreApi) {
    loop {
        parts.limits.to_tell().await;
        let gateways = u32::try_from(parts.cluster_view.live()).unwrap_or(u32::MAX);
        let spread = SPREAD_EACH.saturating_mul(gateways);
        tokio::time::sleep(spread.mul_f64(rand::random_range(0.0..1.0))).await;
        for (server, limit) in parts.limits.untold() {
            tell(&parts, &store, &server, limit).await;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn tell(
    parts: &GatewayParts,
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
            parts.limits.stored(server, limit);
            parts.counters.count("limits.told");
        }
        Err(reason) => {
            warn!(server:% = server, reason = reason.as_str(); "servers: limit not told yet");
            parts.counters.count("limits.not-told");
            parts.limits.tell_again();
        }
    }
}

/// Forgets the limits of servers that are gone; their rows are removed by the gateway that acts for all.
pub async fn forget_limits(parts: Arc<GatewayParts>, store: StoreApi) {
    loop {
        tokio::time::sleep(CLEAN_UP).await;
        let gone = parts.limits.forget_gone();
        let (.., is_own) = parts.cluster_view.owner(Cell::SINGLE);
        if !is_own {
            continue;
        }
        for server in gone {
            if let Err(reason) = write_store(&store, (store.remove_limit)(&server)).await {
                info!(server:% = server, reason = reason.as_str(); "servers: limit not removed");
            }
        }
    }
}
