//! Which requests are held back because servers crash under them.
//!
//! A request may crash each server that runs it, and comes again under a new name at any entry. One
//! entry sees too little of it: each tells the others of each crash which requests were lost with
//! the server, and all add up the same evidence. A request that was lost with three servers is held
//! back. A crash is explained by the request that is to blame for most, so that requests which ran
//! beside it are not held back with it. A request that also runs to its end is not to blame: a popular
//! one is at each server that crashes, and ends well elsewhere meanwhile.
//!
//! Before the last crash that a request is allowed, it is sent to one server at a time: an entry tells
//! the others of the run before it begins, as if the server had crashed, and takes that back when the
//! run has ended well. An entry that ends in the middle of the run so leaves its word behind.
//!
//! Evidence is forgotten some time after it was last told. While a request that is held back keeps
//! coming, it is told again.

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

/// Crashes from which on a request is sent to one server at a time, and its completed runs are told to
/// the others.
const ONE_AT_A_TIME_FROM: usize = 2;
/// Time from the last crash until the request is held back: one that many callers send runs to its end
/// elsewhere meanwhile, which speaks for it.
const CONFIRMED_AFTER: Duration = Duration::from_millis(500);
/// How long evidence counts after it was last told.
const RETAINED: Duration = Duration::from_mins(10);
/// Age from which the evidence against a request that still comes is told again.
const RENEWED_AFTER: Duration = Duration::from_mins(5);
/// Time between two looks for evidence that counts no more.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Most blames that are kept, a request and a server each.
const MOST_BLAMES: usize = 20_000;
/// Blames that are left when there are too many; the oldest go first.
const BLAMES_LEFT: usize = 15_000;

/// What is known against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// Nothing.
    Clear,
    /// A server crashed while it ran it.
    Suspected,
    /// Servers crashed under it, almost as many as hold it back: it may be sent to one server at a time.
    SingleRun,
    /// So many servers crashed under it: it is sent to no more.
    Quarantined(usize),
}

/// A change of what is held back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A request is held back from now on.
    Quarantined(RequestFingerprint, Vec<ServerIncarnation>),
    /// A request is held back no more.
    Released(RequestFingerprint),
}

#[derive(Debug, Clone)]
struct Taken {
    evidence: CrashEvidence,
    at: Duration,
}

/// The evidence of all entries, and what follows from it.
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
    evidence: BTreeMap<EvidenceId, Taken>,
    suspicions: Suspicions,
    /// Since when requests are to blame.
    blamed: BTreeMap<RequestFingerprint, Duration>,
    /// When old evidence was last looked for.
    looked_at: Duration,
}

impl Quarantine {
    /// Whether there is no evidence against any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspicions.servers.is_empty()
    }

    /// Takes what an entry tells.
    pub fn add_evidence(
        &mut self,
        id: EvidenceId,
        evidence: CrashEvidence,
        now: Duration,
    ) -> Vec<QuarantineChange> {
        self.forget_old(now);
        let known = self.evidence.get(&id);
        if known.is_some_and(|known| known.evidence == evidence) {
            return Vec::new();
        }
        let is_new = known.is_none();
        if is_new {
            self.suspicions.add(&evidence);
        }
        self.evidence.insert(id, Taken { evidence, at: now });
        if !is_new {
            self.rebuild();
        }
        self.judge(now)
    }

    /// Takes evidence back: it was removed.
    pub fn remove_evidence(&mut self, id: &EvidenceId, now: Duration) -> Vec<QuarantineChange> {
        if self.evidence.remove(id).is_none() {
            return Vec::new();
        }
        self.rebuild();
        self.judge(now)
    }

    /// Keeps only evidence that a function names.
    pub fn retain_evidence(
        &mut self,
        is_kept: impl Fn(&EvidenceId) -> bool,
        now: Duration,
    ) -> Vec<QuarantineChange> {
        let before = self.evidence.len();
        self.evidence.retain(|id, _| is_kept(id));
        if self.evidence.len() == before {
            return Vec::new();
        }
        self.rebuild();
        self.judge(now)
    }

    /// What is known against a request.
    #[must_use]
    pub fn state(&self, request: RequestFingerprint, now: Duration) -> QuarantineState {
        let Some(servers) = self.suspicions.servers.get(&request) else {
            return QuarantineState::Clear;
        };
        let since = self.blamed.get(&request);
        let is_held = since.is_some_and(|since| now.saturating_sub(*since) >= CONFIRMED_AFTER);
        if is_held {
            QuarantineState::Quarantined(servers.len())
        } else if self.is_close(request) {
            QuarantineState::SingleRun
        } else {
            QuarantineState::Suspected
        }
    }

    /// Whether others are to be told that a request ran to its end, as it could be held back.
    #[must_use]
    pub fn publishes_survival(&self, request: RequestFingerprint) -> bool {
        self.is_close(request)
    }

    /// The evidence against a request that is held back and comes again, if it would soon be forgotten.
    #[must_use]
    pub fn renewal_of(&self, request: RequestFingerprint, now: Duration) -> Option<CrashEvidence> {
        let servers = self.suspicions.servers.get(&request)?;
        let blames = |taken: &&Taken| taken.evidence.blames().any(|(one, _)| one == request);
        let newest = self.evidence.values().filter(blames);
        let newest_at = newest.map(|taken| taken.at).max()?;
        if now.saturating_sub(newest_at) < RENEWED_AFTER {
            return None;
        }
        let mut evidence = CrashEvidence::default();
        for server in servers {
            evidence.add_crash(server, request);
        }
        Some(evidence)
    }

    /// Evidence that counts no more and may be removed for all.
    #[must_use]
    pub fn expired(&self, now: Duration) -> Vec<EvidenceId> {
        let is_old = |taken: &Taken| now.saturating_sub(taken.at) >= RETAINED;
        let old = self.evidence.iter().filter(|(_, taken)| is_old(taken));
        old.map(|(id, _)| id.clone()).collect()
    }

    /// Requests that are held back, each with the servers that crashed under it.
    pub fn quarantined(
        &self,
    ) -> impl Iterator<Item = (RequestFingerprint, &BTreeSet<ServerIncarnation>)> {
        let held = self.blamed.keys();
        held.filter_map(|request| Some((*request, self.suspicions.servers.get(request)?)))
    }

    /// Whether almost as many servers crashed under a request as hold it back.
    fn is_close(&self, request: RequestFingerprint) -> bool {
        self.suspicions.crashes(request) >= ONE_AT_A_TIME_FROM
            && !self.suspicions.is_cleared(request)
    }

    fn forget_old(&mut self, now: Duration) {
        let has_too_many = self.suspicions.blames > MOST_BLAMES;
        if !has_too_many && now.saturating_sub(self.looked_at) < LOOK_EVERY {
            return;
        }
        self.looked_at = now;
        let mut forgotten = self.expired(now);
        if has_too_many {
            forgotten.extend(self.oldest());
        }
        if forgotten.is_empty() {
            return;
        }
        for id in &forgotten {
            self.evidence.remove(id);
        }
        self.rebuild();
    }

    /// The oldest evidence, as much as is too much.
    fn oldest(&self) -> Vec<EvidenceId> {
        let mut by_age: Vec<_> = self.evidence.iter().collect();
        by_age.sort_by_key(|(_, taken)| taken.at);
        let mut left = self.suspicions.blames;
        let is_too_much = |(_, taken): &(&EvidenceId, &Taken)| {
            let is_too_much = left > BLAMES_LEFT;
            left = left.saturating_sub(taken.evidence.blames().count());
            is_too_much
        };
        let oldest = by_age.into_iter().take_while(is_too_much);
        oldest.map(|(id, _)| id.clone()).collect()
    }

    fn rebuild(&mut self) {
        self.suspicions = Suspicions::default();
        for taken in self.evidence.values() {
            self.suspicions.add(&taken.evidence);
        }
    }

    /// Works out who is to blame.
    fn judge(&mut self, now: Duration) -> Vec<QuarantineChange> {
        let guilty = self.suspicions.guilty();
        let mut changes = Vec::new();
        self.blamed.retain(|request, _| {
            let stays = guilty.contains(request);
            if !stays {
                changes.push(QuarantineChange::Released(*request));
            }
            stays
        });
        for request in guilty {
            if let Entry::Vacant(entry) = self.blamed.entry(request) {
                entry.insert(now);
                let servers = self.suspicions.servers[&request].iter().cloned();
                changes.push(QuarantineChange::Quarantined(request, servers.collect()));
            }
        }
        changes
    }
}
