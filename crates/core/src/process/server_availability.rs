//! Whether a backend server may be used now, how much, and by whose word it may not.
//!
//! One answer for all that send: plain requests, streams, repeats and calls for pieces. The list of
//! servers gives it from what the platform and the operators say; what an entry learns by its own
//! sends is in [`ServerSelector`](super::BackendChoice).

use std::time::Duration;

use super::send_share::SendRateLimit;
use super::server_list::ServerRecord;

/// What may be sent to a server now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServerAvailability {
    /// Any request.
    Free,
    /// Few requests until a time: it has just started, or its zone was just taken back.
    Cold {
        /// When it takes any request again, by the clock of the process.
        until: Duration,
        /// Requests that may reach it in any second, from all entries together.
        max_per_s: f64,
    },
    /// Few requests: it is in need and says how many it takes.
    Limited {
        /// Requests a second that it takes from all entries together.
        max_per_s: f64,
    },
    /// Nothing: it says that it leaves.
    Leaving,
    /// Nothing: operators have evacuated its availability zone.
    Evacuated,
    /// Nothing: the list names no such life of a server.
    Unlisted,
}

impl ServerAvailability {
    /// The bound on the sum of what all entries send, where there is one.
    #[must_use]
    pub const fn rate_limit(self) -> Option<SendRateLimit> {
        match self {
            Self::Cold { max_per_s, .. } => Some(SendRateLimit::Cold { max_per_s }),
            Self::Limited { max_per_s } => Some(SendRateLimit::Limited { max_per_s }),
            Self::Free | Self::Leaving | Self::Evacuated | Self::Unlisted => None,
        }
    }

    /// Whether any request may be sent, be it a few a second.
    #[must_use]
    pub const fn is_usable(self) -> bool {
        matches!(self, Self::Free | Self::Cold { .. } | Self::Limited { .. })
    }

    /// Name in lines and counters.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::Cold { .. } => "cold",
            Self::Limited { .. } => "limited",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Unlisted => "gone",
        }
    }
}

/// Servers of a service that a request may be sent to.
#[derive(Debug, Clone, Default)]
pub struct UsableServers<'a> {
    /// Those that take any request, and limited ones to which this entry may send one more now.
    pub free: Vec<&'a ServerRecord>,
    /// Cold ones to which this entry may send one more now.
    pub cold: Vec<&'a ServerRecord>,
}

impl<'a> FromIterator<&'a ServerRecord> for UsableServers<'a> {
    fn from_iter<T: IntoIterator<Item = &'a ServerRecord>>(servers: T) -> Self {
        Self {
            free: servers.into_iter().collect(),
            cold: Vec::new(),
        }
    }
}
