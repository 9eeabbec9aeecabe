use std::fmt;
use std::time::Duration;

/// The forecast for which a job was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedForecast {
    /// Forecast time from the submission to the engine's first event.
    pub forecast: Duration,
    /// Time within which it would have been admitted.
    pub limit: Duration,
    /// Index of the stage whose wait is the longest.
    pub stage: usize,
    /// What that stage lacks.
    pub bound: Bound,
}

/// What limits the output of a stage service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// Time of its servers.
    Time,
    /// Storage for results.
    Room,
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Time => "time",
            Self::Room => "room",
        })
    }
}
