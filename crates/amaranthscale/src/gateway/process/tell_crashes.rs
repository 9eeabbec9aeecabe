//! Tells the other gateways of crashed servers, through the store.

use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::process::Cell;
use log::{info, warn};

use super::super::StoreApi;
use super::super::version::{write_store, write_store_until_taken};
use super::GatewayParts;

/// Time in which evidence is gathered: the runs that one crash ends are lost together.
const GATHER: Duration = Duration::from_millis(50);
/// Crashes at once from which gateways spread their words: when many servers lose power, all gateways
/// have something to tell in the same moment.
const MANY_CRASHES: usize = 4;
/// Words of gateways that the store takes in a second, about.
const WORDS_PER_S: u32 = 150;
/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time between two looks for evidence that counts no more.
const CLEAN_UP: Duration = Duration::from_mins(1);

/// Tells evidence for good, each piece until the store has taken it.
pub async fn tell_crashes(parts: Arc<GatewayParts>, store: StoreApi) {
    loop {
        parts.crashes.to_tell().await;
        tokio::time::sleep(GATHER).await;
        let evidence = parts.crashes.take_untold();
        let crashes: usize = evidence.iter().map(|(_, one)| one.crashes.len()).sum();
        if crashes >= MANY_CRASHES {
            let gateways = u32::try_from(parts.cluster_view.live()).unwrap_or(u32::MAX);
            let spread = Duration::from_secs(1) * gateways / WORDS_PER_S;
            tokio::time::sleep(spread.mul_f64(rand::random_range(0.0..1.0))).await;
        }
        for (id, evidence) in evidence {
            let tell = || (store.publish_evidence)(&id, &evidence);
            let failed = |reason: &str| {
                parts.counters.count("quarantine.not-told");
                warn!(evidence:% = id, reason; "quarantine: evidence not told yet");
            };
            write_store_until_taken(&store, tell, RETRY_PAUSE, failed).await;
            parts.counters.count("quarantine.told");
            info!(
                evidence:% = id, crashes = evidence.crashes.len(), suspects = evidence.suspicions().count(),
                survivals = evidence.survivals.len();
                "quarantine: evidence told"
            );
        }
    }
}

/// Removes evidence that counts no more, where this gateway acts for all.
pub async fn remove_outdated(parts: Arc<GatewayParts>, store: StoreApi) {
    loop {
        tokio::time::sleep(CLEAN_UP).await;
        let (.., is_own) = parts.cluster_view.owner(Cell::SINGLE);
        if !is_own {
            continue;
        }
        for id in parts.crashes.outdated() {
            if let Err(reason) = write_store(&store, (store.remove_evidence)(&id)).await {
                info!(evidence:% = id, reason = reason.as_str(); "quarantine: evidence not removed");
            }
        }
    }
}
