//! What a relay holds.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use crate::relay::{ConnectionFate, RelayCounts, RelayFaults};

/// What a relay holds.
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
    fates: Vec<watch::Sender<ConnectionFate>>,
}

impl RelayState {
    /// A relay without faults.
    pub(crate) fn new(to: SocketAddr) -> Self {
        let inner = Inner {
            counts: RelayCounts::default(),
            delay: Duration::ZERO,
            refuse_new: false,
            fates: Vec::new(),
        };
        Self {
            to,
            inner: Mutex::new(inner),
        }
    }

    /// Switches faults.
    pub(crate) fn switch(&self, faults: &RelayFaults) {
        let mut inner = self.lock();
        if let Some(delay_ms) = faults.delay_ms {
            inner.delay = Duration::from_millis(delay_ms);
        }
        if let Some(refuse_new) = faults.refuse_new {
            inner.refuse_new = refuse_new;
        }
        if faults.silence_open == Some(true) {
            inner.counts.silenced += inner.raise_fates(ConnectionFate::Silent);
        }
        if faults.cut_open == Some(true) {
            inner.counts.cut += inner.raise_fates(ConnectionFate::Cut);
        }
    }

    /// Takes note of a new connection, unless new ones are refused.
    pub(crate) fn admit(&self) -> Option<watch::Receiver<ConnectionFate>> {
        let mut inner = self.lock();
        if inner.refuse_new {
            inner.counts.refused += 1;
            return None;
        }
        let (sender, fate) = watch::channel(ConnectionFate::Open);
        inner.fates.retain(|fate| !fate.is_closed());
        inner.fates.push(sender);
        inner.counts.accepted += 1;
        Some(fate)
    }

    /// Takes note that the far end took no connection.
    pub(crate) fn note_unreachable(&self) {
        let mut inner = self.lock();
        inner.counts.accepted -= 1;
        inner.counts.refused += 1;
    }

    /// One-way delay of what passes now.
    pub(crate) fn delay(&self) -> Duration {
        self.lock().delay
    }

    /// What was counted so far.
    pub(crate) fn counts(&self) -> RelayCounts {
        self.lock().counts
    }

    /// Changes the counts.
    pub(crate) fn count(&self, count: impl FnOnce(&mut RelayCounts)) {
        count(&mut self.lock().counts);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Nothing panics while it holds the lock half-way through a change.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Gives all connections a worse fate; tells how many had a better one.
    fn raise_fates(&self, fate: ConnectionFate) -> u64 {
        let open = self.fates.iter().filter(|sender| !sender.is_closed());
        let raised = open.filter(|sender| sender.send_if_modified(|old| raise(old, fate)));
        u64::try_from(raised.count()).unwrap_or(u64::MAX)
    }
}

fn raise(old: &mut ConnectionFate, new: ConnectionFate) -> bool {
    let is_worse = *old < new;
    if is_worse {
        *old = new;
    }
    is_worse
}
