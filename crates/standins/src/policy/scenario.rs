//! What goes wrong in a run.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

quick_error! {
    /// A name that is no scenario.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidScenario {
        /// Not in the list.
        Unknown(name: String) {
            display("scenario {name:?} is unknown")
        }
    }
}

/// Load or fault that a run meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// Nothing.
    Steady,
    /// Trials ask ten times as often.
    TrialSurge,
    /// A burst of long case files starves reranking.
    LongCaseFiles,
    /// One server takes five times as long, in each stage in turn.
    Straggler,
    /// One server of each stage dies in turn.
    ServerDies,
    /// One server of each stage freezes in turn.
    ServerFreezes,
    /// All servers of an availability zone go silent.
    ZoneGoes,
    /// The platform's table is away.
    StoreAway,
    /// A tenth of the hosts is replaced while the host list is ten seconds late.
    HostListLag,
    /// Generation loses most of its capacity for a while, and every caller asks again.
    RetryStorm,
    /// A paid organisation asks at ten times its limit.
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
