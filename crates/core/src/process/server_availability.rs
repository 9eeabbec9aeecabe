//! Whether and how much a backend server may be used now, and the reason if not.
//!
//! The same answer applies to all sends: plain requests, streams, retries and calls for pieces. The
//! server list derives it from the platform's listing and the operators' settings; what an entry
//! learns from its own sends is in [`ServerSelector`](super::ServerSelector).

use std::time::Duration;

use super::send_share::SendRateLimit;
use super::server_list::ServerRecord;

/// What may be sent to a server now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServerAvailability {
    /// Requests without a limit.
    Free,
    /// A limited rate until a time: it has just started, or its zone was just taken back.
    Cold {
        /// When it accepts requests without a limit again, by the clock of the process.
        until: Duration,
        /// Requests that may reach it in any second, from all entries together.
        max_per_s: f64,
    },
    /// A limited rate, which the server has reported.
    Limited {
        /// Requests per second that it accepts from all entries together.
        max_per_s: f64,
    },
    /// Nothing until a time: it has turned a request of this entry away and requested so.
    BackingOff {
        /// When it accepts requests again, by the clock of the process.
        until: Duration,
    },
    /// Nothing: it is about to leave.
    Leaving,
    /// Nothing: operators have evacuated its availability zone, or drain the server.
    Evacuated,
    /// Nothing: this incarnation of a server is not listed.
    Unlisted,
}

impl ServerAvailability {
    /// The limit on the sum of all entries' sends, if there is one.
    #[must_use]
    pub const fn rate_limit(self) -> Option<SendRateLimit> {
        match self {
            Self::Cold { max_per_s, .. } => Some(SendRateLimit::Cold { max_per_s }),
            Self::Limited { max_per_s } => Some(SendRateLimit::Limited { max_per_s }),
            Self::Free
            | Self::BackingOff { .. }
            | Self::Leaving
            | Self::Evacuated
            | Self::Unlisted => None,
        }
    }

    /// Whether any requests may be sent, even at a limited rate.
    #[must_use]
    pub const fn is_usable(self) -> bool {
        matches!(self, Self::Free | Self::Cold { .. } | Self::Limited { .. })
    }

    /// Whether any requests may be sent now or, without a change of the server's listing, later.
    #[must_use]
    pub const fn is_usable_in_time(self) -> bool {
        self.is_usable() || matches!(self, Self::BackingOff { .. })
    }

    /// When a requested backoff ends, if that is what keeps it.
    #[must_use]
    pub const fn backoff_until(self) -> Option<Duration> {
        match self {
            Self::BackingOff { until } => Some(until),
            _ => None,
        }
    }

    /// Name in log lines and counters.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::Cold { .. } => "cold",
            Self::Limited { .. } => "limited",
            Self::BackingOff { .. } => "backing-off",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Unlisted => "gone",
        }
    }
}

/// Servers of a service that a request may be sent to.
#[derive(Debug, Clone, Default)]
pub struct UsableServers<'a> {
    /// Those without a limit, and limited ones to which this entry may send one more request now.
    pub free: Vec<&'a ServerRecord>,
    /// Cold ones to which this entry may send one more request now.
    pub cold: Vec<&'a ServerRecord>,
}

impl UsableServers<'_> {
    /// Keeps only the servers for which a condition holds.
    pub fn retain(&mut self, is_kept: impl Fn(&ServerRecord) -> bool) {
        self.free.retain(|server| is_kept(server));
        self.cold.retain(|server| is_kept(server));
    }
}

impl<'a> FromIterator<&'a ServerRecord> for UsableServers<'a> {
    fn from_iter<T: IntoIterator<Item = &'a ServerRecord>>(servers: T) -> Self {
        Self {
            free: servers.into_iter().collect(),
            cold: Vec::new(),
        }
    }
}
