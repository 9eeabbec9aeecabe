//! Counts of batch calls in flight, by server.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use amaranthscale_core::id::ServerIncarnation;

/// Batch calls that this gateway has in flight, by server.
#[derive(Debug, Default)]
pub struct CallsInFlight {
    counts: Mutex<BTreeMap<ServerIncarnation, usize>>,
}

impl CallsInFlight {
    /// Counts a call until the guard is dropped.
    pub fn begin(self: &Arc<Self>, server: &ServerIncarnation) -> CallInFlight {
        *self.counts().entry(server.clone()).or_default() += 1;
        CallInFlight {
            calls: Arc::clone(self),
            server: server.clone(),
        }
    }

    /// Calls in flight at a server.
    #[must_use]
    pub fn count(&self, server: &ServerIncarnation) -> usize {
        self.counts().get(server).copied().unwrap_or(0)
    }

    fn counts(&self) -> MutexGuard<'_, BTreeMap<ServerIncarnation, usize>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A batch call in flight.
#[derive(Debug)]
#[must_use = "a call counts until this is dropped"]
pub struct CallInFlight {
    calls: Arc<CallsInFlight>,
    server: ServerIncarnation,
}

impl Drop for CallInFlight {
    fn drop(&mut self) {
        let mut counts = self.calls.counts();
        if let Some(count) = counts.get_mut(&self.server) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.server);
            }
        }
    }
}
