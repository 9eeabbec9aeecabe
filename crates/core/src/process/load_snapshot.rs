//! What a choice of server was made by.

use std::fmt;
use std::time::Duration;

/// The load of a server as a choice saw it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadSnapshot {
    /// Requests of this entry at the server.
    pub in_flight: usize,
    /// Requests that the server last told of, in work and waiting.
    pub reported: OptionalNumber,
    /// Milliseconds since it told.
    pub reported_age_ms: OptionalNumber,
}

/// A number that may not be known; shown as `-` then.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OptionalNumber(pub Option<u64>);

impl OptionalNumber {
    pub(super) fn of_ms(time: Duration) -> Self {
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
