//! Evaluates the evidence of all entries.

use std::collections::{BTreeMap, BTreeSet};

use super::{CrashEvidence, Suspect};
use crate::id::ServerIncarnation;

/// Number of crashed servers that makes a suspect a culprit.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Number of crashes that one completed run offsets.
const CRASHES_PER_SURVIVAL: usize = 2;
/// Number of its crashes that a prompt part may not share with another one that explains them: a
/// part that many requests hold is also lost in unrelated crashes.
const MAX_UNRELATED_CRASHES: usize = 1;

/// Crashed servers and completed runs by suspect.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspicions {
    /// Crashed servers by suspect.
    pub(super) servers: BTreeMap<Suspect, BTreeSet<ServerIncarnation>>,
    /// Number of published completed runs of suspects.
    survivals: BTreeMap<Suspect, usize>,
    /// Number of runs under way of suspects, each at one entry.
    claims: BTreeMap<Suspect, usize>,
    /// Suspects with enough crashes to be culprits.
    candidates: BTreeSet<Suspect>,
    /// Number of suspicions.
    pub(super) count: usize,
}

impl Suspicions {
    /// Adds evidence; the order does not matter.
    pub(super) fn add(&mut self, evidence: &CrashEvidence) {
        for suspect in &evidence.survivals {
            *self.survivals.entry(suspect.clone()).or_default() += 1;
        }
        for (suspect, server) in evidence.suspicions() {
            let servers = self.servers.entry(suspect.clone()).or_default();
            if servers.insert(server.clone()) {
                self.count += 1;
            }
            self.update_candidate(suspect);
        }
        for suspect in &evidence.claimed {
            *self.claims.entry(suspect.clone()).or_default() += 1;
            self.update_candidate(suspect);
        }
    }

    fn update_candidate(&mut self, suspect: &Suspect) {
        if self.crashes(suspect) >= CRASHES_TO_QUARANTINE {
            self.candidates.insert(suspect.clone());
        }
    }

    /// Whether a suspect has completed so often that its crashes are no evidence.
    pub(super) fn is_cleared(
        &self,
        suspect: &Suspect,
        own_survivals: &BTreeMap<Suspect, usize>,
    ) -> bool {
        let own = own_survivals.get(suspect).copied().unwrap_or(0);
        own >= self.missing_survivals(suspect)
    }

    /// Number of completed runs that would have to be published to clear a suspect.
    pub(super) fn missing_survivals(&self, suspect: &Suspect) -> usize {
        let published = self.survivals.get(suspect).copied().unwrap_or(0);
        let needed = self.crashes(suspect).div_ceil(CRASHES_PER_SURVIVAL);
        needed.saturating_sub(published)
    }

    /// Number of servers that crashed while running a suspect, and of its runs under way.
    pub(super) fn crashes(&self, suspect: &Suspect) -> usize {
        let claims = self.claims.get(suspect).copied().unwrap_or(0);
        self.servers.get(suspect).map_or(0, BTreeSet::len) + claims
    }

    /// The culprits: suspects with most crashes first, as they explain the crashes of others.
    ///
    /// Guards against quarantining requests that were lost beside a culprit: interrupted three
    /// times by its crashes, they would have as many. A suspect that is also lost without it is a
    /// culprit as well.
    pub(super) fn culprits(&self, own_survivals: &BTreeMap<Suspect, usize>) -> BTreeSet<Suspect> {
        let none = BTreeSet::new();
        let servers_of = |suspect: &Suspect| self.servers.get(suspect).unwrap_or(&none);
        let mut by_crashes: BTreeMap<usize, Vec<&Suspect>> = BTreeMap::new();
        for suspect in &self.candidates {
            if !self.is_cleared(suspect, own_survivals) {
                let crashes = servers_of(suspect).len();
                by_crashes.entry(crashes).or_default().push(suspect);
            }
        }
        let mut culprits = BTreeSet::new();
        let mut explained: BTreeSet<&ServerIncarnation> = BTreeSet::new();
        for (_, suspects) in by_crashes.into_iter().rev() {
            let is_culprit = |suspect: &&Suspect| {
                let servers = servers_of(suspect);
                let is_explained = |server: &&ServerIncarnation| explained.contains(server);
                let explained_crashes = servers.iter().filter(is_explained).count();
                let unexplained = self.crashes(suspect) - explained_crashes;
                unexplained >= CRASHES_TO_QUARANTINE
                    || unexplained > 0 && self.crashes(suspect) > CRASHES_TO_QUARANTINE
            };
            let found: Vec<_> = suspects.into_iter().filter(is_culprit).collect();
            for suspect in found {
                explained.extend(servers_of(suspect));
                culprits.insert(suspect.clone());
            }
        }
        culprits
    }

    /// Whether another suspect, which this content does not hold, explains a suspect's crashes.
    pub(super) fn has_rival(
        &self,
        suspect: &Suspect,
        content: &[Suspect],
        own_survivals: &BTreeMap<Suspect, usize>,
    ) -> bool {
        let Some(servers) = self.servers.get(suspect) else {
            return false;
        };
        self.candidates.iter().any(|rival| {
            let max_unrelated = if suspect.is_prompt_part() && rival.is_prompt_part() {
                MAX_UNRELATED_CRASHES
            } else {
                0
            };
            let explains = self.servers.get(rival).is_some_and(|shared| {
                shared.is_subset(servers) && servers.len() - shared.len() <= max_unrelated
            });
            explains && !content.contains(rival) && !self.is_cleared(rival, own_survivals)
        })
    }
}
