//! Admissions and routes that are counted before they are used.

use ractor::ActorRef;

use super::DecisionsMessage;

/// A count that is released on drop unless it is committed.
///
/// If a caller disconnects while the actor replies, the reply is dropped unread. Without the
/// release its host and organisation would count a request in flight forever: over days hosts look
/// loaded and organisations are refused (2102) while nothing runs.
#[derive(Debug)]
pub struct Reservation {
    actor: ActorRef<DecisionsMessage>,
    release: Option<DecisionsMessage>,
}

impl Reservation {
    /// Creates a reservation that this message releases.
    #[must_use]
    pub const fn new(actor: ActorRef<DecisionsMessage>, release: DecisionsMessage) -> Self {
        Self {
            actor,
            release: Some(release),
        }
    }

    /// Disables the release; from now on the holder must report the end.
    pub fn commit(&mut self) {
        self.release = None;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            // A stopped actor has no counts to correct.
            let _ = self.actor.cast(release);
        }
    }
}
