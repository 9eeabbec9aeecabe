//! Announces this gateway to the others through the store.
//!
//! One write at the start and one at the end: whether an announced gateway lives is learnt by
//! talking to it, so that no heartbeat is written.

use std::sync::atomic::Ordering;
use std::time::Duration;

use amaranthscale_core::id::InstanceId;
use log::{info, warn};

use super::super::StoreCalls;
use super::Own;
use super::write_store;

/// Pause after a failed announcement.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Announces a gateway, again until the store has taken it.
pub async fn announce_instance(store: StoreCalls, own: Own) {
    let instance = &own.instance;
    loop {
        match write_store(&store, (store.announce)(instance, &own.announcement)).await {
            Ok(()) => {
                info!(instance = instance.as_str(); "membership: announced");
                own.is_announced.store(true, Ordering::Release);
                return;
            }
            Err(reason) => warn!(reason = reason.as_str(); "membership: not announced yet"),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Withdraws an announcement; one that stays is passed over by the others.
pub async fn withdraw_instance(store: &StoreCalls, instance: &InstanceId) {
    match write_store(store, (store.withdraw)(instance)).await {
        Ok(()) => info!(instance = instance.as_str(); "membership: withdrawn"),
        Err(reason) => warn!(reason = reason.as_str(); "membership: not withdrawn"),
    }
}
