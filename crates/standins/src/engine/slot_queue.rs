//! Slots of the running batch, and the queue for them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::LaggingValue;
use crate::engine::EngineLoad;

/// Order in the queue: by priority, the highest first, then by arrival.
type QueueKey = (Reverse<i64>, u64);

/// Slots of the running batch, and the queue for them.
#[derive(Debug, Clone)]
pub(crate) struct SlotQueue {
    state: Arc<Mutex<QueueState>>,
}

/// A sequence's slot in the running batch; dropping it frees the slot for the next.
#[derive(Debug)]
pub(crate) struct Slot {
    queue: SlotQueue,
}

#[derive(Debug)]
struct QueueState {
    slots: u32,
    running: u32,
    arrivals: u64,
    waiting: BTreeMap<QueueKey, oneshot::Sender<()>>,
    load: LaggingValue<(u32, u32)>,
    load_lag: Duration,
}

/// A waiting call; dropping it before it is granted a slot ends the wait.
#[derive(Debug)]
struct Waiter {
    queue: SlotQueue,
    key: QueueKey,
    granted: oneshot::Receiver<()>,
    has_slot: bool,
}

impl SlotQueue {
    /// An idle batch.
    pub(crate) fn new(slots: u32, load_lag: Duration) -> Self {
        let state = QueueState {
            slots: slots.max(1),
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
            load: LaggingValue::new(Instant::now(), (0, 0)),
            load_lag,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Waits for a slot; dropping the future leaves the queue.
    pub(crate) async fn acquire(&self, priority: i64) -> Slot {
        let Some(mut waiter) = self.acquire_or_enqueue(priority) else {
            return self.slot();
        };
        // The sender is removed only to grant the slot, so this cannot fail.
        let _ = (&mut waiter.granted).await;
        waiter.has_slot = true;
        self.slot()
    }

    /// The load, with the lag of its report.
    pub(crate) fn load(&self) -> EngineLoad {
        let mut state = self.lock();
        let lag = state.load_lag;
        let reported = state.load.get(Instant::now(), lag);
        let ((running, waiting), age) = reported.unwrap_or_default();
        EngineLoad {
            running,
            waiting,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Takes a free slot, or else joins the queue.
    fn acquire_or_enqueue(&self, priority: i64) -> Option<Waiter> {
        let mut state = self.lock();
        if state.running < state.slots {
            state.running += 1;
            state.record_load();
            return None;
        }
        let key = (Reverse(priority), state.arrivals);
        let (grant, granted) = oneshot::channel();
        state.arrivals += 1;
        state.waiting.insert(key, grant);
        state.record_load();
        Some(Waiter {
            queue: self.clone(),
            key,
            granted,
            has_slot: false,
        })
    }

    /// Grants a slot to the first waiter, or frees it.
    fn release(&self) {
        let mut state = self.lock();
        match state.waiting.pop_first() {
            // A waiter that gives up after this grant passes the slot on when it is dropped.
            Some((_, grant)) => drop(grant.send(())),
            None => state.running -= 1,
        }
        state.record_load();
    }

    /// Leaves the queue; a slot already granted goes to the next waiter.
    fn leave_queue(&self, key: QueueKey) {
        let mut state = self.lock();
        let was_granted = state.waiting.remove(&key).is_none();
        state.record_load();
        drop(state);
        if was_granted {
            self.release();
        }
    }

    fn slot(&self) -> Slot {
        Slot {
            queue: self.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        // No code panics in the middle of a change, so a poisoned lock guards consistent state.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    /// Number of running sequences, this one included.
    pub(crate) fn batch_size(&self) -> u32 {
        self.queue.lock().running
    }
}

impl QueueState {
    fn record_load(&mut self) {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let load = (self.running, waiting);
        self.load.set(Instant::now(), self.load_lag, load);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.queue.release();
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if !self.has_slot {
            self.queue.leave_queue(self.key);
        }
    }
}
