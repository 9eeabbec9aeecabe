//! An entry's share of what a cold server takes.
//!
//! A server that has just started takes so many requests a second from all entries together and
//! crashes well above that. No word between entries is needed to keep the bound: each works out
//! from the list of entries which of them send to the server, and how much. A few send, with larger
//! shares: the bound divided by hundreds of entries would be less than one request each.
//!
//! The senders of a server are found by rendezvous hash of the entries' addresses, so that an entry
//! that starts again has the place of its earlier life. Part of the bound is left unused for entries
//! whose lists differ for a moment.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::rendezvous;
use crate::id::ServerLife;

/// Span over which a cold server's requests are counted.
/// Source: the platform counts them in any second.
const WINDOW: Duration = Duration::from_secs(1);
/// Part of the bound that all entries together use, in hundredths: until they have heard of entries
/// that were added, those send as well, and two thirds more of them still keep within the bound.
const USED_PERCENT: f64 = 60.0;
/// Part of the bound that the owner of batches uses: two may act at once for a moment.
const OWNER_PERCENT: f64 = 50.0;
/// Sends that a sender should have: with fewer, a share is often left over at one entry while
/// another one has none left.
const SENDS_EACH: f64 = 4.0;
/// Cold servers that each entry should be able to reach, so that few have none at all when a whole
/// service is cold.
const SERVERS_EACH: f64 = 3.0;

/// How far operators let cold servers be used beyond what the servers say.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Times the servers' own rate.
    pub over: f64,
    /// Requests a second beyond that.
    pub slack: f64,
}

impl Default for ColdBounds {
    /// The servers' own rate and nothing beyond.
    fn default() -> Self {
        Self {
            over: 1.0,
            slack: 0.0,
        }
    }
}

/// What a service says of its cold servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSpec {
    /// How long a server is cold after a start.
    pub start: Duration,
    /// Requests a second that a cold server takes.
    pub requests_per_s: f64,
}

impl ColdSpec {
    /// What holds of the service's cold servers under the operators' bounds.
    #[must_use]
    pub fn under(&self, bounds: ColdBounds) -> ColdTerms {
        ColdTerms {
            start: self.start,
            most_per_s: (self.requests_per_s * bounds.over + bounds.slack).max(0.0),
        }
    }
}

/// What holds of a service's cold servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTerms {
    /// How long a server is cold after a start.
    pub start: Duration,
    /// Requests that may reach one cold server in any second, from all entries together.
    pub most_per_s: f64,
}

/// So many sends in any span of a length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdShare {
    sends: usize,
    span: Duration,
}

impl ColdShare {
    /// Nothing may be sent.
    pub const NONE: Self = Self {
        sends: 0,
        span: WINDOW,
    };

    /// The share of one entry among all that are announced, itself among them, at one of so many
    /// servers of a service.
    #[must_use]
    pub fn of_entry(
        server: &ServerLife,
        most_per_s: f64,
        servers: usize,
        own: SocketAddr,
        entries: &[SocketAddr],
    ) -> Self {
        let used_per_s = most_per_s * USED_PERCENT / 100.0;
        let sends = sends_each(used_per_s, servers, entries.len());
        let senders = whole(used_per_s / sends).clamp(1, entries.len().max(1));
        let score = |address: &SocketAddr| {
            let seed = rendezvous::score(2, server.id());
            (rendezvous::score(seed, address.to_string()), *address)
        };
        let own_score = score(&own);
        let before = entries.iter().filter(|entry| score(entry) > own_score);
        if before.count() >= senders {
            return Self::NONE;
        }
        if senders == entries.len() {
            // Few entries: what a whole number of sends leaves over is theirs too.
            return Self::of_rate(used_per_s / as_f64(senders));
        }
        Self::of_rate(sends.min(used_per_s))
    }

    /// The share of the owner of batches, which alone calls the servers of stages.
    #[must_use]
    pub fn of_owner(most_per_s: f64) -> Self {
        Self::of_rate(most_per_s * OWNER_PERCENT / 100.0)
    }

    fn of_rate(per_s: f64) -> Self {
        if per_s >= 1.0 {
            return Self {
                sends: whole(per_s),
                span: WINDOW,
            };
        }
        // One in a longer span; none where it would be longer than any server is cold.
        match Duration::try_from_secs_f64(1.0 / per_s) {
            Ok(span) => Self { sends: 1, span },
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
    pub const fn span(self) -> Duration {
        self.span
    }
}

/// Whole sends a second of each sender of one cold server: fewer where more senders are needed, so
/// that each entry reaches some, and never less than one, as all may send at once.
fn sends_each(used_per_s: f64, servers: usize, entries: usize) -> f64 {
    let by_reach = as_f64(entries) * SERVERS_EACH / as_f64(servers.max(1));
    (used_per_s / by_reach.max(1.0))
        .min(SENDS_EACH)
        .floor()
        .max(1.0)
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and rates are far below its bounds"
)]
const fn whole(number: f64) -> usize {
    number as usize
}

/// Sends of one process to cold servers in the last spans.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::{ColdShare, ColdSends};
///
/// let server = "a".parse()?;
/// let share = ColdShare::of_owner(4.0);
/// let mut sends = ColdSends::default();
/// let now = Duration::from_secs(10);
/// assert!(sends.try_send(&server, share, now));
/// assert!(sends.try_send(&server, share, now));
/// assert!(!sends.try_send(&server, share, now));
/// assert!(sends.try_send(&server, share, now + Duration::from_secs(1)));
/// # Ok::<(), amaranthscale_core::id::InvalidName>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct ColdSends {
    by_server: BTreeMap<ServerLife, Recent>,
}

#[derive(Debug, Clone, Default)]
struct Recent {
    /// When requests were given this server, which leave for it later.
    chosen_at: VecDeque<Duration>,
    sent_at: VecDeque<Duration>,
}

impl ColdSends {
    /// Whether one more request may be given a server, as far as choices of the last span go.
    #[must_use]
    pub fn has_place(&self, server: &ServerLife, share: ColdShare, now: Duration) -> bool {
        let recent = self.by_server.get(server);
        recent.map_or(0, |recent| within(&recent.chosen_at, share, now)) < share.sends
    }

    /// Counts a choice of a server.
    pub fn chosen(&mut self, server: &ServerLife, share: ColdShare, now: Duration) {
        let recent = self.by_server.entry(server.clone()).or_default();
        forget(&mut recent.chosen_at, share, now);
        recent.chosen_at.push_back(now);
    }

    /// Takes one send, asked for as its bytes leave; false if the share is used up.
    ///
    /// Guards against requests that were chosen at different times and leave together, as when
    /// pieces of many come at once or a frozen process wakes: choices alone would keep no bound.
    pub fn try_send(&mut self, server: &ServerLife, share: ColdShare, now: Duration) -> bool {
        let recent = self.by_server.entry(server.clone()).or_default();
        forget(&mut recent.sent_at, share, now);
        if recent.sent_at.len() >= share.sends {
            return false;
        }
        recent.sent_at.push_back(now);
        true
    }

    /// Whether one more send may leave now.
    #[must_use]
    pub fn may_send(&self, server: &ServerLife, share: ColdShare, now: Duration) -> bool {
        let recent = self.by_server.get(server);
        recent.map_or(0, |recent| within(&recent.sent_at, share, now)) < share.sends
    }

    /// Forgets servers that are cold no longer.
    pub fn retain(&mut self, is_cold: impl Fn(&ServerLife) -> bool) {
        self.by_server.retain(|server, _| is_cold(server));
    }
}

fn forget(times: &mut VecDeque<Duration>, share: ColdShare, now: Duration) {
    while times
        .front()
        .is_some_and(|at| now.saturating_sub(*at) >= share.span)
    {
        times.pop_front();
    }
}

fn within(times: &VecDeque<Duration>, share: ColdShare, now: Duration) -> usize {
    // The newest are last; a span holds the moment at its end but not the one at its start.
    let recent = times.iter().rev();
    let recent = recent.take_while(|at| now.saturating_sub(**at) < share.span);
    recent.count()
}
