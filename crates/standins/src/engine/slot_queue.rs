//! Slots of the running batch, and the waiting room before them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::Lagging;
use crate::engine::EngineLoad;

/// Order in the waiting room: by priority, the highest first, then by arrival.
type Rank = (Reverse<i64>, u64);

/// Slots of the running batch, and the waiting room before them.
#[derive(Debug, Clone)]
pub(crate) struct SlotQueue {
    room: Arc<Mutex<Room>>,
}

/// A sequence's place in the running batch; dropping it makes room for the next.
#[derive(Debug)]
pub(crate) struct Slot {
    queue: SlotQueue,
}

#[derive(Debug)]
struct Room {
    slots: u32,
    running: u32,
    arrivals: u64,
    waiting: BTreeMap<Rank, oneshot::Sender<()>>,
    load: Lagging<(u32, u32)>,
    load_lag: Duration,
}

/// A place in the waiting room; dropping it gives up the place.
#[derive(Debug)]
struct Place {
    queue: SlotQueue,
    rank: Rank,
    called: oneshot::Receiver<()>,
    seated: bool,
}

impl SlotQueue {
    /// An idle batch.
    pub(crate) fn new(slots: u32, load_lag: Duration) -> Self {
        let room = Room {
            slots: slots.max(1),
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
            load: Lagging::new(Instant::now(), (0, 0)),
            load_lag,
        };
        Self {
            room: Arc::new(Mutex::new(room)),
        }
    }

    /// Waits for a slot; giving up the wait gives up the place.
    pub(crate) async fn acquire(&self, priority: i64) -> Slot {
        let Some(mut place) = self.enter(priority) else {
            return self.slot();
        };
        // The sender goes only when it calls, so an error cannot come.
        let _ = (&mut place.called).await;
        place.seated = true;
        self.slot()
    }

    /// The load, as late as it is reported.
    pub(crate) fn load(&self) -> EngineLoad {
        let mut room = self.lock();
        let lag = room.load_lag;
        let seen = room.load.get(Instant::now(), lag);
        let ((running, waiting), age) = seen.unwrap_or_default();
        EngineLoad {
            running,
            waiting,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Takes a free slot, or else a place in the waiting room.
    fn enter(&self, priority: i64) -> Option<Place> {
        let mut room = self.lock();
        if room.running < room.slots {
            room.running += 1;
            room.note_load();
            return None;
        }
        let rank = (Reverse(priority), room.arrivals);
        let (call, called) = oneshot::channel();
        room.arrivals += 1;
        room.waiting.insert(rank, call);
        room.note_load();
        Some(Place {
            queue: self.clone(),
            rank,
            called,
            seated: false,
        })
    }

    /// Hands a slot to the first who waits, or frees it.
    fn release(&self) {
        let mut room = self.lock();
        match room.waiting.pop_first() {
            // Whoever gave up after this call passes the slot on as its place is dropped.
            Some((_, call)) => drop(call.send(())),
            None => room.running -= 1,
        }
        room.note_load();
    }

    /// Gives up a place; a slot already handed to it goes to the next.
    fn leave(&self, rank: Rank) {
        let mut room = self.lock();
        let was_called = room.waiting.remove(&rank).is_none();
        room.note_load();
        drop(room);
        if was_called {
            self.release();
        }
    }

    fn slot(&self) -> Slot {
        Slot {
            queue: self.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Room> {
        // Nothing panics while it holds the lock half-way through a change.
        self.room.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    /// Sequences that run now, this one included.
    pub(crate) fn batch_size(&self) -> u32 {
        self.queue.lock().running
    }
}

impl Room {
    fn note_load(&mut self) {
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

impl Drop for Place {
    fn drop(&mut self) {
        if !self.seated {
            self.queue.leave(self.rank);
        }
    }
}
