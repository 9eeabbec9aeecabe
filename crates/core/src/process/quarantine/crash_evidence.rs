//! Evidence of crashes that an entry publishes.

use serde::{Deserialize, Serialize};

use super::Suspect;
use crate::id::ServerIncarnation;

/// A server that crashed, and what was lost with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The incarnation of the server that crashed.
    pub server: ServerIncarnation,
    /// The entry's requests that were running there, and the shared parts of their prompts.
    pub suspects: Vec<Suspect>,
}

/// Crashes and completed runs that an entry has seen since it last published.
///
/// Evidence is cumulative: the order in which entries receive it does not matter.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// Servers that crashed.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
    /// Suspects that ran to completion, once per run.
    #[serde(default)]
    pub survivals: Vec<Suspect>,
    /// Suspects of a run that is under way: if the entry ends during it, a crash that it caused is
    /// published by nobody.
    #[serde(default)]
    pub claimed: Vec<Suspect>,
}

impl CrashEvidence {
    /// Whether there is nothing to publish.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survivals.is_empty() && self.claimed.is_empty()
    }

    /// Adds what was lost in a server's crash.
    pub fn add_crash(&mut self, server: &ServerIncarnation, suspect: impl Into<Suspect>) {
        let suspect = suspect.into();
        let known = self.crashes.iter_mut().find(|one| one.server == *server);
        if let Some(report) = known {
            if !report.suspects.contains(&suspect) {
                report.suspects.push(suspect);
            }
            return;
        }
        self.crashes.push(CrashReport {
            server: server.clone(),
            suspects: vec![suspect],
        });
    }

    /// Pairs of a suspect and a crashed server.
    pub fn suspicions(&self) -> impl Iterator<Item = (&Suspect, &ServerIncarnation)> {
        self.crashes.iter().flat_map(|report| {
            let suspects = report.suspects.iter();
            suspects.map(|suspect| (suspect, &report.server))
        })
    }
}
