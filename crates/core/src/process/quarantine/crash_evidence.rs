//! What one entry tells the others of crashed servers.

use serde::{Deserialize, Serialize};

use crate::id::{RequestFingerprint, ServerIncarnation};

/// A server that crashed, and the requests that were lost with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The life of the server that ended.
    pub server: ServerIncarnation,
    /// Requests of the entry that it was running.
    pub suspects: Vec<RequestFingerprint>,
}

/// What an entry has seen of crashes since it last told the others.
///
/// All of it only adds up: the order in which entries learn of it changes nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// Servers that crashed.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
    /// Suspected requests that ran to their end, each as often as it did.
    #[serde(default)]
    pub survivals: Vec<RequestFingerprint>,
}

impl CrashEvidence {
    /// Whether there is nothing to tell.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survivals.is_empty()
    }

    /// Adds a request that was lost with a server.
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

    /// Requests that it blames, each with a server.
    pub fn blames(&self) -> impl Iterator<Item = (RequestFingerprint, &ServerIncarnation)> {
        self.crashes.iter().flat_map(|report| {
            let suspects = report.suspects.iter();
            suspects.map(|suspect| (*suspect, &report.server))
        })
    }
}
