//! How an entry uses a listed backend server now, as operators see it.

use std::time::Duration;

use super::server_availability::ServerAvailability;

/// Use of a listed server: its availability, with durations instead of points in time, and the
/// ejection by this entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServerUse {
    /// Requests without a limit.
    Free,
    /// A limited rate for a time, as it has just started.
    Cold {
        /// Time until it accepts requests without a limit.
        left: Duration,
        /// Requests per second from all entries together.
        max_per_s: f64,
    },
    /// A limited rate, which it has reported.
    Limited {
        /// Requests per second from all entries together.
        max_per_s: f64,
    },
    /// Nothing for a time, as it has requested.
    BackingOff {
        /// Time until it accepts requests again.
        left: Duration,
    },
    /// Nothing: it is about to leave.
    Leaving,
    /// Nothing: operators have evacuated its availability zone.
    Evacuated,
    /// Nothing: operators drain it.
    Drained,
    /// Other servers first: it failed several times in a row and has not answered since.
    Ejected {
        /// Time since the ejection.
        elapsed: Duration,
    },
    /// Nothing: it is not listed.
    Unlisted,
}

impl ServerUse {
    /// Use of a server by its availability, whether it is drained and, if it is ejected, the time
    /// since then.
    ///
    /// An ejection is stated only where requests could be sent without it.
    #[must_use]
    pub fn of(
        availability: ServerAvailability,
        is_drained: bool,
        ejected_for: Option<Duration>,
        now: Duration,
    ) -> Self {
        match (availability, ejected_for) {
            (availability, Some(elapsed)) if availability.is_usable() => Self::Ejected { elapsed },
            (ServerAvailability::Free, _) => Self::Free,
            (ServerAvailability::Cold { until, max_per_s }, _) => Self::Cold {
                left: until.saturating_sub(now),
                max_per_s,
            },
            (ServerAvailability::Limited { max_per_s }, _) => Self::Limited { max_per_s },
            (ServerAvailability::BackingOff { until }, _) => Self::BackingOff {
                left: until.saturating_sub(now),
            },
            (ServerAvailability::Leaving, _) => Self::Leaving,
            (ServerAvailability::Evacuated, _) if is_drained => Self::Drained,
            (ServerAvailability::Evacuated, _) => Self::Evacuated,
            (ServerAvailability::Unlisted, _) => Self::Unlisted,
        }
    }

    /// Name in listings.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::Cold { .. } => "cold",
            Self::Limited { .. } => "limited",
            Self::BackingOff { .. } => "backing-off",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Drained => "drained",
            Self::Ejected { .. } => "ejected",
            Self::Unlisted => "not-listed",
        }
    }

    /// Requests per second from all entries together, if they are limited.
    #[must_use]
    pub const fn max_per_s(self) -> Option<f64> {
        match self {
            Self::Cold { max_per_s, .. } | Self::Limited { max_per_s } => Some(max_per_s),
            _ => None,
        }
    }

    /// Time until the state ends, if that is known.
    #[must_use]
    pub const fn left(self) -> Option<Duration> {
        match self {
            Self::Cold { left, .. } | Self::BackingOff { left } => Some(left),
            _ => None,
        }
    }

    /// Time since the ejection of an ejected server.
    #[must_use]
    pub const fn ejected_for(self) -> Option<Duration> {
        match self {
            Self::Ejected { elapsed } => Some(elapsed),
            _ => None,
        }
    }
}
