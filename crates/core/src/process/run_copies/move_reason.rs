//! Why a run is moved.

use std::fmt;

/// Why a run is moved away from its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MoveReason {
    /// The engine leaves.
    Leaving,
    /// The engine's availability zone is evacuated.
    Evacuated,
    /// The engine is much slower than others of its service.
    Slow,
    /// The engine is full while another one is not.
    Uneven,
}

impl MoveReason {
    /// Name in counters and log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Slow => "slow",
            Self::Uneven => "uneven",
        }
    }

    /// Whether the run could also stay where it is.
    #[must_use]
    pub const fn is_elective(self) -> bool {
        matches!(self, Self::Slow | Self::Uneven)
    }
}

impl fmt::Display for MoveReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
