//! State of a relay.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use crate::relay::{ConnectionState, RelayCounts, RelayFaults};

/// State of a relay.
#[derive(Debug)]
pub(crate) struct RelayState {
    pub(crate) to: SocketAddr,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    counts: RelayCounts,
    delay: Duration,
    refuse_new: bool,
    connections: Vec<watch::Sender<ConnectionState>>,
}

impl RelayState {
    /// A relay without faults.
    pub(crate) fn new(to: SocketAddr) -> Self {
        let inner = Inner {
            counts: RelayCounts::default(),
            delay: Duration::ZERO,
            refuse_new: false,
            connections: Vec::new(),
        };
        Self {
            to,
            inner: Mutex::new(inner),
        }
    }

    /// Sets faults.
    pub(crate) fn set_faults(&self, faults: &RelayFaults) {
        let mut inner = self.lock();
        if let Some(delay_ms) = faults.delay_ms {
            inner.delay = Duration::from_millis(delay_ms);
        }
        if let Some(refuse_new) = faults.refuse_new {
            inner.refuse_new = refuse_new;
        }
        if faults.silence_open == Some(true) {
            inner.counts.silenced += inner.advance_connections(ConnectionState::Silent);
        }
        if faults.cut_open == Some(true) {
            inner.counts.cut += inner.advance_connections(ConnectionState::Cut);
        }
    }

    /// Registers a new connection, unless new ones are refused.
    pub(crate) fn register(&self) -> Option<watch::Receiver<ConnectionState>> {
        let mut inner = self.lock();
        if inner.refuse_new {
            inner.counts.refused += 1;
            return None;
        }
        let (sender, connection_state) = watch::channel(ConnectionState::Open);
        inner.connections.retain(|sender| !sender.is_closed());
        inner.connections.push(sender);
        inner.counts.accepted += 1;
        Some(connection_state)
    }

    /// Records that the destination accepted no connection.
    pub(crate) fn record_unreachable(&self) {
        let mut inner = self.lock();
        inner.counts.accepted -= 1;
        inner.counts.refused += 1;
    }

    /// Current one-way delay.
    pub(crate) fn delay(&self) -> Duration {
        self.lock().delay
    }

    /// Counts so far.
    pub(crate) fn counts(&self) -> RelayCounts {
        self.lock().counts
    }

    /// Changes the counts.
    pub(crate) fn count(&self, count: impl FnOnce(&mut RelayCounts)) {
        count(&mut self.lock().counts);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // No code panics in the middle of a change, so a poisoned lock guards consistent state.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Advances all connections to a later state; returns how many were in an earlier one.
    fn advance_connections(&self, state: ConnectionState) -> u64 {
        let open = self.connections.iter().filter(|sender| !sender.is_closed());
        let advanced = open.filter(|sender| sender.send_if_modified(|old| advance(old, state)));
        u64::try_from(advanced.count()).unwrap_or(u64::MAX)
    }
}

fn advance(old: &mut ConnectionState, new: ConnectionState) -> bool {
    let is_later = *old < new;
    if is_later {
        *old = new;
    }
    is_later
}
