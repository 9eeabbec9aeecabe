//! The orders of one sidecar to its engine.

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
    /// What the engine is to run.
    pub assignment: Assignment,
    /// Whether the order before it got no answer; close that order's connection first.
    pub replaces_unanswered: bool,
}

/// Decides which order the engine gets next, one at a time.
#[derive(Debug, Clone)]
pub struct EngineOrders {
    host: HostId,
    retry_after: Duration,
    refusal_pause: Duration,
    view: PlacementView,
    in_flight: Option<InFlight>,
    /// What the engine has confirmed, or was last heard to run.
    confirmed: Option<Assignment>,
    /// Until when a refused order waits.
    not_before: SidecarClock,
}

/// An order whose answer has not come.
#[derive(Debug, Clone)]
struct InFlight {
    number: PlacementVersion,
    assignment: Assignment,
    sent: SidecarClock,
}

impl EngineOrders {
    /// Starts without knowing the placement or the engine.
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

    /// Sets how long a refused order waits; as long as a silent one, if this is not called.
    #[must_use]
    pub fn with_refusal_pause(mut self, pause: Duration) -> Self {
        self.refusal_pause = pause;
        self
    }

    /// Takes the placement row as read.
    pub fn observe(&mut self, row: &Row) -> PlacementUpdate {
        self.view.observe(row)
    }

    /// The newest placement seen.
    #[must_use]
    pub fn view(&self) -> &PlacementView {
        &self.view
    }

    /// The order to send now, if one is due.
    ///
    /// Nothing is due before the placement was read: a restarted sidecar does not know what its
    /// earlier life ordered, and an older order would undo it.
    pub fn next(&mut self, now: SidecarClock) -> Option<EngineOrder> {
        let is_waiting = |order: &InFlight| order.sent.until(now) < self.retry_after;
        if !self.view.is_read()
            || now < self.not_before
            || self.in_flight.as_ref().is_some_and(is_waiting)
        {
            return None;
        }
        let wanted = self.wanted()?;
        // Two orders under way at once may be carried out in either order by an engine that
        // ignores the number. So the next goes out only after an answer, or after silence and on a
        // new connection, and it then carries what is wanted now.
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

    /// Takes the engine's word that it has carried out an order.
    ///
    /// An answer to an order that was replaced meanwhile is dropped.
    pub fn confirmed(&mut self, number: PlacementVersion) {
        if let Some(order) = self.in_flight.take_if(|order| order.number == number) {
            self.confirmed = Some(order.assignment);
        }
    }

    /// Takes the engine's refusal of an order; after a while it is due again, as wanted then.
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

    /// Takes what the engine reports to run, as read while no order was under way.
    ///
    /// An engine that restarted has forgotten its orders, and one that ignores the number may have
    /// carried out an old one late. Its own report shows either, and the order is due again.
    pub fn observe_running(&mut self, running: Assignment) {
        if self.in_flight.is_none() {
            self.confirmed = Some(running);
        }
    }

    /// What the engine is to run; none while the placement does not name it.
    #[must_use]
    pub fn wanted(&self) -> Option<Assignment> {
        self.view.placement().assignments.get(&self.host).cloned()
    }
}
