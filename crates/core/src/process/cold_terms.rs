//! What cold servers take: the servers' own words and the operators' bounds.

use std::time::Duration;

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
