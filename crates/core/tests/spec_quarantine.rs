//! Every interleaving of a small deployment with a request that crashes each server that runs it.
//!
//! Three gateways around the core's own quarantine, one store. The request comes at any gateway at any
//! moment, each try of it may reach two servers, and one gateway is killed with all that it has not
//! told. Then all is quiet: what was seen is told and read. From there on at most three servers may be
//! reached. Each guard is left out once to show that the search finds what it guards against.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use amaranthscale_core::id::{EvidenceId, RequestFingerprint};
use amaranthscale_core::process::{CrashEvidence, Quarantine, QuarantineState};

const GATEWAYS: usize = 3;
/// Servers that one try of a caller may reach.
const MOST_OF_TRY: usize = 2;
/// Tries before all is quiet, and as many after it.
const MOST_TRIES: usize = 2;
const MOST_KILLS: usize = 1;
/// Servers that may be reached once all is quiet.
const MOST_AFTER: usize = 3;
/// Servers that must have crashed before.
const CRASHED_BEFORE: usize = 3;
/// When all is quiet; what is learnt after it is not yet confirmed.
const QUIET_AT: Duration = Duration::from_secs(10);

/// Parts of the protocol that can be left out.
#[derive(Debug, Clone, Copy)]
struct Guards {
    tells_others: bool,
    reads_at_start: bool,
    runs_one_at_a_time: bool,
}

const ALL: Guards = Guards {
    tells_others: true,
    reads_at_start: true,
    runs_one_at_a_time: true,
};

type Rows = BTreeMap<EvidenceId, CrashEvidence>;

#[derive(Debug, Clone, Default)]
struct Gateway {
    quarantine: Quarantine,
    known: BTreeSet<EvidenceId>,
    /// Told to nobody yet.
    untold: Rows,
    /// Servers that its open try has reached; none while it has no try.
    reached: Option<usize>,
    /// Whether the open try holds the claim.
    has_claim: bool,
}

#[derive(Debug, Clone, Default)]
struct World {
    gateways: Vec<Gateway>,
    store: Rows,
    crashed: usize,
    tries: usize,
    kills: usize,
    /// Servers reached since all was quiet.
    after: Option<usize>,
    /// Moves that led here, by gateway.
    trace: Vec<(&'static str, usize)>,
}

fn culprit() -> RequestFingerprint {
    RequestFingerprint::of(None, "h.example", "/a/", b"crashes")
}

fn claim_id() -> EvidenceId {
    "single".parse().unwrap()
}

impl World {
    fn new() -> Self {
        Self {
            gateways: vec![Gateway::default(); GATEWAYS],
            ..Self::default()
        }
    }

    fn now(&self) -> Duration {
        if self.after.is_some() {
            QUIET_AT
        } else {
            Duration::ZERO
        }
    }

    /// What tells two worlds apart.
    fn key(&self) -> String {
        let gateways = self.gateways.iter().map(|gateway| {
            let untold: Vec<_> = gateway.untold.keys().collect();
            (&gateway.known, untold, gateway.reached, gateway.has_claim)
        });
        // Gateways are alike, so their order tells nothing.
        let mut gateways: Vec<_> = gateways.map(|gateway| format!("{gateway:?}")).collect();
        gateways.sort();
        let store: Vec<_> = self.store.keys().collect();
        let counts = (self.crashed, self.tries, self.kills, self.after);
        format!("{gateways:?} {store:?} {counts:?}")
    }

    /// All worlds that one move leads to.
    fn next(&self, guards: Guards) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..GATEWAYS {
            next.extend(self.begin(index, guards));
            next.extend(self.reach(index, guards));
            next.extend(self.end(index));
            next.extend(self.tell(index, guards));
            next.extend(self.read(index, guards));
            next.extend(self.kill(index, guards));
        }
        next.extend(self.be_quiet(guards));
        next
    }

    fn moved(&self, what: &'static str, index: usize) -> Self {
        let mut world = self.clone();
        world.trace.push((what, index));
        world
    }

    /// The request comes at a gateway.
    fn begin(&self, index: usize, guards: Guards) -> Option<Self> {
        let gateway = &self.gateways[index];
        if gateway.reached.is_some() || self.tries >= MOST_TRIES {
            return None;
        }
        let mut world = self.moved("takes it", index);
        world.tries += 1;
        match gateway.quarantine.state(culprit(), self.now()) {
            QuarantineState::Quarantined(_) => {}
            QuarantineState::SingleRun if guards.runs_one_at_a_time => {
                if !self.store.contains_key(&claim_id()) {
                    let mut claim = CrashEvidence::default();
                    claim.add_crash(&format!("single-g{index}").parse().unwrap(), culprit());
                    world.store.insert(claim_id(), claim);
                    world.gateways[index].reached = Some(0);
                    world.gateways[index].has_claim = true;
                }
            }
            QuarantineState::SingleRun | QuarantineState::Suspected | QuarantineState::Clear => {
                world.gateways[index].reached = Some(0);
            }
        }
        Some(world)
    }

    /// An open try reaches its next server, which crashes.
    fn reach(&self, index: usize, guards: Guards) -> Option<Self> {
        let gateway = &self.gateways[index];
        let reached = gateway.reached?;
        let verdict = gateway.quarantine.state(culprit(), self.now());
        let is_last = match verdict {
            QuarantineState::Quarantined(_) => true,
            QuarantineState::SingleRun => {
                guards.runs_one_at_a_time && (reached > 0 || !gateway.has_claim)
            }
            QuarantineState::Suspected | QuarantineState::Clear => false,
        };
        if reached >= MOST_OF_TRY || is_last {
            return None;
        }
        let mut world = self.moved("sends it", index);
        let id: EvidenceId = format!("e{}", self.crashed).parse().unwrap();
        let mut evidence = CrashEvidence::default();
        evidence.add_crash(&format!("s{}", self.crashed).parse().unwrap(), culprit());
        world.crashed += 1;
        world.after = world.after.map(|after| after + 1);
        let now = self.now();
        let gateway = &mut world.gateways[index];
        gateway.reached = Some(reached + 1);
        gateway
            .quarantine
            .add_evidence(id.clone(), evidence.clone(), now);
        gateway.known.insert(id.clone());
        gateway.untold.insert(id, evidence);
        Some(world)
    }

    /// An open try ends; its claim does once all that it saw is told.
    fn end(&self, index: usize) -> Option<Self> {
        let gateway = &self.gateways[index];
        gateway.reached?;
        if gateway.has_claim && !gateway.untold.is_empty() {
            return None;
        }
        let mut world = self.moved("ends its try", index);
        if std::mem::take(&mut world.gateways[index].has_claim) {
            world.store.remove(&claim_id());
        }
        world.gateways[index].reached = None;
        Some(world)
    }

    fn tell(&self, index: usize, guards: Guards) -> Option<Self> {
        if self.gateways[index].untold.is_empty() || !guards.tells_others {
            return None;
        }
        let mut world = self.moved("tells", index);
        let untold = std::mem::take(&mut world.gateways[index].untold);
        world.store.extend(untold);
        Some(world)
    }

    fn read(&self, index: usize, guards: Guards) -> Option<Self> {
        let mut world = self.moved("reads", index);
        world.read_store(index, guards);
        (world.gateways[index].known != self.gateways[index].known).then_some(world)
    }

    fn read_store(&mut self, index: usize, guards: Guards) {
        let now = self.now();
        let gateway = &mut self.gateways[index];
        if !guards.tells_others {
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

    /// A gateway is killed and starts again; what it had not told is lost.
    fn kill(&self, index: usize, guards: Guards) -> Option<Self> {
        if self.kills >= MOST_KILLS || self.after.is_some() {
            return None;
        }
        let mut world = self.moved("is killed", index);
        world.kills += 1;
        world.gateways[index] = Gateway::default();
        if guards.reads_at_start {
            world.read_store(index, guards);
        }
        Some(world)
    }

    /// Three servers have crashed, and time passes without a try: all that was seen is told and read.
    fn be_quiet(&self, guards: Guards) -> Option<Self> {
        let is_open = self
            .gateways
            .iter()
            .any(|gateway| gateway.reached.is_some());
        if self.after.is_some() || self.crashed < CRASHED_BEFORE || is_open {
            return None;
        }
        let mut world = self.moved("all is quiet", 0);
        for index in 0..GATEWAYS {
            if let Some(told) = world.tell(index, guards) {
                world = told;
            }
        }
        for index in 0..GATEWAYS {
            if guards.reads_at_start {
                world.read_store(index, guards);
            }
        }
        world.after = Some(0);
        world.tries = 0;
        Some(world)
    }
}

/// Searches all worlds; the trace of one that breaks the bound, and how many there are.
fn search(guards: Guards) -> (Option<Vec<(&'static str, usize)>>, usize) {
    let mut open = VecDeque::from([World::new()]);
    let mut seen = BTreeSet::new();
    while let Some(world) = open.pop_front() {
        if world.after.is_some_and(|after| after > MOST_AFTER) {
            return (Some(world.trace), seen.len());
        }
        for next in world.next(guards) {
            if seen.insert(next.key()) {
                open.push_back(next);
            }
        }
    }
    (None, seen.len())
}

#[test]
fn a_request_that_crashed_three_servers_reaches_three_more_at_most() {
    let (broken, worlds) = search(ALL);

    println!("{worlds} worlds");
    assert_eq!(broken, None);
}

#[test]
fn without_a_word_to_the_others_it_reaches_more() {
    let guards = Guards {
        tells_others: false,
        ..ALL
    };

    assert!(search(guards).0.is_some());
}

#[test]
fn without_one_run_at_a_time_it_reaches_more() {
    let guards = Guards {
        runs_one_at_a_time: false,
        ..ALL
    };

    assert!(search(guards).0.is_some());
}

/// One that never reads what was told before it started.
#[test]
fn without_reading_at_the_start_it_reaches_more() {
    let guards = Guards {
        reads_at_start: false,
        ..ALL
    };

    assert!(search(guards).0.is_some());
}
