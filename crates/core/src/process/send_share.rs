//! An entry's share of what all entries together may send to a server.
//!
//! A server that has just started takes so many requests a second from all entries together and
//! crashes well above that; one in need names the requests a second that it takes. No word between
//! entries is needed to keep such a bound: each works out from the list of entries which of them send
//! to the server, and how much. A few send, with larger shares: the bound divided by hundreds of
//! entries would be less than one request each.
//!
//! The senders of a server are found by rendezvous hash of the entries' addresses, so that an entry
//! that starts again has the place of its earlier life. Part of the bound is left unused for entries
//! whose lists differ for a moment.

use std::net::SocketAddr;
use std::time::Duration;

use super::count::as_f64;
use super::rendezvous;
use crate::id::ServerIncarnation;

/// Span over which a cold server's requests are counted.
/// Source: the platform counts them in any second.
pub(super) const WINDOW: Duration = Duration::from_secs(1);
/// Part of the bound that all entries together use, in hundredths: until they have heard of entries
/// that were added, those send as well, and two thirds more of them still keep within the bound.
const USED_PERCENT: f64 = 60.0;
/// Part of the bound that the owner of batches uses: two may act at once for a moment.
const OWNER_PERCENT: f64 = 50.0;
/// Sends that a sender should have: with fewer, a share is often left over at one entry while
/// another one has none left.
const SENDS_EACH: f64 = 4.0;
/// Bounded servers of a service that each entry should be able to reach, so that few have none at all when a
/// whole service is cold or in need.
const SERVERS_EACH: usize = 3;

/// Part of a limit that all entries together use, in hundredths. The server counts over longer spans than
/// for cold ones, so less is kept back for lists that differ.
const LIMIT_USED_PERCENT: f64 = 90.0;
/// The same for the owner of batches: two may act at once for a moment.
const LIMIT_OWNER_PERCENT: f64 = 70.0;
/// Senders of a limited server beyond two for each request a second that it takes: each may have one
/// send more than its rate in the span in which the server counts.
const SENDERS_BEYOND: usize = 3;

/// What bounds the sum of all entries' sends to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SendRateLimit {
    /// It is cold.
    Cold {
        /// Requests that may reach it in any second.
        max_per_s: f64,
    },
    /// It is in need.
    Limited {
        /// Requests a second that it takes.
        max_per_s: f64,
    },
}

impl SendRateLimit {
    /// The share of one entry among all that are announced, itself among them, at one of so many servers
    /// of a service.
    #[must_use]
    pub fn share_of_entry(
        self,
        server: &ServerIncarnation,
        servers: usize,
        own: SocketAddr,
        entries: &[SocketAddr],
    ) -> SendShare {
        match self {
            Self::Cold { max_per_s } => {
                SendShare::of_entry(server, max_per_s, servers, own, entries)
            }
            Self::Limited { max_per_s } => {
                SendShare::of_entry_at_limit(server, max_per_s, servers, own, entries)
            }
        }
    }

    /// The share of the owner of batches, which alone calls the servers of stages.
    #[must_use]
    pub fn share_of_owner(self) -> SendShare {
        match self {
            Self::Cold { max_per_s } => SendShare::of_owner(max_per_s),
            Self::Limited { max_per_s } => {
                SendShare::spread(max_per_s * LIMIT_OWNER_PERCENT / 100.0)
            }
        }
    }
}

/// So many sends in any span of a length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendShare {
    pub(super) sends: usize,
    pub(super) window: Duration,
}

impl SendShare {
    /// Nothing may be sent.
    pub const NONE: Self = Self {
        sends: 0,
        window: WINDOW,
    };

    /// The share of one entry among all that are announced, itself among them, at one of so many
    /// servers of a service.
    #[must_use]
    pub fn of_entry(
        server: &ServerIncarnation,
        max_per_s: f64,
        servers: usize,
        own: SocketAddr,
        entries: &[SocketAddr],
    ) -> Self {
        let used_per_s = max_per_s * USED_PERCENT / 100.0;
        let sends = sends_each(used_per_s, servers, entries.len());
        let senders = whole(used_per_s / sends).clamp(1, entries.len().max(1));
        if !is_sender(server, senders, own, entries) {
            return Self::NONE;
        }
        if senders == entries.len() {
            // Few entries: what a whole number of sends leaves over is theirs too.
            return Self::of_rate(used_per_s / as_f64(senders));
        }
        Self::of_rate(sends.min(used_per_s))
    }

    /// The share of one entry at a server that names a limit.
    ///
    /// As many entries send as leave each a request a second, or as each needs to reach some servers of the
    /// service; then one send of a share may be in a span of several seconds.
    #[must_use]
    pub fn of_entry_at_limit(
        server: &ServerIncarnation,
        max_per_s: f64,
        servers: usize,
        own: SocketAddr,
        entries: &[SocketAddr],
    ) -> Self {
        let used_per_s = max_per_s * LIMIT_USED_PERCENT / 100.0;
        let reached = servers.clamp(1, SERVERS_EACH);
        let by_reach = (entries.len() * reached).div_ceil(servers.max(1));
        let most = whole(used_per_s * 2.0) + SENDERS_BEYOND;
        let senders = whole(used_per_s).max(by_reach.min(most));
        let senders = senders.clamp(1, entries.len().max(1));
        if !is_sender(server, senders, own, entries) {
            return Self::NONE;
        }
        Self::spread(used_per_s / as_f64(senders))
    }

    /// As even as whole sends are: no more of them at once than a second's.
    fn spread(per_s: f64) -> Self {
        let sends = whole(per_s.ceil()).max(1);
        match Duration::try_from_secs_f64(as_f64(sends) / per_s) {
            Ok(span) => Self {
                sends,
                window: span,
            },
            Err(_endless) => Self::NONE,
        }
    }

    /// The share of the owner of batches at a cold server.
    #[must_use]
    pub fn of_owner(max_per_s: f64) -> Self {
        Self::of_rate(max_per_s * OWNER_PERCENT / 100.0)
    }

    fn of_rate(per_s: f64) -> Self {
        if per_s >= 1.0 {
            return Self {
                sends: whole(per_s),
                window: WINDOW,
            };
        }
        // One in a longer span; none where it would be longer than any server is cold.
        match Duration::try_from_secs_f64(1.0 / per_s) {
            Ok(span) => Self {
                sends: 1,
                window: span,
            },
            Err(_endless) => Self::NONE,
        }
    }

    /// Sends in a span.
    #[must_use]
    pub const fn sends(self) -> usize {
        self.sends
    }

    /// Length of the span.
    #[must_use]
    pub const fn window(self) -> Duration {
        self.window
    }
}

/// Whether an entry is among so many senders of a server.
fn is_sender(
    server: &ServerIncarnation,
    senders: usize,
    own: SocketAddr,
    entries: &[SocketAddr],
) -> bool {
    let score = |address: &SocketAddr| {
        let seed = rendezvous::score(2, server.id());
        (rendezvous::score(seed, address.to_string()), *address)
    };
    let own_score = score(&own);
    let before = entries.iter().filter(|entry| score(entry) > own_score);
    before.count() < senders
}

/// Whole sends a second of each sender of one cold server: fewer where more senders are needed, so
/// that each entry reaches some, and never less than one, as all may send at once.
fn sends_each(used_per_s: f64, servers: usize, entries: usize) -> f64 {
    let by_reach = as_f64(entries * SERVERS_EACH) / as_f64(servers.max(1));
    (used_per_s / by_reach.max(1.0))
        .min(SENDS_EACH)
        .floor()
        .max(1.0)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and rates are far below its bounds"
)]
const fn whole(number: f64) -> usize {
    number as usize
}
