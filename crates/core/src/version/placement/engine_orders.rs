//! Orders from one sidecar to its engine.

use std::time::Duration;

use super::{Assignment, PlacementUpdate, PlacementView};
use crate::id::{HostId, PlacementVersion};
use crate::unit::SidecarClock;
use crate::wire::Row;

/// An order to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Fencing number of the order.
    pub number: PlacementVersion,
    /// Models and phases that the engine should run.
    pub assignment: Assignment,
    /// Whether the previous order got no answer; its connection must be closed first.
    pub replaces_unanswered: bool,
}

/// Decides which order to send to the engine next, one at a time.
#[derive(Debug, Clone)]
pub struct EngineOrders {
    host: HostId,
    retry_after: Duration,
    refusal_pause: Duration,
    view: PlacementView,
    in_flight: Option<InFlight>,
    /// What the engine last confirmed or reported as running.
    confirmed: Option<Assignment>,
    /// Time before which no order is sent after a refusal.
    not_before: SidecarClock,
}

/// An order that has not been answered.
#[derive(Debug, Clone)]
struct InFlight {
    number: PlacementVersion,
    assignment: Assignment,
    sent: SidecarClock,
}

impl EngineOrders {
    /// Creates the state before the placement or the engine's report has been read.
    #[must_use]
    pub fn new(host: HostId, retry_after: Duration) -> Self {
        Self {
            host,
            retry_after,
            refusal_pause: retry_after,
            view: PlacementView::new(),
            in_flight: None,
            confirmed: None,
            not_before: SidecarClock::default(),
        }
    }

    /// Sets the delay after a refused order; by default the same as after an unanswered one.
    #[must_use]
    pub fn with_refusal_pause(mut self, pause: Duration) -> Self {
        self.refusal_pause = pause;
        self
    }

    /// Applies the placement row as read.
    pub fn observe(&mut self, row: &Row) -> PlacementUpdate {
        self.view.observe(row)
    }

    /// The newest placement read.
    #[must_use]
    pub fn view(&self) -> &PlacementView {
        &self.view
    }

    /// The order to send now, if one is due.
    ///
    /// Nothing is due before the placement was read: a restarted sidecar does not know what its
    /// earlier incarnation ordered, and an older order would undo it.
    pub fn next(&mut self, now: SidecarClock) -> Option<EngineOrder> {
        let is_waiting = |order: &InFlight| order.sent.until(now) < self.retry_after;
        if !self.view.is_read()
            || now < self.not_before
            || self.in_flight.as_ref().is_some_and(is_waiting)
        {
            return None;
        }
        let wanted = self.wanted()?;
        // An engine that ignores the fencing number may carry out two orders in flight in either
        // sequence. So the next order is sent only after an answer, or after a timeout on a new
        // connection, and contains what is wanted now.
        let replaces_unanswered = self.in_flight.is_some();
        if !replaces_unanswered && self.confirmed.as_ref() == Some(&wanted) {
            return None;
        }
        let number = self.view.version();
        self.in_flight = Some(InFlight {
            number,
            assignment: wanted.clone(),
            sent: now,
        });
        Some(EngineOrder {
            number,
            assignment: wanted,
            replaces_unanswered,
        })
    }

    /// Records that the engine has carried out an order.
    ///
    /// An answer to an order that has been replaced is ignored.
    pub fn confirmed(&mut self, number: PlacementVersion) {
        if let Some(order) = self.in_flight.take_if(|order| order.number == number) {
            self.confirmed = Some(order.assignment);
        }
    }

    /// Records that the engine refused an order; after a delay one is due again, as wanted then.
    pub fn refused(&mut self, number: PlacementVersion, now: SidecarClock) {
        if self
            .in_flight
            .take_if(|order| order.number == number)
            .is_some()
        {
            self.confirmed = None;
            self.not_before = now.plus(self.refusal_pause);
        }
    }

    /// Records what the engine reports as running; ignored while an order is in flight.
    ///
    /// A restarted engine has lost its orders, and one that ignores the fencing number may have
    /// carried out an old order late. Its report shows either case, and the order is due again.
    pub fn observe_running(&mut self, running: Assignment) {
        if self.in_flight.is_none() {
            self.confirmed = Some(running);
        }
    }

    /// The engine's assignment; `None` while the placement does not contain it.
    #[must_use]
    pub fn wanted(&self) -> Option<Assignment> {
        self.view.placement().assignments.get(&self.host).cloned()
    }
}
