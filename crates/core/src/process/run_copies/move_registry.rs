//! Moves of runs that take place now, the limits on them, and the runs that are to be moved next.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{MoveOrder, MoveReason};
use crate::id::{CallId, ServerIncarnation};

/// Moves at once from an engine and to an engine by this entry: they share the links of both.
const MAX_AT_ENGINE: usize = 2;
/// Time after a move for which its target is no source of elective ones: the loads and estimates of
/// before the move still count.
const RECEIVED_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which an offer counts; a run that may still be moved renews it several times within it.
const OFFER_LIFETIME: Duration = Duration::from_millis(250);
/// Age from which an offer may be accepted, so that all runs of the engine have made theirs.
const MIN_OFFER_AGE: Duration = Duration::from_millis(100);

/// A move that takes place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BegunMove {
    /// The run.
    pub call: CallId,
    /// The engine that it leaves.
    pub from: ServerIncarnation,
    /// The engine to which it is copied.
    pub to: ServerIncarnation,
    /// Why it is moved.
    pub reason: MoveReason,
    /// When the move began.
    pub began_at: Duration,
}

/// Identifies a move in its registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MoveId(u64);

/// A run that could be moved.
#[derive(Debug, Clone, Copy)]
struct Offer {
    order: MoveOrder,
    since: Duration,
    renewed_at: Duration,
}

/// All moves of an entry that take place now.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::{BegunMove, MoveReason, MoveRegistry};
///
/// let mut moves = MoveRegistry::default();
/// let begun = BegunMove {
///     call: "c1".parse()?,
///     from: "p1".parse()?,
///     to: "p2".parse()?,
///     reason: MoveReason::Leaving,
///     began_at: Duration::from_secs(5),
/// };
/// let id = moves.try_begin(begun).unwrap();
/// assert_eq!(moves.list().count(), 1);
/// moves.end(id, Duration::from_secs(6));
/// assert_eq!(moves.list().count(), 0);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct MoveRegistry {
    next: u64,
    /// By number, the oldest first.
    active: BTreeMap<MoveId, BegunMove>,
    /// When engines received their latest moves.
    received: BTreeMap<ServerIncarnation, Duration>,
    /// By the engine that the runs would leave.
    offers: BTreeMap<ServerIncarnation, BTreeMap<CallId, Offer>>,
}

impl MoveRegistry {
    /// Whether another run may be moved away from an engine.
    #[must_use]
    pub fn may_leave(&self, source: &ServerIncarnation) -> bool {
        let active = self.active.values();
        active.filter(|one| one.from == *source).count() < MAX_AT_ENGINE
    }

    /// Whether another run may be moved to an engine.
    #[must_use]
    pub fn may_enter(&self, target: &ServerIncarnation) -> bool {
        let active = self.active.values();
        active.filter(|one| one.to == *target).count() < MAX_AT_ENGINE
    }

    /// Records the beginning of a move; none if one of the engines has too many.
    #[must_use]
    pub fn try_begin(&mut self, begun: BegunMove) -> Option<MoveId> {
        if !self.may_leave(&begun.from) || !self.may_enter(&begun.to) {
            return None;
        }
        let id = MoveId(self.next);
        self.next += 1;
        if let Some(offers) = self.offers.get_mut(&begun.from) {
            offers.remove(&begun.call);
        }
        self.record_received(begun.to.clone(), begun.began_at);
        self.active.insert(id, begun);
        Some(id)
    }

    /// Records the end of a move.
    pub fn end(&mut self, id: MoveId, now: Duration) {
        if let Some(ended) = self.active.remove(&id) {
            self.record_received(ended.to, now);
        }
    }

    /// Whether an engine has received a move in the last two seconds, and so is no source of an
    /// elective one.
    #[must_use]
    pub fn has_received(&self, engine: &ServerIncarnation, now: Duration) -> bool {
        let received_at = self.received.get(engine);
        received_at.is_some_and(|at| now.saturating_sub(*at) < RECEIVED_LIFETIME)
    }

    /// Offers a run for a move away from its engine, or renews the offer; whether the run is among
    /// the next ones that may leave.
    #[must_use]
    pub fn offer(
        &mut self,
        engine: &ServerIncarnation,
        call: &CallId,
        order: MoveOrder,
        now: Duration,
    ) -> bool {
        self.offers.retain(|_, offers| {
            offers.retain(|_, offer| now.saturating_sub(offer.renewed_at) <= OFFER_LIFETIME);
            !offers.is_empty()
        });
        let active = self.active.values();
        let leaving = active.filter(|one| one.from == *engine).count();
        let offers = self.offers.entry(engine.clone()).or_default();
        let since = offers.get(call).map_or(now, |offer| offer.since);
        let offer = Offer {
            order,
            since,
            renewed_at: now,
        };
        offers.insert(call.clone(), offer);
        let is_before = |(other, offer): &(&CallId, &Offer)| (offer.order, *other) < (order, call);
        now.saturating_sub(since) >= MIN_OFFER_AGE
            && leaving + offers.iter().filter(is_before).count() < MAX_AT_ENGINE
    }

    fn record_received(&mut self, engine: ServerIncarnation, now: Duration) {
        self.received
            .retain(|_, at| now.saturating_sub(*at) < RECEIVED_LIFETIME);
        self.received.insert(engine, now);
    }

    /// The moves that take place, the oldest first.
    pub fn list(&self) -> impl Iterator<Item = &BegunMove> {
        self.active.values()
    }
}
