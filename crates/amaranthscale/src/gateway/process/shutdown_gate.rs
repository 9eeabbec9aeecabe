//! Counts open requests, so that a stopping gateway can wait for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::{Notify, watch};

/// Whether the gateway is stopping, and the number of open requests.
#[derive(Debug, Default)]
pub struct ShutdownGate {
    open: AtomicUsize,
    is_stopping: AtomicBool,
    drained: Notify,
    is_unsent_aborted: watch::Sender<bool>,
}

/// A request that is open until this is dropped.
#[derive(Debug)]
pub struct OpenRequest(Arc<ShutdownGate>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.0.open.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.drained.notify_waiters();
        }
    }
}

impl ShutdownGate {
    /// Counts a request as open until the returned guard is dropped.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> OpenRequest {
        self.open.fetch_add(1, Ordering::AcqRel);
        OpenRequest(Arc::clone(self))
    }

    /// Marks the gateway as stopping.
    pub fn start(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Whether the gateway is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Ends the requests that were not sent to a server yet.
    pub fn abort_unsent(&self) {
        self.is_unsent_aborted.send_replace(true);
    }

    /// Waits for [`abort_unsent`](Self::abort_unsent).
    pub async fn unsent_aborted(&self) {
        let mut unsent_aborted = self.is_unsent_aborted.subscribe();
        if unsent_aborted
            .wait_for(|is_unsent_aborted| *is_unsent_aborted)
            .await
            .is_err()
        {
            // The gate outlives its waiters, so the sender exists.
            std::future::pending::<()>().await;
        }
    }

    /// Number of open requests.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Waits until no request is open.
    pub async fn drained(&self) {
        loop {
            let notified = self.drained.notified();
            if self.open_requests() == 0 {
                return;
            }
            notified.await;
        }
    }
}
