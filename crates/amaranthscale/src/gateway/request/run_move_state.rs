//! The move of one run away from its engine, as the relay of its stream sees it.

use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::MoveReason;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::super::process::{HeldCopy, MoveEnd};

/// Interval at which a stream's engine is checked for a reason to move its run; twice as long
/// without an event.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after a failed move from a slow or full engine until the engine is checked again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which the last events of a stopped run arrive, as its connection is closed then.
const LAST_EVENTS_TIMEOUT: Duration = Duration::from_millis(150);

#[derive(Debug)]
enum Phase {
    /// No move has begun.
    Waiting,
    /// The run is being copied for a reason.
    Copying(MoveReason, oneshot::Receiver<MoveEnd>),
    /// The run has stopped; the last events are on their way.
    Stopped {
        copy: Box<HeldCopy>,
        events: Option<u64>,
        overdue_at: Instant,
    },
    /// The move failed, and the run goes on until its engine has left.
    Failed,
}

/// State of the move of one run; each run is moved from a leaving engine at most once.
#[derive(Debug)]
pub(super) struct RunMoveState {
    engine: ServerIncarnation,
    /// Last event before this engine's first.
    first_after: u64,
    first_at: Option<Instant>,
    next_check: Instant,
    phase: Phase,
}

impl RunMoveState {
    pub(super) fn new(engine: ServerIncarnation, last_id: Option<u64>) -> Self {
        Self {
            engine,
            first_after: last_id.unwrap_or(0),
            first_at: None,
            next_check: Instant::now(),
            phase: Phase::Waiting,
        }
    }

    /// The engine that runs the request.
    pub(super) const fn engine(&self) -> &ServerIncarnation {
        &self.engine
    }

    /// Whether it is time to check for a reason to move the run.
    pub(super) fn is_check_due(&mut self) -> bool {
        let now = Instant::now();
        self.first_at.get_or_insert(now);
        let is_due = matches!(self.phase, Phase::Waiting) && now >= self.next_check;
        if is_due {
            self.next_check = now + CHECK_INTERVAL;
        }
        is_due
    }

    /// Mean time between the engine's events; none before the second.
    pub(super) fn event_time(&self, last_id: u64) -> Option<Duration> {
        let events = last_id.checked_sub(self.first_after + 1)?;
        let events = u32::try_from(events).ok().filter(|events| *events > 0)?;
        Some(self.first_at?.elapsed() / events)
    }

    pub(super) fn set_begun(&mut self, reason: MoveReason, end: oneshot::Receiver<MoveEnd>) {
        self.phase = Phase::Copying(reason, end);
    }

    /// Whether the run is being copied.
    pub(super) const fn is_copying(&self) -> bool {
        matches!(self.phase, Phase::Copying(..))
    }

    /// Whether the engine has stopped the run, as far as known.
    pub(super) const fn has_stopped(&self) -> bool {
        matches!(self.phase, Phase::Stopped { .. })
    }

    /// Whether the engine has told that it stopped the run.
    pub(super) const fn has_stopped_as_told(&self) -> bool {
        matches!(
            self.phase,
            Phase::Stopped {
                events: Some(_),
                ..
            }
        )
    }

    /// Waits until the copying ends, the last events of a stopped run are overdue, or the engine has
    /// to be checked again although it has sent no event. Returns whether last events are overdue.
    pub(super) async fn next_step(&mut self) -> bool {
        match &mut self.phase {
            Phase::Copying(reason, end) => {
                let (reason, end) = (*reason, end.await.ok());
                self.record(reason, end);
                false
            }
            Phase::Stopped { overdue_at, .. } => {
                tokio::time::sleep_until(*overdue_at).await;
                true
            }
            // The engine is checked from its first event on.
            Phase::Waiting if self.first_at.is_some() => {
                tokio::time::sleep_until(self.next_check + CHECK_INTERVAL).await;
                false
            }
            Phase::Waiting | Phase::Failed => std::future::pending().await,
        }
    }

    fn record(&mut self, reason: MoveReason, end: Option<MoveEnd>) {
        self.phase = match end {
            Some(MoveEnd::Stopped { copy, events }) => Phase::Stopped {
                copy,
                events,
                overdue_at: Instant::now() + LAST_EVENTS_TIMEOUT,
            },
            // Its engine may leave later, and it may still be slow or full.
            Some(MoveEnd::Continues(_)) | None if reason.is_elective() => {
                self.next_check = Instant::now() + RETRY_INTERVAL;
                Phase::Waiting
            }
            Some(MoveEnd::Continues(_)) | None => Phase::Failed,
        };
    }

    /// The copy of a stopped run, once its last events have arrived or are not waited for.
    pub(super) fn take_copy(
        &mut self,
        last_id: Option<u64>,
        is_overdue: bool,
    ) -> Option<Box<HeldCopy>> {
        let Phase::Stopped { events, .. } = &self.phase else {
            return None;
        };
        let has_all = events.is_some_and(|events| last_id.is_some_and(|last| last >= events));
        if !has_all && !is_overdue {
            return None;
        }
        match std::mem::replace(&mut self.phase, Phase::Failed) {
            Phase::Stopped { copy, .. } => Some(copy),
            _ => None,
        }
    }
}
