//! Scenarios of load and faults.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

quick_error! {
    /// A name that is not the name of a scenario.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidScenario {
        /// The scenario is unknown.
        Unknown(name: String) {
            display("scenario {name:?} is unknown")
        }
    }
}

/// Load or faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// Usual load without faults.
    Steady,
    /// Trial organisations send ten times as many requests.
    TrialSurge,
    /// A burst of long case files overloads reranking.
    LongCaseFiles,
    /// One server of each stage in turn is five times as slow.
    Straggler,
    /// One server of each stage in turn crashes.
    ServerDies,
    /// One server of each stage in turn freezes.
    ServerFreezes,
    /// All servers of an availability zone stop answering.
    ZoneGoes,
    /// The platform's table is unavailable.
    StoreAway,
    /// A tenth of the hosts is replaced while the host list lags by ten seconds.
    HostListLag,
    /// Generation loses most of its capacity for a time, and every caller repeats failed requests.
    RetryStorm,
    /// A paid organisation sends requests at ten times its limit.
    OrganisationFlood,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 11] = [
        Self::Steady,
        Self::TrialSurge,
        Self::LongCaseFiles,
        Self::Straggler,
        Self::ServerDies,
        Self::ServerFreezes,
        Self::ZoneGoes,
        Self::StoreAway,
        Self::HostListLag,
        Self::RetryStorm,
        Self::OrganisationFlood,
    ];

    /// Name for the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::TrialSurge => "trial-surge",
            Self::LongCaseFiles => "long-case-files",
            Self::Straggler => "straggler",
            Self::ServerDies => "server-dies",
            Self::ServerFreezes => "server-freezes",
            Self::ZoneGoes => "zone-goes",
            Self::StoreAway => "store-away",
            Self::HostListLag => "host-list-lag",
            Self::RetryStorm => "retry-storm",
            Self::OrganisationFlood => "org-flood",
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl FromStr for Scenario {
    type Err = InvalidScenario;

    fn from_str(name: &str) -> Result<Self, InvalidScenario> {
        let known = Self::ALL
            .into_iter()
            .find(|scenario| scenario.name() == name);
        known.ok_or_else(|| InvalidScenario::Unknown(name.to_owned()))
    }
}
