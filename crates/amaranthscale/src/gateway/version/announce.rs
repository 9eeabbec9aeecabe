//! Announces this gateway to the others through the store.
//!
//! One write at the start and one at the end: whether an announced gateway lives is learnt by
//! talking to it, so that no heartbeat is written.

use std::sync::atomic::Ordering;
use std::time::Duration;

use amaranthscale_core::id::InstanceId;
use log::{info, warn};

use super::super::StoreApi;
use super::Own;
use super::{write_store, write_store_until_taken};

/// Pause after a failed announcement.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Announces a gateway, again until the store has taken it.
pub async fn announce_instance(store: StoreApi, own: Own) {
    let instance = &own.instance;
    let announce = || (store.announce)(instance, &own.announcement);
    let failed = |reason: &str| warn!(reason; "membership: not announced yet");
    write_store_until_taken(&store, announce, RETRY_PAUSE, failed).await;
    info!(instance = instance.as_str(); "membership: announced");
    own.is_announced.store(true, Ordering::Release);
}

/// Withdraws an announcement; one that stays is passed over by the others.
pub async fn withdraw_instance(store: &StoreApi, instance: &InstanceId) {
    match write_store(store, (store.withdraw)(instance)).await {
        Ok(()) => info!(instance = instance.as_str(); "membership: withdrawn"),
        Err(reason) => warn!(reason = reason.as_str(); "membership: not withdrawn"),
    }
}
