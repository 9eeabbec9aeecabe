//! What cold servers take: the servers' own words and the operators' bounds.

use std::time::Duration;

/// How far operators let cold servers be used beyond what the servers say.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdAllowance {
    /// Times the servers' own rate.
    pub factor: f64,
    /// Requests a second beyond that.
    pub slack: f64,
}

impl Default for ColdAllowance {
    /// The servers' own rate and nothing beyond.
    fn default() -> Self {
        Self {
            factor: 1.0,
            slack: 0.0,
        }
    }
}

/// What a service says of its cold servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSpec {
    /// How long a server is cold after a start.
    pub cold_duration: Duration,
    /// Requests a second that a cold server takes.
    pub requests_per_s: f64,
}

impl ColdSpec {
    /// What holds of the service's cold servers under the operators' bounds.
    #[must_use]
    pub fn with_allowance(&self, bounds: ColdAllowance) -> ColdLimits {
        ColdLimits {
            cold_duration: self.cold_duration,
            max_per_s: (self.requests_per_s * bounds.factor + bounds.slack).max(0.0),
        }
    }
}

/// What holds of a service's cold servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimits {
    /// How long a server is cold after a start.
    pub cold_duration: Duration,
    /// Requests that may reach one cold server in any second, from all entries together.
    pub max_per_s: f64,
}
