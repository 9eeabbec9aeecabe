//! What the decisions have set aside for whoever asked.

use ractor::ActorRef;

use super::Decision;

/// Something set aside with an answer, given back unless it is kept.
///
/// Guards against a caller who goes away while its question is under way: the answer is dropped
/// unread, and the host, or the organisation, would count a request in flight for good. Over days
/// such hosts look loaded and such organisations are refused (2102) while nothing runs. The answer
/// carries its own undoing, so it takes effect wherever the answer is dropped.
#[derive(Debug)]
pub struct Reservation {
    actor: ActorRef<Decision>,
    undo: Option<Decision>,
}

impl Reservation {
    /// Sets something aside that a message gives back.
    #[must_use]
    pub const fn new(actor: ActorRef<Decision>, undo: Decision) -> Self {
        Self {
            actor,
            undo: Some(undo),
        }
    }

    /// Keeps it; whoever keeps it reports its end.
    pub fn keep(&mut self) {
        self.undo = None;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(undo) = self.undo.take() {
            // A stopped actor has no books left to set right.
            let _ = self.actor.cast(undo);
        }
    }
}
