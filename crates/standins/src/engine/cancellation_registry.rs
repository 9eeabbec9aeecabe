//! Registry of calls that can be cancelled by their id.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use crate::backend::CallId;

/// Registry of calls that can be cancelled by their id.
#[derive(Debug, Clone, Default)]
pub(crate) struct CancellationRegistry {
    calls: Arc<Mutex<HashMap<CallId, Vec<watch::Sender<bool>>>>>,
}

/// Notifies a call of its cancellation; dropping it removes the call from the registry.
#[derive(Debug)]
pub(crate) struct Cancellation {
    cancelled: watch::Receiver<bool>,
    // Dropped before `entry`, whose drop removes the calls without a receiver.
    entry: RegisteredCall,
}

#[derive(Debug)]
struct RegisteredCall {
    calls: CancellationRegistry,
    call_id: CallId,
}

impl CancellationRegistry {
    /// Makes a call cancellable until the returned value is dropped.
    pub(crate) fn register(&self, call_id: &CallId) -> Cancellation {
        let (cancel, cancelled) = watch::channel(false);
        let mut calls = self.lock();
        calls.entry(call_id.clone()).or_default().push(cancel);
        Cancellation {
            cancelled,
            entry: RegisteredCall {
                calls: self.clone(),
                call_id: call_id.clone(),
            },
        }
    }

    /// Cancels all calls with this id; returns their number.
    pub(crate) fn cancel(&self, call_id: &CallId) -> usize {
        let calls = self.lock();
        let with_id = calls.get(call_id).map_or(&[][..], Vec::as_slice);
        let sent = with_id.iter().filter(|cancel| cancel.send(true).is_ok());
        sent.count()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CallId, Vec<watch::Sender<bool>>>> {
        // No code panics in the middle of a change, so a poisoned lock guards consistent state.
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

impl Drop for RegisteredCall {
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
