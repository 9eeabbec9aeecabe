//! Publishes evidence of crashed servers to other gateways through the store.

use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::process::Cell;
use log::{info, warn};
use tokio::time::Instant;

use super::super::StoreApi;
use super::super::version::{write_store, write_store_with_retry};
use super::GatewayContext;

/// Time for which evidence is collected, as all runs at a crashed server are lost together.
const GATHER_DELAY: Duration = Duration::from_millis(50);
/// Number of crashes from which gateways spread their writes over time: when many servers lose
/// power, all gateways have something to publish at once.
const SPREAD_MIN_CRASHES: usize = 4;
/// Approximate number of gateways' writes that the store accepts per second.
const STORE_WRITES_PER_S: u32 = 150;
/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Interval at which expired evidence is removed.
const CLEANUP_INTERVAL: Duration = Duration::from_mins(1);

/// Publishes evidence as long as the gateway runs; retries each write until the store accepts it.
pub async fn publish_crashes(context: Arc<GatewayContext>, store: StoreApi) {
    loop {
        context.crashes.publish_requested().await;
        tokio::time::sleep(GATHER_DELAY).await;
        spread_survivals(&context).await;
        let evidence = context.crashes.take_unpublished();
        let crashes: usize = evidence.iter().map(|(_, one)| one.crashes.len()).sum();
        if crashes >= SPREAD_MIN_CRASHES {
            tokio::time::sleep(spread_delay(&context)).await;
        }
        for (id, evidence) in evidence {
            let publish = || (store.publish_evidence)(&id, &evidence);
            let on_failure = |reason: &str| {
                context.counters.count("quarantine.not-told");
                warn!(evidence:% = id, reason; "quarantine: evidence not published, retrying");
            };
            write_store_with_retry(&store, publish, RETRY_PAUSE, on_failure).await;
            context.counters.count("quarantine.told");
            info!(
                evidence:% = id, crashes = evidence.crashes.len(), suspects = evidence.suspicions().count(),
                survivals = evidence.survivals.len();
                "quarantine: evidence published"
            );
        }
    }
}

/// Spreads the writes of gateways that have only completed runs to publish, so that the first ones
/// make the others superfluous; ends early if there is a crash to publish.
async fn spread_survivals(context: &GatewayContext) {
    let deadline = Instant::now() + spread_delay(context);
    while !context.crashes.has_unpublished_crashes() {
        let requested = context.crashes.publish_requested();
        if tokio::time::timeout_at(deadline, requested).await.is_err() {
            return;
        }
    }
}

/// A random time by which the writes of all gateways are spread.
fn spread_delay(context: &GatewayContext) -> Duration {
    let gateways = u32::try_from(context.cluster_view.live_count()).unwrap_or(u32::MAX);
    let spread = Duration::from_secs(1) * gateways / STORE_WRITES_PER_S;
    spread.mul_f64(rand::random_range(0.0..1.0))
}

/// Removes expired evidence from the store; only the owner of [`Cell::SINGLE`] does so.
pub async fn remove_expired_evidence(context: Arc<GatewayContext>, store: StoreApi) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        let (.., is_own) = context.cluster_view.owner(Cell::SINGLE);
        if !is_own {
            continue;
        }
        for id in context.crashes.expired_evidence() {
            if let Err(reason) = write_store(&store, (store.remove_evidence)(&id)).await {
                info!(evidence:% = id, reason = reason.as_str(); "quarantine: evidence not removed");
            }
        }
    }
}
