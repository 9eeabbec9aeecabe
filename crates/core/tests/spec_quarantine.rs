//! Exhaustive search over the interleavings of a small deployment with requests that crash each
//! server that runs them.
//!
//! Three gateways use the core's quarantine and one store. Either the same request comes again, or
//! requests of which no two are alike share a part of their prompts. One arrives at any gateway at
//! any time, each call of it may reach two servers, and one gateway is killed with its unpublished
//! evidence. Then the system becomes quiescent: all evidence is published and read. From then on at
//! most three servers may be reached. Each guard is disabled once to show that the search finds the
//! fault that it prevents.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use amaranthscale_core::id::{EvidenceId, PromptPartId, RequestFingerprint};
use amaranthscale_core::process::{CrashEvidence, Quarantine, QuarantineState, Suspect};

const GATEWAYS: usize = 3;
/// Maximum servers that one call may reach.
const MAX_SERVERS_PER_CALL: usize = 2;
/// Maximum calls before the system is quiescent, and as many after it.
const MAX_CALLS: usize = 2;
const MAX_KILLS: usize = 1;
/// Maximum servers that may be reached after the system is quiescent.
const MAX_SERVERS_AFTER: usize = 3;
/// Servers that must have crashed before the system is quiescent.
const CRASHED_BEFORE: usize = 3;
/// Time when the system is quiescent; evidence added after it is not confirmed yet.
const QUIESCENT_AT: Duration = Duration::from_secs(10);

/// Parts of the protocol that can be disabled.
#[derive(Debug, Clone, Copy)]
struct Guards {
    publishes_evidence: bool,
    reads_at_start: bool,
    allows_single_runs_only: bool,
}

const ALL: Guards = Guards {
    publishes_evidence: true,
    reads_at_start: true,
    allows_single_runs_only: true,
};

/// What the requests that crash servers have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Culprit {
    /// They are the same request.
    #[default]
    Request,
    /// A part of their prompts; the rest differs.
    PromptPart,
}

type Rows = BTreeMap<EvidenceId, CrashEvidence>;

#[derive(Debug, Clone, Default)]
struct Gateway {
    quarantine: Quarantine,
    known: BTreeSet<EvidenceId>,
    /// Evidence not published yet.
    unpublished: Rows,
    /// Number of its last call.
    call: usize,
    /// Number of servers that its open call has reached; `None` without an open call.
    reached: Option<usize>,
    /// Whether the open call holds the claim of a single run.
    has_claim: bool,
}

#[derive(Debug, Clone, Default)]
struct Model {
    culprit: Culprit,
    gateways: Vec<Gateway>,
    store: Rows,
    crashed: usize,
    /// Calls since the start, or since the system is quiescent.
    calls: usize,
    /// Calls of both times.
    all_calls: usize,
    kills: usize,
    /// Servers reached since the system was quiescent; `None` before.
    reached_after: Option<usize>,
    /// Transitions that led here, with the gateway of each.
    trace: Vec<(&'static str, usize)>,
}

/// The request of a call; no two are alike.
fn request(call: usize) -> Suspect {
    RequestFingerprint::of(None, "h.example", "/a/", call.to_string().as_bytes()).into()
}

fn shared_part() -> Suspect {
    let part: PromptPartId = "5c1e07a2".parse().unwrap();
    Suspect::PromptPart(part)
}

fn claim_id() -> EvidenceId {
    "single".parse().unwrap()
}

impl Model {
    fn new(culprit: Culprit) -> Self {
        Self {
            culprit,
            gateways: vec![Gateway::default(); GATEWAYS],
            ..Self::default()
        }
    }

    /// What may crash a server that runs a call.
    fn suspects(&self, call: usize) -> Vec<Suspect> {
        match self.culprit {
            Culprit::Request => vec![request(0)],
            Culprit::PromptPart => vec![shared_part(), request(call)],
        }
    }

    fn now(&self) -> Duration {
        if self.reached_after.is_some() {
            QUIESCENT_AT
        } else {
            Duration::ZERO
        }
    }

    /// The state that identifies a model.
    fn key(&self) -> String {
        let gateways = self.gateways.iter().map(|gateway| {
            let unpublished: Vec<_> = gateway.unpublished.keys().collect();
            (
                &gateway.known,
                unpublished,
                gateway.reached.map(|reached| (reached, gateway.call)),
                gateway.has_claim,
            )
        });
        // Gateways are interchangeable, so their order does not matter.
        let mut gateways: Vec<_> = gateways.map(|gateway| format!("{gateway:?}")).collect();
        gateways.sort();
        let store: Vec<_> = self.store.keys().collect();
        let counts = (self.crashed, self.calls, self.kills, self.reached_after);
        format!("{gateways:?} {store:?} {counts:?}")
    }

    /// All successors of this state.
    fn next(&self, guards: Guards) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..GATEWAYS {
            next.extend(self.receive(index, guards));
            next.extend(self.send(index, guards));
            next.extend(self.end(index));
            next.extend(self.publish(index, guards));
            next.extend(self.read(index, guards));
            next.extend(self.kill(index, guards));
        }
        next.extend(self.become_quiescent(guards));
        next
    }

    fn transition(&self, what: &'static str, index: usize) -> Self {
        let mut model = self.clone();
        model.trace.push((what, index));
        model
    }

    /// The request arrives at a gateway.
    fn receive(&self, index: usize, guards: Guards) -> Option<Self> {
        let gateway = &self.gateways[index];
        if gateway.reached.is_some() || self.calls >= MAX_CALLS {
            return None;
        }
        let mut model = self.transition("receives the request", index);
        let call = self.all_calls;
        let suspects = self.suspects(call);
        model.calls += 1;
        model.all_calls += 1;
        model.gateways[index].call = call;
        match gateway.quarantine.state(&suspects, self.now()) {
            QuarantineState::Quarantined(_) => {}
            QuarantineState::SingleRun if guards.allows_single_runs_only => {
                if !self.store.contains_key(&claim_id()) {
                    let claim = CrashEvidence {
                        claimed: suspects,
                        ..CrashEvidence::default()
                    };
                    model.store.insert(claim_id(), claim);
                    model.gateways[index].reached = Some(0);
                    model.gateways[index].has_claim = true;
                }
            }
            QuarantineState::SingleRun | QuarantineState::Suspected | QuarantineState::Clear => {
                model.gateways[index].reached = Some(0);
            }
        }
        Some(model)
    }

    /// An open call reaches its next server, which crashes.
    fn send(&self, index: usize, guards: Guards) -> Option<Self> {
        let gateway = &self.gateways[index];
        let reached = gateway.reached?;
        let suspects = self.suspects(gateway.call);
        let verdict = gateway.quarantine.state(&suspects, self.now());
        let is_last = match verdict {
            QuarantineState::Quarantined(_) => true,
            QuarantineState::SingleRun => {
                guards.allows_single_runs_only && (reached > 0 || !gateway.has_claim)
            }
            QuarantineState::Suspected | QuarantineState::Clear => false,
        };
        if reached >= MAX_SERVERS_PER_CALL || is_last {
            return None;
        }
        let mut model = self.transition("sends the request", index);
        let id: EvidenceId = format!("e{}", self.crashed).parse().unwrap();
        let mut evidence = CrashEvidence::default();
        let server = format!("s{}", self.crashed).parse().unwrap();
        for suspect in suspects {
            evidence.add_crash(&server, suspect);
        }
        model.crashed += 1;
        model.reached_after = model.reached_after.map(|reached_after| reached_after + 1);
        let now = self.now();
        let gateway = &mut model.gateways[index];
        gateway.reached = Some(reached + 1);
        gateway
            .quarantine
            .add_evidence(id.clone(), evidence.clone(), now);
        gateway.known.insert(id.clone());
        gateway.unpublished.insert(id, evidence);
        Some(model)
    }

    /// An open call ends; one with a claim only after its evidence was published.
    fn end(&self, index: usize) -> Option<Self> {
        let gateway = &self.gateways[index];
        gateway.reached?;
        if gateway.has_claim && !gateway.unpublished.is_empty() {
            return None;
        }
        let mut model = self.transition("ends its call", index);
        if std::mem::take(&mut model.gateways[index].has_claim) {
            model.store.remove(&claim_id());
        }
        model.gateways[index].reached = None;
        Some(model)
    }

    fn publish(&self, index: usize, guards: Guards) -> Option<Self> {
        if self.gateways[index].unpublished.is_empty() || !guards.publishes_evidence {
            return None;
        }
        let mut model = self.transition("publishes", index);
        let unpublished = std::mem::take(&mut model.gateways[index].unpublished);
        model.store.extend(unpublished);
        Some(model)
    }

    fn read(&self, index: usize, guards: Guards) -> Option<Self> {
        let mut model = self.transition("reads", index);
        model.read_store(index, guards);
        (model.gateways[index].known != self.gateways[index].known).then_some(model)
    }

    fn read_store(&mut self, index: usize, guards: Guards) {
        let now = self.now();
        let gateway = &mut self.gateways[index];
        if !guards.publishes_evidence {
            return;
        }
        for (id, evidence) in &self.store {
            let is_own_claim = *id == claim_id() && gateway.has_claim;
            if !is_own_claim && gateway.known.insert(id.clone()) {
                gateway
                    .quarantine
                    .add_evidence(id.clone(), evidence.clone(), now);
            }
        }
        if !self.store.contains_key(&claim_id()) && gateway.known.remove(&claim_id()) {
            gateway.quarantine.remove_evidence(&claim_id(), now);
        }
    }

    /// A gateway is killed and restarts; its unpublished evidence is lost.
    fn kill(&self, index: usize, guards: Guards) -> Option<Self> {
        if self.kills >= MAX_KILLS || self.reached_after.is_some() {
            return None;
        }
        let mut model = self.transition("is killed", index);
        model.kills += 1;
        model.gateways[index] = Gateway::default();
        if guards.reads_at_start {
            model.read_store(index, guards);
        }
        Some(model)
    }

    /// After three crashes, time passes without an open call: all evidence is published and read.
    fn become_quiescent(&self, guards: Guards) -> Option<Self> {
        let is_open = self
            .gateways
            .iter()
            .any(|gateway| gateway.reached.is_some());
        if self.reached_after.is_some() || self.crashed < CRASHED_BEFORE || is_open {
            return None;
        }
        let mut model = self.transition("the system is quiescent", 0);
        for index in 0..GATEWAYS {
            if let Some(published) = model.publish(index, guards) {
                model = published;
            }
        }
        for index in 0..GATEWAYS {
            if guards.reads_at_start {
                model.read_store(index, guards);
            }
        }
        model.reached_after = Some(0);
        model.calls = 0;
        Some(model)
    }
}

/// Searches all states; returns the trace of one that violates the limit, and the number of states.
fn search(culprit: Culprit, guards: Guards) -> (Option<Vec<(&'static str, usize)>>, usize) {
    let mut open = VecDeque::from([Model::new(culprit)]);
    let mut visited = BTreeSet::new();
    while let Some(model) = open.pop_front() {
        if model
            .reached_after
            .is_some_and(|reached_after| reached_after > MAX_SERVERS_AFTER)
        {
            return (Some(model.trace), visited.len());
        }
        for next in model.next(guards) {
            if visited.insert(next.key()) {
                open.push_back(next);
            }
        }
    }
    (None, visited.len())
}

/// Whether the search finds a violation with some guards, whatever the requests have in common.
fn finds_violation(guards: Guards) -> [bool; 2] {
    let culprits = [Culprit::Request, Culprit::PromptPart];
    culprits.map(|culprit| search(culprit, guards).0.is_some())
}

#[test]
fn a_request_that_crashed_three_servers_reaches_at_most_three_more() {
    let (violation, states) = search(Culprit::Request, ALL);

    println!("{states} states");
    assert_eq!(violation, None);
}

/// Guards against crashes of a part that are counted for each request that holds it.
#[test]
fn requests_with_a_part_that_crashed_three_servers_reach_at_most_three_more() {
    let (violation, states) = search(Culprit::PromptPart, ALL);

    println!("{states} states");
    assert_eq!(violation, None);
}

#[test]
fn without_publishing_evidence_it_reaches_more() {
    let guards = Guards {
        publishes_evidence: false,
        ..ALL
    };

    assert_eq!(finds_violation(guards), [true; 2]);
}

#[test]
fn without_single_runs_it_reaches_more() {
    let guards = Guards {
        allows_single_runs_only: false,
        ..ALL
    };

    assert_eq!(finds_violation(guards), [true; 2]);
}

/// A restarted gateway never reads the evidence published before it started.
#[test]
fn without_reading_at_start_it_reaches_more() {
    let guards = Guards {
        reads_at_start: false,
        ..ALL
    };

    assert_eq!(finds_violation(guards), [true; 2]);
}
