//! Counts open requests and tells when a stopping gateway may end.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::{Notify, watch};

/// Whether the gateway stops, and how many requests are open.
#[derive(Debug, Default)]
pub struct StopGate {
    open: AtomicUsize,
    is_stopping: AtomicBool,
    emptied: Notify,
    is_hurried: watch::Sender<bool>,
}

/// A request that is open until this is dropped.
#[derive(Debug)]
pub struct OpenRequest(Arc<StopGate>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.0.open.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.emptied.notify_waiters();
        }
    }
}

impl StopGate {
    /// Counts a request until the token is dropped.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> OpenRequest {
        self.open.fetch_add(1, Ordering::AcqRel);
        OpenRequest(Arc::clone(self))
    }

    /// Marks the gateway as stopping.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Whether the gateway is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Tells requests that were sent nowhere yet to end now.
    pub fn hurry(&self) {
        self.is_hurried.send_replace(true);
    }

    /// Waits until the stop leaves no time to begin anything.
    pub async fn hurried(&self) {
        let mut hurried = self.is_hurried.subscribe();
        if hurried.wait_for(|is_hurried| *is_hurried).await.is_err() {
            // The gate outlives its waiters, so its sender is there.
            std::future::pending::<()>().await;
        }
    }

    /// Requests that are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Waits until no request is open.
    pub async fn emptied(&self) {
        loop {
            let notified = self.emptied.notified();
            if self.open() == 0 {
                return;
            }
            notified.await;
        }
    }
}
