//! Open connections of a server, and what each of them waits for.
//!
//! A connection without a request holds memory and a descriptor for a client that may never send one.
//! Their number is bounded; see [`ConnectionAdmission`] for which ones are closed.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use amaranthscale_core::process::{Admitted, ConnectionAdmission, ConnectionId};
use log::info;
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;

use super::client_limits::USUAL_FIELDS;

/// Shortest time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Heads with more than the usual fields that are taken in each interval; parsing them takes far longer than usual
/// ones.
const UNUSUAL_HEADS: usize = 10;
const UNUSUAL_INTERVAL: Duration = Duration::from_secs(1);

/// Requests sent ahead that are begun in one turn of the event loop.
const REQUESTS_AHEAD: usize = 1;

/// The connections of one server.
#[derive(Debug)]
pub(super) struct ConnectionSlots {
    state: Mutex<State>,
    /// Permits to begin a request that was sent before the answer to the one before it.
    ahead: Semaphore,
}

impl Default for ConnectionSlots {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            ahead: Semaphore::new(REQUESTS_AHEAD),
        }
    }
}

#[derive(Debug, Default)]
struct State {
    admission: ConnectionAdmission,
    /// Wakes the task of a connection that must be closed.
    wakers: BTreeMap<ConnectionId, Arc<Notify>>,
    /// Connections that were closed or refused since the last log line.
    closed: u64,
    logged_at: Option<Instant>,
    /// When the latest heads with unusually many fields arrived.
    unusual_heads: VecDeque<Instant>,
}

impl State {
    /// Counts a connection that had no room, and logs the count from time to time.
    fn record_closed(&mut self, max_connections: usize) {
        self.closed += 1;
        let now = Instant::now();
        let is_due = self
            .logged_at
            .is_none_or(|logged| now.duration_since(logged) >= LOG_INTERVAL);
        if is_due {
            info!(closed = self.closed, max = max_connections; "server: too many connections, closed some without a request");
            self.closed = 0;
            self.logged_at = Some(now);
        }
    }

    /// Whether a head with unusually many fields may be taken now.
    fn takes_unusual_head(&mut self) -> bool {
        let now = Instant::now();
        while self
            .unusual_heads
            .front()
            .is_some_and(|arrived| now.duration_since(*arrived) >= UNUSUAL_INTERVAL)
        {
            self.unusual_heads.pop_front();
        }
        self.unusual_heads.len() < UNUSUAL_HEADS
    }
}

impl ConnectionSlots {
    /// A slot for a new connection, for which another one may be closed; none if all others have a
    /// request.
    pub(super) fn admit(self: &Arc<Self>, max_connections: usize) -> Option<Arc<ConnectionSlot>> {
        let mut state = self.lock();
        let id = match state.admission.admit(max_connections) {
            Admitted::Taken(id) => id,
            Admitted::InPlaceOf(id, closed) => {
                state.record_closed(max_connections);
                if let Some(waker) = state.wakers.get(&closed) {
                    waker.notify_one();
                }
                id
            }
            Admitted::Refused => {
                state.record_closed(max_connections);
                return None;
            }
        };
        let closing = Arc::<Notify>::default();
        state.wakers.insert(id, Arc::clone(&closing));
        drop(state);
        Some(Arc::new(ConnectionSlot {
            id,
            slots: Arc::clone(self),
            closing,
            progress: Mutex::default(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How far a connection's current request has come.
#[derive(Debug, Default)]
struct Progress {
    stage: Stage,
    /// When the first bytes of a head arrived that is not complete.
    head_started: Option<Instant>,
    /// Whether bytes have arrived since the last request began.
    has_read: bool,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// No request has arrived.
    #[default]
    Waiting,
    /// A request has no complete answer yet.
    Answering,
    /// The answer is complete and may not be sent whole.
    Answered,
}

/// One connection; its room is free once this is dropped.
#[derive(Debug)]
pub(super) struct ConnectionSlot {
    id: ConnectionId,
    slots: Arc<ConnectionSlots>,
    closing: Arc<Notify>,
    progress: Mutex<Progress>,
}

impl ConnectionSlot {
    /// Waits until the connection must be closed.
    pub(super) async fn until_closed(&self) {
        loop {
            self.closing.notified().await;
            // A request may have arrived since the connection was chosen.
            if !self.slots.lock().admission.is_open(self.id) {
                return;
            }
        }
    }

    /// Most fields of a head on this connection, of at most `max_fields`.
    pub(super) fn max_fields(&self, max_fields: usize) -> usize {
        if max_fields <= USUAL_FIELDS || self.slots.lock().takes_unusual_head() {
            max_fields
        } else {
            USUAL_FIELDS
        }
    }

    /// Records a head with more than the usual fields.
    pub(super) fn record_unusual_head(&self) {
        self.slots.lock().unusual_heads.push_back(Instant::now());
    }

    /// When the first bytes of the head arrived that is being read, if any is.
    pub(super) fn head_started(&self) -> Option<Instant> {
        self.progress().head_started
    }

    /// Records that bytes have arrived.
    pub(super) fn record_read(&self) {
        let mut progress = self.progress();
        progress.has_read = true;
        if progress.stage == Stage::Waiting && progress.head_started.is_none() {
            progress.head_started = Some(Instant::now());
        }
    }

    /// Records that all bytes of answers so far are sent.
    pub(super) fn record_flushed(&self) {
        let mut progress = self.progress();
        if progress.stage == Stage::Answered {
            progress.stage = Stage::Waiting;
            drop(progress);
            self.slots.lock().admission.end_request(self.id);
        }
    }

    /// Records that a request's head has arrived; the request is open until the result is dropped.
    pub(super) fn begin_request(self: &Arc<Self>) -> OpenAnswer {
        let mut progress = self.progress();
        progress.stage = Stage::Answering;
        progress.head_started = None;
        let is_ahead = !std::mem::take(&mut progress.has_read);
        drop(progress);
        if !is_ahead {
            self.slots.lock().admission.begin_request(self.id);
        }
        OpenAnswer {
            slot: Arc::clone(self),
            is_ahead,
        }
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut state = self.slots.lock();
        state.admission.remove(self.id);
        state.wakers.remove(&self.id);
    }
}

/// A request whose answer is not complete.
#[derive(Debug)]
pub(super) struct OpenAnswer {
    slot: Arc<ConnectionSlot>,
    /// Whether its head was read together with an earlier request.
    is_ahead: bool,
}

impl OpenAnswer {
    /// Waits for a request's turn.
    ///
    /// A request that was sent ahead waits for a turn of the event loop in which no other such request
    /// begins, so that connections full of them leave most of each turn to the other connections. Until
    /// then its connection may be closed for a new one.
    pub(super) async fn until_turn(&self) {
        if self.is_ahead {
            // The semaphore is never closed.
            let _permit = self.slot.slots.ahead.acquire().await;
            tokio::task::yield_now().await;
            self.slot.slots.lock().admission.begin_request(self.slot.id);
        }
    }
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.slot.progress().stage = Stage::Answered;
    }
}

/// Waits until a head has been arriving for longer than a limit.
pub(super) async fn until_head_overdue(slot: &ConnectionSlot, limit: Duration) {
    let mut timer = None;
    std::future::poll_fn(|task: &mut Context<'_>| {
        let Some(started) = slot.head_started() else {
            timer = None;
            return Poll::Pending;
        };
        let due = started + limit;
        let timer = timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(due)));
        if timer.deadline() != due {
            timer.as_mut().reset(due);
        }
        timer.as_mut().poll(task)
    })
    .await;
}
