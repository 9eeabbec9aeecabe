//! Calls that can be cancelled by their id.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use crate::backend::CallId;

/// Calls that can be cancelled by their id.
#[derive(Debug, Clone, Default)]
pub(crate) struct Cancellations {
    calls: Arc<Mutex<HashMap<CallId, Vec<watch::Sender<bool>>>>>,
}

/// Tells a call that it was cancelled.
#[derive(Debug)]
pub(crate) struct Cancellation {
    cancelled: watch::Receiver<bool>,
    // Dropped before the entry below, which forgets calls that nobody listens for.
    entry: Entry,
}

#[derive(Debug)]
struct Entry {
    calls: Cancellations,
    call_id: CallId,
}

impl Cancellations {
    /// Makes a call one that can be cancelled, until the answer is dropped.
    pub(crate) fn register(&self, call_id: &CallId) -> Cancellation {
        let (cancel, cancelled) = watch::channel(false);
        let mut calls = self.lock();
        calls.entry(call_id.clone()).or_default().push(cancel);
        Cancellation {
            cancelled,
            entry: Entry {
                calls: self.clone(),
                call_id: call_id.clone(),
            },
        }
    }

    /// Cancels all calls with this id; tells how many.
    pub(crate) fn cancel(&self, call_id: &CallId) -> usize {
        let calls = self.lock();
        let with_id = calls.get(call_id).map_or(&[][..], Vec::as_slice);
        let sent = with_id.iter().filter(|cancel| cancel.send(true).is_ok());
        sent.count()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CallId, Vec<watch::Sender<bool>>>> {
        // Nothing panics while it holds the lock half-way through a change.
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Cancellation {
    /// Waits until the call is cancelled.
    pub(crate) async fn cancelled(&mut self) {
        let wait = self.cancelled.wait_for(|cancelled| *cancelled);
        if wait.await.is_err() {
            log::warn!("engine: call {} cannot be cancelled", self.entry.call_id);
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut calls = self.calls.lock();
        if let Some(with_id) = calls.get_mut(&self.call_id) {
            with_id.retain(|cancel| !cancel.is_closed());
            if with_id.is_empty() {
                calls.remove(&self.call_id);
            }
        }
    }
}
