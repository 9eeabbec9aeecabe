//! Decides which callers' connections an entry keeps when it has as many as it can hold.
//!
//! Guards against clients that take all connections and send nothing, or stop before the end of a
//! request's head. Such a connection looks like an ordinary one that has only just been opened, or that
//! its caller keeps for the next request. So connections have no smaller share of time while there is
//! room. Once there is none, a new connection takes the place of one without a request: of the one that
//! has sent no whole head for longest, else of the one that has been unused for longest. Connections
//! with a request are kept, and if all have one, the new connection is refused.

use std::collections::BTreeMap;

/// Number of a connection within one [`ConnectionAdmission`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// The head of its first request.
    FirstHead,
    /// The head of another request.
    NextHead,
    /// The answer of a request.
    Answer,
}

/// A place in the order in which connections are closed.
type Place = (Phase, u64);

/// What becomes of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admitted {
    /// It is taken.
    Taken(ConnectionId),
    /// It takes the place of another one, which must be closed.
    InPlaceOf(ConnectionId, ConnectionId),
    /// It must be closed.
    Refused,
}

/// The open connections.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::process::{Admitted, ConnectionAdmission};
///
/// let mut admission = ConnectionAdmission::default();
/// let Admitted::Taken(silent) = admission.admit(1) else {
///     panic!("there is room");
/// };
/// let Admitted::InPlaceOf(second, closed) = admission.admit(1) else {
///     panic!("the silent connection has no request");
/// };
/// assert_eq!(closed, silent);
/// admission.begin_request(second);
/// assert_eq!(admission.admit(1), Admitted::Refused);
/// ```
#[derive(Debug, Clone, Default)]
pub struct ConnectionAdmission {
    /// Number of the next connection or place.
    next: u64,
    places: BTreeMap<ConnectionId, Place>,
    by_place: BTreeMap<Place, ConnectionId>,
}

impl ConnectionAdmission {
    /// Takes or refuses a new connection, with at most `max_connections` open.
    pub fn admit(&mut self, max_connections: usize) -> Admitted {
        let is_full = self.places.len() >= max_connections;
        let closed = if is_full {
            match self.longest_unused() {
                Some(closed) => Some(closed),
                None => return Admitted::Refused,
            }
        } else {
            None
        };
        let id = ConnectionId(self.next);
        self.place(id, Phase::FirstHead);
        match closed {
            Some(closed) => {
                self.remove(closed);
                Admitted::InPlaceOf(id, closed)
            }
            None => Admitted::Taken(id),
        }
    }

    /// Records that the head of a request has arrived.
    ///
    /// A connection that was to be closed meanwhile is taken again, as its request must be answered.
    pub fn begin_request(&mut self, id: ConnectionId) {
        self.place(id, Phase::Answer);
    }

    /// Records that the request's answer was sent.
    pub fn end_request(&mut self, id: ConnectionId) {
        if self.places.contains_key(&id) {
            self.place(id, Phase::NextHead);
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        if let Some(place) = self.places.remove(&id) {
            self.by_place.remove(&place);
        }
    }

    /// Whether a connection may stay open.
    #[must_use]
    pub fn is_open(&self, id: ConnectionId) -> bool {
        self.places.contains_key(&id)
    }

    /// Number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The connection to close first, if any has no request.
    fn longest_unused(&self) -> Option<ConnectionId> {
        let (place, id) = self.by_place.first_key_value()?;
        (place.0 < Phase::Answer).then_some(*id)
    }

    fn place(&mut self, id: ConnectionId, phase: Phase) {
        let place = (phase, self.next);
        self.next += 1;
        if let Some(previous) = self.places.insert(id, place) {
            self.by_place.remove(&previous);
        }
        self.by_place.insert(place, id);
    }
}
