//! What the evidence of all entries says against each request.

use std::collections::{BTreeMap, BTreeSet};

use super::CrashEvidence;
use crate::id::{RequestFingerprint, ServerLife};

/// Servers that a request may crash before it is to blame.
const MOST_CRASHED: usize = 3;

/// Servers that crashed under requests.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspicions {
    /// By request, without those that it was cleared of.
    pub(super) servers: BTreeMap<RequestFingerprint, BTreeSet<ServerLife>>,
    /// Blames that count no more, as the request ran to its end elsewhere.
    cleared: BTreeSet<(RequestFingerprint, ServerLife)>,
    /// Requests with as many crashes as one to blame has.
    close: BTreeSet<RequestFingerprint>,
    /// Blames that were added.
    pub(super) blames: usize,
}

impl Suspicions {
    /// Adds evidence; the order in which evidence is added changes nothing.
    pub(super) fn add(&mut self, evidence: &CrashEvidence) {
        for survival in &evidence.survivals {
            for server in &survival.servers {
                self.clear(survival.fingerprint, server);
            }
        }
        for (request, server) in evidence.blames() {
            self.blame(request, server);
        }
    }

    fn blame(&mut self, request: RequestFingerprint, server: &ServerLife) {
        if self.cleared.contains(&(request, server.clone())) {
            return;
        }
        let servers = self.servers.entry(request).or_default();
        if servers.insert(server.clone()) {
            self.blames += 1;
        }
        if servers.len() >= MOST_CRASHED {
            self.close.insert(request);
        }
    }

    fn clear(&mut self, request: RequestFingerprint, server: &ServerLife) {
        self.cleared.insert((request, server.clone()));
        let Some(servers) = self.servers.get_mut(&request) else {
            return;
        };
        servers.remove(server);
        if servers.len() < MOST_CRASHED {
            self.close.remove(&request);
        }
        if servers.is_empty() {
            self.servers.remove(&request);
        }
    }

    /// Requests that are to blame: those with most crashes first, as they explain the crashes of others.
    ///
    /// Guards against requests that were lost beside the one to blame: cut three times by its crashes,
    /// they would be held back with it. One that goes on to be lost without it is to blame as well.
    pub(super) fn guilty(&self) -> BTreeSet<RequestFingerprint> {
        let mut by_crashes: BTreeMap<usize, Vec<RequestFingerprint>> = BTreeMap::new();
        for request in &self.close {
            let crashes = self.servers[request].len();
            by_crashes.entry(crashes).or_default().push(*request);
        }
        let mut guilty = BTreeSet::new();
        let mut explained: BTreeSet<&ServerLife> = BTreeSet::new();
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
