//! Announces this gateway to the others through the store.
//!
//! There is one write at the start and one at the end. Other gateways detect a failed gateway by
//! its missing answers, so no heartbeats are written. The write at the start also removes the
//! announcement of the former incarnation, and goes through the first gateway of the zone, which
//! writes for all that start at the same time.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use amaranthscale_core::id::InstanceId;
use bytes::Bytes;
use hyper::StatusCode;
use log::{debug, info, warn};

use super::super::StoreApi;
use super::cluster_view::LIST_TIMEOUT;
use super::{AnnouncementUpdate, AnnouncementWriter, OwnInstance, RelayContext, write_store};

/// Path for handing an update of announcements to another gateway.
pub const ANNOUNCEMENTS_PATH: &str = "/announcements";
/// Timeout of an update handed to another gateway: its write to the store and the round trip.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Most gateways that an update is handed to in turn.
const MAX_HAND_OVERS: usize = 2;
/// Shortest pause after a failed attempt.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Longest random time that is added. Gateways that failed together, as when the store refuses too
/// many writes, must not all come back together.
const RETRY_JITTER: Duration = Duration::from_secs(1);
/// Time after an announcement in which the list of gateways shows what was written with it.
const FORMER_LISTED_TIME: Duration = Duration::from_secs(3);
/// Most attempts to withdraw a gateway; whoever finds it unresponsive later tries again.
const MAX_WITHDRAWALS: usize = 5;

/// What announcing and withdrawing needs.
#[derive(Debug, Clone)]
pub struct Announcer {
    /// The view of the gateways, and connections to them.
    pub relay_context: RelayContext,
    /// Writes to the store.
    pub writer: AnnouncementWriter,
}

impl Announcer {
    /// Announces a gateway; retries until the store accepts the announcement.
    pub async fn announce(self, own: OwnInstance) {
        let cluster_view = &self.relay_context.cluster_view;
        cluster_view.wait_for_list(LIST_TIMEOUT).await;
        loop {
            let update = AnnouncementUpdate {
                announced: vec![(own.instance.clone(), own.announcement.clone())],
                withdrawn: cluster_view.former_instances(),
            };
            if own.shutdown.is_stopping() {
                return;
            }
            if self.write(update).await {
                break;
            }
            warn!("membership: not announced, retrying");
            pause().await;
        }
        info!(instance = own.instance.as_str(); "membership: announced");
        own.is_announced.store(true, Ordering::Release);
        // A former incarnation that was not listed yet when this one announced itself.
        tokio::time::sleep(FORMER_LISTED_TIME).await;
        let former = self.relay_context.cluster_view.former_instances();
        if !former.is_empty() {
            self.withdraw(former).await;
        }
    }

    /// Withdraws gateways that have ended; gives up after some attempts.
    pub async fn withdraw(self, ended: Vec<InstanceId>) {
        for _ in 0..MAX_WITHDRAWALS {
            if self
                .write(AnnouncementUpdate::withdrawal(ended.clone()))
                .await
            {
                return;
            }
            pause().await;
        }
        warn!(instances = ended.len(); "membership: not withdrawn");
    }

    /// Writes an update through the first gateway of the zone that can, or itself: the store may
    /// turn away some gateways and serve others.
    async fn write(&self, update: AnnouncementUpdate) -> bool {
        let cluster_view = &self.relay_context.cluster_view;
        let plan = cluster_view.start_plan(Duration::ZERO).await;
        for (_, address) in plan
            .unwrap_or_default()
            .sources()
            .iter()
            .take(MAX_HAND_OVERS)
        {
            match self.hand_over(*address, &update).await {
                Ok(()) => return true,
                Err(reason) => {
                    let counters = &self.relay_context.counters;
                    counters.count("membership.hand-over-failed");
                    debug!("membership: update not written through {address}: {reason}");
                }
            }
        }
        self.writer.write(update).await
    }

    /// Hands an update to another gateway, which answers once the store has accepted it.
    async fn hand_over(
        &self,
        address: SocketAddr,
        update: &AnnouncementUpdate,
    ) -> Result<(), String> {
        let update = rmp_serde::to_vec_named(update).map_err(|error| error.to_string())?;
        let peers = &self.relay_context.peers;
        let post = peers.post(address, ANNOUNCEMENTS_PATH, Bytes::from(update));
        let answer = tokio::time::timeout(HAND_OVER_TIMEOUT, post).await;
        let answer = answer.map_err(|_elapsed| "it did not answer".to_owned())?;
        match answer.map_err(|error| error.to_string())?.status() {
            StatusCode::OK => Ok(()),
            other => Err(format!("it answered {other}")),
        }
    }
}

async fn pause() {
    let jitter = RETRY_JITTER.mul_f64(rand::random_range(0.0..1.0));
    tokio::time::sleep(MIN_RETRY_PAUSE + jitter).await;
}

/// Withdraws this gateway's own announcement at its stop; if that fails, other gateways find it
/// unresponsive and skip it.
pub async fn withdraw_instance(store: &StoreApi, instance: &InstanceId) {
    let update = AnnouncementUpdate::withdrawal(vec![instance.clone()]);
    match write_store(store, (store.update_announcements)(&update)).await {
        Ok(()) => info!(instance = instance.as_str(); "membership: withdrawn"),
        Err(reason) => warn!(reason = reason.as_str(); "membership: not withdrawn"),
    }
}
