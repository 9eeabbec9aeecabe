//! Announces this gateway to the others through the store.
//!
//! There is one write at the start and one at the end. Other gateways detect a failed gateway by
//! its missing answers, so no heartbeats are written.

use std::sync::atomic::Ordering;
use std::time::Duration;

use amaranthscale_core::id::InstanceId;
use log::{info, warn};

use super::super::StoreApi;
use super::OwnInstance;
use super::{write_store, write_store_with_retry};

/// Pause after a failed announcement.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Announces a gateway; retries until the store accepts the announcement.
pub async fn announce_instance(store: StoreApi, own: OwnInstance) {
    let instance = &own.instance;
    let announce = || (store.announce)(instance, &own.announcement);
    let on_failure = |reason: &str| warn!(reason; "membership: not announced, retrying");
    write_store_with_retry(&store, announce, RETRY_PAUSE, on_failure).await;
    info!(instance = instance.as_str(); "membership: announced");
    own.is_announced.store(true, Ordering::Release);
}

/// Withdraws an announcement; if that fails, other gateways find the gateway unresponsive and skip
/// it.
pub async fn withdraw_instance(store: &StoreApi, instance: &InstanceId) {
    match write_store(store, (store.withdraw)(instance)).await {
        Ok(()) => info!(instance = instance.as_str(); "membership: withdrawn"),
        Err(reason) => warn!(reason = reason.as_str(); "membership: not withdrawn"),
    }
}
