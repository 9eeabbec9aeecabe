//! The load of a server that a selection was based on.

use std::fmt;
use std::time::Duration;

/// The load of a server at the time of a selection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadSnapshot {
    /// Requests of this entry at the server.
    pub in_flight: usize,
    /// Requests that the server last reported, running and waiting.
    pub reported: OptionalNumber,
    /// Milliseconds since the report.
    pub reported_age_ms: OptionalNumber,
    /// Duration of work on the server's host in percent of the usual one, if the report stated it.
    pub host_percent: OptionalNumber,
}

/// A number that may be unknown, which is then shown as `-`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OptionalNumber(pub Option<u64>);

impl OptionalNumber {
    /// The whole milliseconds of a time.
    #[must_use]
    pub fn of_ms(time: Duration) -> Self {
        Self(u64::try_from(time.as_millis()).ok())
    }
}

impl fmt::Display for OptionalNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => number.fmt(f),
            None => f.write_str("-"),
        }
    }
}
