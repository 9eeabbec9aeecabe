//! Evidence of crashes that an entry publishes.

use serde::{Deserialize, Serialize};

use crate::id::{RequestFingerprint, ServerIncarnation};

/// A server that crashed, and the requests that were lost with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The incarnation of the server that crashed.
    pub server: ServerIncarnation,
    /// The entry's requests that were running there.
    pub suspects: Vec<RequestFingerprint>,
}

/// Crashes and completed runs that an entry has seen since it last published.
///
/// Evidence is cumulative: the order in which entries receive it does not matter.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// Servers that crashed.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
    /// Suspected requests that ran to completion, once per run.
    #[serde(default)]
    pub survivals: Vec<RequestFingerprint>,
}

impl CrashEvidence {
    /// Whether there is nothing to publish.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survivals.is_empty()
    }

    /// Adds a request that was lost in a server's crash.
    pub fn add_crash(&mut self, server: &ServerIncarnation, suspect: RequestFingerprint) {
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

    /// Pairs of a suspected request and a crashed server.
    pub fn suspicions(&self) -> impl Iterator<Item = (RequestFingerprint, &ServerIncarnation)> {
        self.crashes.iter().flat_map(|report| {
            let suspects = report.suspects.iter();
            suspects.map(|suspect| (*suspect, &report.server))
        })
    }
}
