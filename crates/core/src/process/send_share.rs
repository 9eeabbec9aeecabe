//! An entry's share of a send rate limit that all entries keep together.
//!
//! A server that has just started accepts a limited number of requests per second from all entries
//! together and crashes well above that; an overloaded server reports the rate that it accepts.
//! Such a limit needs no communication: each entry computes from the list of entries which of them
//! send to the server, and how much. A few of them send, with larger shares: divided by hundreds of
//! entries, the limit would be less than one request each.
//!
//! The senders of a server are selected by rendezvous hash of the entries' addresses, so that a
//! restarted entry keeps its share. Part of the limit is left unused for entries whose lists differ
//! for a moment.

use std::net::SocketAddr;
use std::time::Duration;

use super::count::as_f64;
use super::rendezvous;
use crate::id::ServerIncarnation;

/// Window in which a cold server's requests are counted. Source: the platform counts them in any
/// second.
pub(super) const WINDOW: Duration = Duration::from_secs(1);
/// Percentage of the limit that all entries together use: until they have learnt of added entries,
/// those send as well, and two thirds more entries still keep within the limit.
const USED_PERCENT: f64 = 60.0;
/// Percentage of the limit that the batch owner uses: two owners may be active at once for a
/// moment.
const OWNER_PERCENT: f64 = 50.0;
/// Sends that a sender should have: with fewer, a share is often left unused at one entry while
/// another has none left.
const TARGET_SENDS: f64 = 4.0;
/// Rate-limited servers of a service that each entry should be able to reach, so that few entries
/// have none when all servers of a service are cold or limited.
const MIN_REACHED_SERVERS: usize = 3;

/// Percentage of a reported limit that all entries together use. The server counts over longer
/// windows than for cold servers, so less is left unused for lists that differ.
const LIMIT_USED_PERCENT: f64 = 90.0;
/// The same for the batch owner: two owners may be active at once for a moment.
const LIMIT_OWNER_PERCENT: f64 = 70.0;
/// Senders of a limited server beyond two per request per second that it accepts: each may send one
/// request more than its rate in the window in which the server counts.
const EXTRA_SENDERS: usize = 3;

/// Limit on the sum of all entries' sends to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SendRateLimit {
    /// The server is cold.
    Cold {
        /// Requests that may reach it in any second.
        max_per_s: f64,
    },
    /// The server has reported a limit.
    Limited {
        /// Requests per second that it accepts.
        max_per_s: f64,
    },
}

impl SendRateLimit {
    /// The share of one of the announced entries, given the number of the service's servers.
    #[must_use]
    pub fn share_of_entry(
        self,
        server: &ServerIncarnation,
        servers: usize,
        own_address: SocketAddr,
        entries: &[SocketAddr],
    ) -> SendShare {
        match self {
            Self::Cold { max_per_s } => {
                SendShare::of_entry(server, max_per_s, servers, own_address, entries)
            }
            Self::Limited { max_per_s } => {
                SendShare::of_entry_at_limit(server, max_per_s, servers, own_address, entries)
            }
        }
    }

    /// The share of the batch owner, which is the only caller of stage servers.
    #[must_use]
    pub fn share_of_owner(self) -> SendShare {
        match self {
            Self::Cold { max_per_s } => SendShare::of_owner(max_per_s),
            Self::Limited { max_per_s } => {
                SendShare::evenly(max_per_s * LIMIT_OWNER_PERCENT / 100.0)
            }
        }
    }
}

/// A number of sends in any window of a length.
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

    /// The share of one of the announced entries at a cold server, given the number of the
    /// service's servers.
    #[must_use]
    pub fn of_entry(
        server: &ServerIncarnation,
        max_per_s: f64,
        servers: usize,
        own_address: SocketAddr,
        entries: &[SocketAddr],
    ) -> Self {
        let used_per_s = max_per_s * USED_PERCENT / 100.0;
        let sends = sends_per_sender(used_per_s, servers, entries.len());
        let senders = truncate(used_per_s / sends).clamp(1, entries.len().max(1));
        if !is_sender(server, senders, own_address, entries) {
            return Self::NONE;
        }
        if senders == entries.len() {
            // With few entries all of them send, and also share what rounding to whole sends leaves
            // over.
            return Self::of_rate(used_per_s / as_f64(senders));
        }
        Self::of_rate(sends.min(used_per_s))
    }

    /// The share of one of the announced entries at a server that has reported a limit.
    ///
    /// The number of senders is such that each has one request per second, or that each entry
    /// reaches some servers of the service; in the latter case a share may be one send in a window
    /// of several seconds.
    #[must_use]
    pub fn of_entry_at_limit(
        server: &ServerIncarnation,
        max_per_s: f64,
        servers: usize,
        own_address: SocketAddr,
        entries: &[SocketAddr],
    ) -> Self {
        let used_per_s = max_per_s * LIMIT_USED_PERCENT / 100.0;
        let reached = servers.clamp(1, MIN_REACHED_SERVERS);
        let for_reach = (entries.len() * reached).div_ceil(servers.max(1));
        let max_senders = truncate(used_per_s * 2.0) + EXTRA_SENDERS;
        let senders = truncate(used_per_s).max(for_reach.min(max_senders));
        let senders = senders.clamp(1, entries.len().max(1));
        if !is_sender(server, senders, own_address, entries) {
            return Self::NONE;
        }
        Self::evenly(used_per_s / as_f64(senders))
    }

    /// A rate as evenly as whole sends allow: at once no more than those of one second.
    fn evenly(per_s: f64) -> Self {
        let sends = truncate(per_s.ceil()).max(1);
        match Duration::try_from_secs_f64(as_f64(sends) / per_s) {
            Ok(span) => Self {
                sends,
                window: span,
            },
            Err(_endless) => Self::NONE,
        }
    }

    /// The share of the batch owner at a cold server.
    #[must_use]
    pub fn of_owner(max_per_s: f64) -> Self {
        Self::of_rate(max_per_s * OWNER_PERCENT / 100.0)
    }

    fn of_rate(per_s: f64) -> Self {
        if per_s >= 1.0 {
            return Self {
                sends: truncate(per_s),
                window: WINDOW,
            };
        }
        // One send in a longer window; none if the window would be longer than any server is cold.
        match Duration::try_from_secs_f64(1.0 / per_s) {
            Ok(span) => Self {
                sends: 1,
                window: span,
            },
            Err(_endless) => Self::NONE,
        }
    }

    /// Number of sends in a window.
    #[must_use]
    pub const fn sends(self) -> usize {
        self.sends
    }

    /// Length of the window.
    #[must_use]
    pub const fn window(self) -> Duration {
        self.window
    }
}

/// Whether an entry is among the given number of senders of a server.
fn is_sender(
    server: &ServerIncarnation,
    senders: usize,
    own_address: SocketAddr,
    entries: &[SocketAddr],
) -> bool {
    let score = |address: &SocketAddr| {
        let seed = rendezvous::score(2, server.id());
        (rendezvous::score(seed, address.to_string()), *address)
    };
    let own_score = score(&own_address);
    let ahead = entries.iter().filter(|entry| score(entry) > own_score);
    ahead.count() < senders
}

/// Whole sends per second of each sender of a cold server: fewer if more senders are needed for
/// each entry to reach some servers, and at least one, as all may send at once.
fn sends_per_sender(used_per_s: f64, servers: usize, entries: usize) -> f64 {
    let for_reach = as_f64(entries * MIN_REACHED_SERVERS) / as_f64(servers.max(1));
    (used_per_s / for_reach.max(1.0))
        .min(TARGET_SENDS)
        .floor()
        .max(1.0)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and rates are far below its bounds"
)]
const fn truncate(number: f64) -> usize {
    number as usize
}
