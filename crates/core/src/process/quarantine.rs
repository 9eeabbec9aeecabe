//! Holds back requests that crash servers.
//!
//! A request may crash each server that runs it, and is sent again under a new id at any entry; or
//! all requests whose prompts share one part may. A single entry sees only some of the crashes: so
//! each publishes what was lost in each crash, and all of them evaluate the same evidence. Suspects
//! are whole requests and the parts of their prompts that other requests share. A suspect that was
//! lost with three servers is quarantined. A crash is attributed to the suspect with most crashes,
//! so that requests which ran beside it are not quarantined too. A suspect that also completes is
//! not a culprit: a popular one is present at each crash, and completes elsewhere meanwhile.
//!
//! Before the last crash that a suspect is allowed, it runs at one server at a time: the entry
//! publishes a claim before the run, which counts as a crash, and withdraws it when the run has
//! ended well. So the evidence remains if the entry itself ends during the run. A prompt part that
//! completed at this entry a short time ago is exempt, so that a crash does not slow down all
//! requests that hold a popular part.
//!
//! Several suspects may explain the same crashes, such as two parts that always stood in the same
//! prompts. A request that holds only some of them still runs, at one server at a time: it either
//! clears them or leaves fewer suspects.
//!
//! Evidence expires some time after it was last published. While a quarantined request keeps
//! arriving, its evidence is published again.

mod crash_evidence;
mod lost_runs;
mod suspect;
mod suspicions;

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[doc(inline)]
pub use crash_evidence::{CrashEvidence, CrashReport};
#[doc(inline)]
pub use lost_runs::{LossAction, LostRuns};
#[doc(inline)]
pub use suspect::Suspect;

use crate::id::{EvidenceId, ServerIncarnation};
use suspicions::Suspicions;

/// Number of crashes from which a suspect runs at one server at a time and its completed runs are
/// published.
const SINGLE_RUN_FROM: usize = 2;
/// Time from the last crash until a suspect is quarantined: a request that many callers send
/// completes elsewhere meanwhile, which clears it.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(500);
/// The same for a prompt part that completed here shortly before.
const KNOWN_PART_CONFIRMATION_DELAY: Duration = Duration::from_secs(2);
/// Time for which a prompt part that completed here is exempt from single runs.
const COMPLETION_RETENTION: Duration = Duration::from_secs(10);
/// Largest number of prompt parts whose last completed run is remembered.
const MAX_COMPLETED_PARTS: usize = 10_000;
/// Time for which evidence counts after it was last published.
const RETENTION: Duration = Duration::from_mins(10);
/// Age from which the evidence against a request that still arrives is published again.
const RENEWAL_AGE: Duration = Duration::from_mins(5);
/// Time between two scans for expired evidence.
const EXPIRY_SCAN_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of suspicions, each a pair of suspect and server.
const MAX_SUSPICIONS: usize = 20_000;
/// Number of suspicions that remain after trimming; the oldest are dropped.
const SUSPICIONS_AFTER_TRIM: usize = 15_000;

/// State of a request, by its most suspected content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineState {
    /// No evidence against it.
    Clear,
    /// A server crashed while it ran there.
    Suspected,
    /// It may run at one server at a time: almost as many servers crashed as quarantine it, or
    /// something else may have crashed them.
    SingleRun,
    /// It is sent to no server.
    Quarantined(QuarantineCause),
}

/// Why a request is quarantined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineCause {
    /// What crashed servers.
    pub suspect: Suspect,
    /// Number of servers that crashed.
    pub crashes: usize,
}

/// A change of what is quarantined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A suspect is quarantined, because of these servers.
    Quarantined(Suspect, Vec<ServerIncarnation>),
    /// A suspect is released.
    Released(Suspect),
}

#[derive(Debug, Clone)]
struct StoredEvidence {
    evidence: CrashEvidence,
    at: Duration,
}

/// The evidence of all entries, and what it quarantines.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::id::RequestFingerprint;
/// use amaranthscale_core::process::{CrashEvidence, Quarantine, QuarantineState, Suspect};
///
/// let request: Suspect = RequestFingerprint::of(None, "h.example", "/a/", b"body").into();
/// let mut quarantine = Quarantine::default();
/// for number in 0..3 {
///     let mut evidence = CrashEvidence::default();
///     evidence.add_crash(&format!("s{number}").parse()?, request.clone());
///     quarantine.add_evidence(format!("g1.{number}").parse()?, evidence, Duration::ZERO);
/// }
/// let state = quarantine.state(&[request], Duration::from_secs(1));
/// assert!(matches!(state, QuarantineState::Quarantined(_)));
/// # Ok::<(), amaranthscale_core::id::InvalidName>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    evidence: BTreeMap<EvidenceId, StoredEvidence>,
    suspicions: Suspicions,
    /// Culprits, and since when they are known.
    culprits: BTreeMap<Suspect, Duration>,
    /// Number of completed runs of suspects at this entry that are not published.
    own_survivals: BTreeMap<Suspect, usize>,
    /// Time of the last completed run of each prompt part at this entry.
    completed_parts: BTreeMap<Suspect, Duration>,
    /// Time of the last scan for expired evidence.
    scanned_at: Duration,
}

impl Quarantine {
    /// Whether there is no evidence against any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty()
    }

    /// Adds the evidence of an entry.
    pub fn add_evidence(
        &mut self,
        id: EvidenceId,
        evidence: CrashEvidence,
        now: Duration,
    ) -> Vec<QuarantineChange> {
        self.drop_expired(now);
        let known = self.evidence.get(&id);
        if known.is_some_and(|known| known.evidence == evidence) {
            return Vec::new();
        }
        let is_new = known.is_none();
        if is_new {
            self.suspicions.add(&evidence);
        }
        self.evidence
            .insert(id, StoredEvidence { evidence, at: now });
        if !is_new {
            self.rebuild();
        }
        self.update_culprits(now)
    }

    /// Removes evidence that was withdrawn.
    pub fn remove_evidence(&mut self, id: &EvidenceId, now: Duration) -> Vec<QuarantineChange> {
        if self.evidence.remove(id).is_none() {
            return Vec::new();
        }
        self.rebuild();
        self.update_culprits(now)
    }

    /// Keeps only the evidence that the predicate selects.
    pub fn retain_evidence(
        &mut self,
        is_retained: impl Fn(&EvidenceId) -> bool,
        now: Duration,
    ) -> Vec<QuarantineChange> {
        let before = self.evidence.len();
        self.evidence.retain(|id, _| is_retained(id));
        if self.evidence.len() == before {
            return Vec::new();
        }
        self.rebuild();
        self.update_culprits(now)
    }

    /// All evidence and its ids.
    pub fn evidence(&self) -> impl Iterator<Item = (&EvidenceId, &CrashEvidence)> {
        let evidence = self.evidence.iter();
        evidence.map(|(id, stored)| (id, &stored.evidence))
    }

    /// Whether there is evidence with an id.
    #[must_use]
    pub fn has_evidence(&self, id: &EvidenceId) -> bool {
        self.evidence.contains_key(id)
    }

    /// State of a request with this content.
    #[must_use]
    pub fn state(&self, content: &[Suspect], now: Duration) -> QuarantineState {
        let mut state = QuarantineState::Clear;
        for suspect in content {
            let crashes = self.suspicions.crashes(suspect);
            if crashes == 0 {
                continue;
            }
            if self.is_confirmed(suspect, now) && !self.has_rival(suspect, content) {
                let suspect = suspect.clone();
                return QuarantineState::Quarantined(QuarantineCause { suspect, crashes });
            }
            if self.needs_single_run(suspect, now) {
                state = QuarantineState::SingleRun;
            } else if state == QuarantineState::Clear {
                state = QuarantineState::Suspected;
            }
        }
        state
    }

    /// The suspects of this content because of which it may run at one server at a time, beginning
    /// with those that most requests share.
    #[must_use]
    pub fn single_run_suspects(&self, content: &[Suspect], now: Duration) -> Vec<Suspect> {
        let suspects = content.iter();
        let mut suspects: Vec<_> = suspects
            .filter(|suspect| self.needs_single_run(suspect, now))
            .cloned()
            .collect();
        suspects.sort();
        suspects
    }

    /// Records a completed run at this entry, which is evidence in favour of its content.
    pub fn record_completion(
        &mut self,
        content: &[Suspect],
        now: Duration,
    ) -> Vec<QuarantineChange> {
        for suspect in content {
            if suspect.is_prompt_part() {
                self.completed_parts.insert(suspect.clone(), now);
            }
            // A surplus would count against crashes to come.
            if !self.suspicions.is_cleared(suspect, &self.own_survivals) {
                *self.own_survivals.entry(suspect.clone()).or_default() += 1;
            }
        }
        if self.completed_parts.len() > MAX_COMPLETED_PARTS {
            let is_recent = |at: &Duration| now.saturating_sub(*at) < COMPLETION_RETENTION;
            self.completed_parts.retain(|_, at| is_recent(at));
            // Too many within the retention time: none is exempt.
            if self.completed_parts.len() > MAX_COMPLETED_PARTS {
                self.completed_parts.clear();
            }
        }
        let holds_culprit = content
            .iter()
            .any(|suspect| self.culprits.contains_key(suspect));
        if holds_culprit {
            self.update_culprits(now)
        } else {
            Vec::new()
        }
    }

    /// Whether completed runs of a suspect should be published, as it is close to quarantine.
    #[must_use]
    pub fn publishes_survival(&self, suspect: &Suspect) -> bool {
        self.suspicions.crashes(suspect) >= SINGLE_RUN_FROM
            && self.suspicions.missing_survivals(suspect) > 0
    }

    /// Removes and returns the completed runs at this entry that others need to clear suspects; they
    /// count again as evidence once they are published.
    pub fn take_survivals(&mut self) -> Vec<Suspect> {
        let mut taken = Vec::new();
        for (suspect, own) in &mut self.own_survivals {
            if self.suspicions.crashes(suspect) >= SINGLE_RUN_FROM {
                let published = self.suspicions.missing_survivals(suspect).min(*own);
                *own -= published;
                taken.extend(std::iter::repeat_n(suspect.clone(), published));
            }
        }
        taken
    }

    /// The evidence against a quarantined suspect that arrives again, if it should be published
    /// again.
    #[must_use]
    pub fn renewal_of(&self, suspect: &Suspect, now: Duration) -> Option<CrashEvidence> {
        let servers = self.suspicions.servers.get(suspect)?;
        let suspicions =
            |stored: &&StoredEvidence| stored.evidence.suspicions().any(|(one, _)| one == suspect);
        let newest = self.evidence.values().filter(suspicions);
        let newest_at = newest.map(|stored| stored.at).max()?;
        if now.saturating_sub(newest_at) < RENEWAL_AGE {
            return None;
        }
        let mut evidence = CrashEvidence::default();
        for server in servers {
            evidence.add_crash(server, suspect.clone());
        }
        Some(evidence)
    }

    /// Expired evidence, which may be removed from the store.
    #[must_use]
    pub fn expired(&self, now: Duration) -> Vec<EvidenceId> {
        let is_old = |stored: &StoredEvidence| now.saturating_sub(stored.at) >= RETENTION;
        let old = self.evidence.iter().filter(|(_, stored)| is_old(stored));
        old.map(|(id, _)| id.clone()).collect()
    }

    /// Quarantined suspects, each with the servers that crashed.
    pub fn quarantined(&self) -> impl Iterator<Item = (&Suspect, &BTreeSet<ServerIncarnation>)> {
        let quarantined = self.culprits.keys();
        quarantined.filter_map(|suspect| Some((suspect, self.suspicions.servers.get(suspect)?)))
    }

    /// Whether a suspect has been a culprit for long enough.
    fn is_confirmed(&self, suspect: &Suspect, now: Duration) -> bool {
        let delay = if self.has_completed_recently(suspect, now) {
            KNOWN_PART_CONFIRMATION_DELAY
        } else {
            CONFIRMATION_DELAY
        };
        let culprit_since = self.culprits.get(suspect);
        culprit_since.is_some_and(|since| now.saturating_sub(*since) >= delay)
    }

    fn has_rival(&self, suspect: &Suspect, content: &[Suspect]) -> bool {
        let own_survivals = &self.own_survivals;
        self.suspicions.has_rival(suspect, content, own_survivals)
    }

    /// Whether almost as many servers crashed as quarantine a suspect.
    fn needs_single_run(&self, suspect: &Suspect, now: Duration) -> bool {
        self.suspicions.crashes(suspect) >= SINGLE_RUN_FROM
            && !self.suspicions.is_cleared(suspect, &self.own_survivals)
            && (self.is_confirmed(suspect, now) || !self.has_completed_recently(suspect, now))
    }

    /// Whether a prompt part completed at this entry a short time ago.
    fn has_completed_recently(&self, suspect: &Suspect, now: Duration) -> bool {
        let completed_at = self.completed_parts.get(suspect);
        completed_at.is_some_and(|at| now.saturating_sub(*at) < COMPLETION_RETENTION)
    }

    fn drop_expired(&mut self, now: Duration) {
        let has_too_many = self.suspicions.count > MAX_SUSPICIONS;
        if !has_too_many && now.saturating_sub(self.scanned_at) < EXPIRY_SCAN_INTERVAL {
            return;
        }
        self.scanned_at = now;
        let mut dropped = self.expired(now);
        if has_too_many {
            dropped.extend(self.oldest_excess());
        }
        if dropped.is_empty() {
            return;
        }
        for id in &dropped {
            self.evidence.remove(id);
        }
        self.rebuild();
    }

    /// The oldest evidence that exceeds the limit.
    fn oldest_excess(&self) -> Vec<EvidenceId> {
        let mut by_age: Vec<_> = self.evidence.iter().collect();
        by_age.sort_by_key(|(_, stored)| stored.at);
        let mut remaining = self.suspicions.count;
        let is_excess = |(_, stored): &(&EvidenceId, &StoredEvidence)| {
            let is_excess = remaining > SUSPICIONS_AFTER_TRIM;
            remaining = remaining.saturating_sub(stored.evidence.suspicions().count());
            is_excess
        };
        let oldest_excess = by_age.into_iter().take_while(is_excess);
        oldest_excess.map(|(id, _)| id.clone()).collect()
    }

    fn rebuild(&mut self) {
        self.suspicions = Suspicions::default();
        for stored in self.evidence.values() {
            self.suspicions.add(&stored.evidence);
        }
        let suspicions = &self.suspicions;
        self.own_survivals
            .retain(|suspect, _| suspicions.crashes(suspect) > 0);
    }

    /// Recomputes the culprits.
    fn update_culprits(&mut self, now: Duration) -> Vec<QuarantineChange> {
        let culprits = self.suspicions.culprits(&self.own_survivals);
        let mut changes = Vec::new();
        self.culprits.retain(|suspect, _| {
            let stays = culprits.contains(suspect);
            if !stays {
                changes.push(QuarantineChange::Released(suspect.clone()));
            }
            stays
        });
        for suspect in culprits {
            if let Entry::Vacant(entry) = self.culprits.entry(suspect) {
                let servers = self.suspicions.servers.get(entry.key());
                let servers = servers.into_iter().flatten().cloned().collect();
                changes.push(QuarantineChange::Quarantined(entry.key().clone(), servers));
                entry.insert(now);
            }
        }
        changes
    }
}
