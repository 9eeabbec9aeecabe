//! Holds back requests that crash servers.
//!
//! A request may crash each server that runs it, and is sent again under a new id at any entry. A
//! single entry sees only some of the crashes: so each publishes which requests were lost in each
//! crash, and all of them evaluate the same evidence. A request that was lost with three servers is
//! quarantined. A crash is attributed to the request with most crashes, so that requests which ran
//! beside it are not quarantined too. A request that also completes is not a culprit: a popular one
//! is present at each crash, and completes elsewhere meanwhile.
//!
//! Before the last crash that a request is allowed, it runs at one server at a time: the entry
//! publishes evidence before the run, as if the server had crashed, and withdraws it when the run
//! has ended well. So the evidence remains if the entry itself ends during the run.
//!
//! Evidence expires some time after it was last published. While a quarantined request keeps
//! arriving, its evidence is published again.

mod crash_evidence;
mod lost_runs;
mod suspicions;

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[doc(inline)]
pub use crash_evidence::{CrashEvidence, CrashReport};
#[doc(inline)]
pub use lost_runs::{LossAction, LostRuns};

use crate::id::{EvidenceId, RequestFingerprint, ServerIncarnation};
use suspicions::Suspicions;

/// Number of crashes from which a request runs at one server at a time and its completed runs are
/// published.
const SINGLE_RUN_FROM: usize = 2;
/// Time from the last crash until the request is quarantined: a request that many callers send
/// completes elsewhere meanwhile, which clears it.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(500);
/// Time for which evidence counts after it was last published.
const RETENTION: Duration = Duration::from_mins(10);
/// Age from which the evidence against a request that still arrives is published again.
const RENEWAL_AGE: Duration = Duration::from_mins(5);
/// Time between two scans for expired evidence.
const EXPIRY_SCAN_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of suspicions, each a pair of request and server.
const MAX_SUSPICIONS: usize = 20_000;
/// Number of suspicions that remain after trimming; the oldest are dropped.
const SUSPICIONS_AFTER_TRIM: usize = 15_000;

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// No evidence against it.
    Clear,
    /// A server crashed while it ran there.
    Suspected,
    /// Almost as many servers crashed as quarantine it: it may run at one server at a time.
    SingleRun,
    /// It is sent to no server, as this number of servers crashed.
    Quarantined(usize),
}

/// A change of the quarantined requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A request is quarantined, because of these servers.
    Quarantined(RequestFingerprint, Vec<ServerIncarnation>),
    /// A request is released.
    Released(RequestFingerprint),
}

#[derive(Debug, Clone)]
struct StoredEvidence {
    evidence: CrashEvidence,
    at: Duration,
}

/// The evidence of all entries, and the requests that it quarantines.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::id::RequestFingerprint;
/// use amaranthscale_core::process::{CrashEvidence, Quarantine, QuarantineState};
///
/// let request = RequestFingerprint::of(None, "h.example", "/a/", b"body");
/// let mut quarantine = Quarantine::default();
/// for number in 0..3 {
///     let mut evidence = CrashEvidence::default();
///     evidence.add_crash(&format!("s{number}").parse()?, request);
///     quarantine.add_evidence(format!("g1.{number}").parse()?, evidence, Duration::ZERO);
/// }
/// assert_eq!(quarantine.state(request, Duration::from_secs(1)), QuarantineState::Quarantined(3));
/// # Ok::<(), amaranthscale_core::id::InvalidName>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    evidence: BTreeMap<EvidenceId, StoredEvidence>,
    suspicions: Suspicions,
    /// Culprits, and since when they are known.
    culprits: BTreeMap<RequestFingerprint, Duration>,
    /// Time of the last scan for expired evidence.
    scanned_at: Duration,
}

impl Quarantine {
    /// Whether there is no evidence against any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspicions.servers.is_empty()
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

    /// State of a request.
    #[must_use]
    pub fn state(&self, request: RequestFingerprint, now: Duration) -> QuarantineState {
        let Some(servers) = self.suspicions.servers.get(&request) else {
            return QuarantineState::Clear;
        };
        let culprit_since = self.culprits.get(&request);
        let is_quarantined = culprit_since
            .is_some_and(|culprit_since| now.saturating_sub(*culprit_since) >= CONFIRMATION_DELAY);
        if is_quarantined {
            QuarantineState::Quarantined(servers.len())
        } else if self.is_near_limit(request) {
            QuarantineState::SingleRun
        } else {
            QuarantineState::Suspected
        }
    }

    /// Whether completed runs of a request should be published, as it is close to quarantine.
    #[must_use]
    pub fn publishes_survival(&self, request: RequestFingerprint) -> bool {
        self.is_near_limit(request)
    }

    /// The evidence against a quarantined request that arrives again, if it should be published
    /// again.
    #[must_use]
    pub fn renewal_of(&self, request: RequestFingerprint, now: Duration) -> Option<CrashEvidence> {
        let servers = self.suspicions.servers.get(&request)?;
        let suspicions =
            |stored: &&StoredEvidence| stored.evidence.suspicions().any(|(one, _)| one == request);
        let newest = self.evidence.values().filter(suspicions);
        let newest_at = newest.map(|stored| stored.at).max()?;
        if now.saturating_sub(newest_at) < RENEWAL_AGE {
            return None;
        }
        let mut evidence = CrashEvidence::default();
        for server in servers {
            evidence.add_crash(server, request);
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

    /// Quarantined requests, each with the servers that crashed.
    pub fn quarantined(
        &self,
    ) -> impl Iterator<Item = (RequestFingerprint, &BTreeSet<ServerIncarnation>)> {
        let quarantined = self.culprits.keys();
        quarantined.filter_map(|request| Some((*request, self.suspicions.servers.get(request)?)))
    }

    /// Whether almost as many servers crashed as quarantine a request.
    fn is_near_limit(&self, request: RequestFingerprint) -> bool {
        self.suspicions.crashes(request) >= SINGLE_RUN_FROM && !self.suspicions.is_cleared(request)
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
    }

    /// Recomputes the culprits.
    fn update_culprits(&mut self, now: Duration) -> Vec<QuarantineChange> {
        let culprits = self.suspicions.culprits();
        let mut changes = Vec::new();
        self.culprits.retain(|request, _| {
            let stays = culprits.contains(request);
            if !stays {
                changes.push(QuarantineChange::Released(*request));
            }
            stays
        });
        for request in culprits {
            if let Entry::Vacant(entry) = self.culprits.entry(request) {
                entry.insert(now);
                let servers = self.suspicions.servers[&request].iter().cloned();
                changes.push(QuarantineChange::Quarantined(request, servers.collect()));
            }
        }
        changes
    }
}
