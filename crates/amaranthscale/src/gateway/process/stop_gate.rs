//! Counts open requests and tells when a stopping gateway may end.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Whether the gateway stops, and how many requests are open.
#[derive(Debug, Default)]
pub struct StopGate {
    open: AtomicUsize,
    is_stopping: AtomicBool,
    emptied: Notify,
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
