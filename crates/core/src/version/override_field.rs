//! Names of the settings that an organisation can set.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Error for text that is not the name of a field.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidOverrideField {
        /// No field has this name.
        Unknown(text: String) {
            display("field {text:?} is unknown: use class, limit_per_second, weight, max_in_flight, pipelines or deadline_ms")
        }
    }
}

/// A setting that an organisation sets or inherits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OverrideField {
    /// Whether its work is paid or trial.
    Class,
    /// Limit on requests per second, over all entries.
    LimitPerSecond,
    /// Share within its class.
    Weight,
    /// Limit on requests in flight, over all entries.
    MaxInFlight,
    /// Pipelines that it may use.
    Pipelines,
    /// Default deadline of a request.
    DeadlineMs,
}

impl OverrideField {
    /// Every field, in display order.
    pub const ALL: &'static [Self] = &[
        Self::Class,
        Self::LimitPerSecond,
        Self::Weight,
        Self::MaxInFlight,
        Self::Pipelines,
        Self::DeadlineMs,
    ];

    /// The name used in the tree and on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Class => "class",
            Self::LimitPerSecond => "limit_per_second",
            Self::Weight => "weight",
            Self::MaxInFlight => "max_in_flight",
            Self::Pipelines => "pipelines",
            Self::DeadlineMs => "deadline_ms",
        }
    }
}

impl fmt::Display for OverrideField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for OverrideField {
    type Err = InvalidOverrideField;

    fn from_str(text: &str) -> Result<Self, InvalidOverrideField> {
        let found = Self::ALL.iter().find(|field| field.name() == text);
        found
            .copied()
            .ok_or_else(|| InvalidOverrideField::Unknown(text.to_owned()))
    }
}
