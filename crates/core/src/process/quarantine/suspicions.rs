//! Evaluates the evidence of all entries.

use std::collections::{BTreeMap, BTreeSet};

use super::CrashEvidence;
use crate::id::{RequestFingerprint, ServerIncarnation};

/// Number of crashed servers that makes a request a culprit.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Number of crashes that one completed run offsets.
const CRASHES_PER_SURVIVAL: usize = 2;

/// Crashed servers and completed runs by request.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspicions {
    /// Crashed servers by request.
    pub(super) servers: BTreeMap<RequestFingerprint, BTreeSet<ServerIncarnation>>,
    /// Number of completed runs of suspected requests.
    survivals: BTreeMap<RequestFingerprint, usize>,
    /// Requests with enough crashes to be culprits.
    candidates: BTreeSet<RequestFingerprint>,
    /// Number of suspicions.
    pub(super) count: usize,
}

impl Suspicions {
    /// Adds evidence; the order does not matter.
    pub(super) fn add(&mut self, evidence: &CrashEvidence) {
        for request in &evidence.survivals {
            *self.survivals.entry(*request).or_default() += 1;
        }
        for (request, server) in evidence.suspicions() {
            let servers = self.servers.entry(request).or_default();
            if servers.insert(server.clone()) {
                self.count += 1;
            }
            if servers.len() >= CRASHES_TO_QUARANTINE {
                self.candidates.insert(request);
            }
        }
    }

    /// Whether a request has completed so often that its crashes are no evidence.
    pub(super) fn is_cleared(&self, request: RequestFingerprint) -> bool {
        let survivals = self.survivals.get(&request).copied().unwrap_or(0);
        survivals * CRASHES_PER_SURVIVAL >= self.crashes(request)
    }

    /// Number of servers that crashed while running a request.
    pub(super) fn crashes(&self, request: RequestFingerprint) -> usize {
        self.servers.get(&request).map_or(0, BTreeSet::len)
    }

    /// The culprits: requests with most crashes first, as they explain the crashes of others.
    ///
    /// Guards against quarantining requests that were lost beside a culprit: interrupted three
    /// times by its crashes, they would have as many. A request that is also lost without it is a
    /// culprit as well.
    pub(super) fn culprits(&self) -> BTreeSet<RequestFingerprint> {
        let mut by_crashes: BTreeMap<usize, Vec<RequestFingerprint>> = BTreeMap::new();
        for request in self
            .candidates
            .iter()
            .filter(|request| !self.is_cleared(**request))
        {
            let crashes = self.crashes(*request);
            by_crashes.entry(crashes).or_default().push(*request);
        }
        let mut culprits = BTreeSet::new();
        let mut explained: BTreeSet<&ServerIncarnation> = BTreeSet::new();
        for (crashes, requests) in by_crashes.into_iter().rev() {
            let is_culprit = |request: &RequestFingerprint| {
                let servers = self.servers[request].iter();
                let unexplained = servers.filter(|server| !explained.contains(server)).count();
                unexplained >= CRASHES_TO_QUARANTINE
                    || unexplained > 0 && crashes > CRASHES_TO_QUARANTINE
            };
            let found: Vec<_> = requests.into_iter().filter(is_culprit).collect();
            for request in found {
                explained.extend(&self.servers[&request]);
                culprits.insert(request);
            }
        }
        culprits
    }
}
