//! Writes announcements of this gateway and of those that start beside it.
//!
//! The store applies the writes to one table one after the other, some hundred a second. After a
//! power failure hundreds of gateways announce themselves, and each withdraws its former
//! incarnation. So a gateway hands its update to the first one of its zone, which writes all that
//! it has received within a moment in one transaction.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::sync::{mpsc, oneshot};

use super::super::StoreApi;
use super::{AnnouncementUpdate, write_store};
use crate::process::Counters;

/// Time for which updates are collected.
const COLLECT_TIME: Duration = Duration::from_millis(40);
/// Time for which updates are collected after a failed write. Each of them is sent again by its
/// gateway, and a store that is overloaded must not be asked at their rate.
const COLLECT_TIME_AFTER_FAILURE: Duration = Duration::from_millis(350);

/// Hands updates to the task that writes them.
#[derive(Debug, Clone)]
pub struct AnnouncementWriter {
    updates: mpsc::UnboundedSender<QueuedUpdate>,
}

/// An update and where to report whether the store has accepted it.
#[derive(Debug)]
struct QueuedUpdate {
    update: AnnouncementUpdate,
    written: oneshot::Sender<bool>,
}

impl AnnouncementWriter {
    /// Starts the task, which ends when the last handle is dropped.
    #[must_use]
    pub fn start(store: StoreApi, counters: Arc<Counters>) -> Self {
        let (updates, received) = mpsc::unbounded_channel();
        tokio::spawn(write_updates(store, counters, received));
        Self { updates }
    }

    /// Writes an update together with others; returns whether the store has accepted it.
    pub async fn write(&self, update: AnnouncementUpdate) -> bool {
        if update.rows() == 0 {
            return true;
        }
        let (written, is_written) = oneshot::channel();
        let queued = QueuedUpdate { update, written };
        self.updates.send(queued).is_ok() && is_written.await.unwrap_or(false)
    }
}

async fn write_updates(
    store: StoreApi,
    counters: Arc<Counters>,
    mut received: mpsc::UnboundedReceiver<QueuedUpdate>,
) {
    let mut collect_time = COLLECT_TIME;
    let mut next = None;
    loop {
        let first = match next.take() {
            Some(first) => first,
            None => match received.recv().await {
                Some(first) => first,
                None => return,
            },
        };
        tokio::time::sleep(collect_time).await;
        let mut update = first.update;
        let mut writers = vec![first.written];
        while let Ok(more) = received.try_recv() {
            if update.rows() + more.update.rows() > store.max_transaction_rows {
                next = Some(more);
                break;
            }
            update.merge(more.update);
            writers.push(more.written);
        }
        counters.count("store.calls.announce");
        let result = write_store(&store, (store.update_announcements)(&update)).await;
        let (announced, withdrawn) = (update.announced.len(), update.withdrawn.len());
        match &result {
            Ok(()) => info!(announced, withdrawn; "membership: announcements written"),
            Err(reason) => {
                warn!(announced, withdrawn, reason = reason.as_str(); "membership: announcements not written");
            }
        }
        collect_time = if result.is_ok() {
            COLLECT_TIME
        } else {
            COLLECT_TIME_AFTER_FAILURE
        };
        for writer in writers {
            // A gateway that no longer waits sends its update again.
            let _ = writer.send(result.is_ok());
        }
    }
}
