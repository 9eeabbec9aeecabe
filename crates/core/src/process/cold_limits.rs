//! Rate limits of cold servers, from their service's specification and the operators' allowance.

use std::time::Duration;

/// How far operators allow cold servers to exceed their service's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdAllowance {
    /// Multiple of the service's rate.
    pub factor: f64,
    /// Additional requests per second.
    pub slack: f64,
}

impl Default for ColdAllowance {
    /// The service's rate and nothing beyond.
    fn default() -> Self {
        Self {
            factor: 1.0,
            slack: 0.0,
        }
    }
}

/// Specification of a service's cold servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSpec {
    /// How long a server is cold after a start.
    pub cold_duration: Duration,
    /// Requests per second that a cold server accepts.
    pub requests_per_s: f64,
}

impl ColdSpec {
    /// The limits in force under the operators' allowance.
    #[must_use]
    pub fn with_allowance(&self, bounds: ColdAllowance) -> ColdLimits {
        ColdLimits {
            cold_duration: self.cold_duration,
            max_per_s: (self.requests_per_s * bounds.factor + bounds.slack).max(0.0),
        }
    }
}

/// Limits in force for a service's cold servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimits {
    /// How long a server is cold after a start.
    pub cold_duration: Duration,
    /// Requests that may reach one cold server in any second, from all entries together.
    pub max_per_s: f64,
}
