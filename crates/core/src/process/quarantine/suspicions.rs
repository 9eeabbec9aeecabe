//! What the evidence of all entries says against each request.

use std::collections::{BTreeMap, BTreeSet};

use super::CrashEvidence;
use crate::id::{RequestFingerprint, ServerIncarnation};

/// Servers that a request may crash before it is to blame.
const MOST_CRASHED: usize = 3;
/// Crashes that one completed run speaks against.
const CRASHES_PER_SURVIVAL: usize = 2;

/// Servers that crashed under requests.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspicions {
    /// By request.
    pub(super) servers: BTreeMap<RequestFingerprint, BTreeSet<ServerIncarnation>>,
    /// How often suspected requests ran to their end.
    survivals: BTreeMap<RequestFingerprint, usize>,
    /// Requests with as many crashes as one to blame has.
    close: BTreeSet<RequestFingerprint>,
    /// Blames that were added.
    pub(super) blames: usize,
}

impl Suspicions {
    /// Adds evidence; the order in which evidence is added changes nothing.
    pub(super) fn add(&mut self, evidence: &CrashEvidence) {
        for request in &evidence.survivals {
            *self.survivals.entry(*request).or_default() += 1;
        }
        for (request, server) in evidence.blames() {
            let servers = self.servers.entry(request).or_default();
            if servers.insert(server.clone()) {
                self.blames += 1;
            }
            if servers.len() >= MOST_CRASHED {
                self.close.insert(request);
            }
        }
    }

    /// Whether a request ran to its end so often that crashes under it are no sign.
    pub(super) fn is_cleared(&self, request: RequestFingerprint) -> bool {
        let survivals = self.survivals.get(&request).copied().unwrap_or(0);
        survivals * CRASHES_PER_SURVIVAL >= self.crashes(request)
    }

    /// How many servers crashed under a request.
    pub(super) fn crashes(&self, request: RequestFingerprint) -> usize {
        self.servers.get(&request).map_or(0, BTreeSet::len)
    }

    /// Requests that are to blame: those with most crashes first, as they explain the crashes of others.
    ///
    /// Guards against requests that were lost beside the one to blame: cut three times by its crashes,
    /// they would be held back with it. One that goes on to be lost without it is to blame as well.
    pub(super) fn guilty(&self) -> BTreeSet<RequestFingerprint> {
        let mut by_crashes: BTreeMap<usize, Vec<RequestFingerprint>> = BTreeMap::new();
        for request in self
            .close
            .iter()
            .filter(|request| !self.is_cleared(**request))
        {
            let crashes = self.crashes(*request);
            by_crashes.entry(crashes).or_default().push(*request);
        }
        let mut guilty = BTreeSet::new();
        let mut explained: BTreeSet<&ServerIncarnation> = BTreeSet::new();
        for (crashes, requests) in by_crashes.into_iter().rev() {
            let is_guilty = |request: &RequestFingerprint| {
                let servers = self.servers[request].iter();
                let unexplained = servers.filter(|server| !explained.contains(server)).count();
                unexplained >= MOST_CRASHED || unexplained > 0 && crashes > MOST_CRASHED
            };
            let found: Vec<_> = requests.into_iter().filter(is_guilty).collect();
            for request in found {
                explained.extend(&self.servers[&request]);
                guilty.insert(request);
            }
        }
        guilty
    }
}
