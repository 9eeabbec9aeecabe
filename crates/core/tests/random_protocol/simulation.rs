//! A simulation of entries, sidecars and a table, run one random step at a time.
//!
//! The ledgers, conditional writes and claim rows are the real ones; only the loop around them is
//! part of the test. Packets stay in the network until they are delivered, duplicated or lost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranthscale_core::id::{
    AttemptId, HostId, IdempotencyKey, Incarnation, OrganisationId, StageIndex, WriteId,
};
use amaranthscale_core::request::{Ledger, LedgerLimits};
use amaranthscale_core::unit::SidecarClock;
use amaranthscale_core::version::{ConditionalWrite, WriteEvent};
use amaranthscale_core::wire::{
    CallFingerprint, ClaimKey, ClaimTicket, Outcome, RevokeAnswer, Row, Transaction,
    TransactionReply,
};
use quickcheck::{Arbitrary as _, Gen};

pub const SIDECARS: usize = 2;
/// Calls with a key, each made by both entries.
const KEYED_CALLS: usize = 2;
const ENTRIES: usize = 2;
/// Maximum attempts at a call by one entry.
pub const MAX_TRIES: u32 = 3;
const TICK: Duration = Duration::from_millis(40);
pub const EXPIRY_AHEAD: Duration = Duration::from_millis(100);
const LIMITS: LedgerLimits = LedgerLimits {
    max_entries: 100,
    max_expiry_ahead: Duration::from_millis(200),
    keep_finished: Duration::from_millis(50),
};

/// A guard omitted on purpose, to show that the runs detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Omission {
    None,
    /// A missing answer of a sidecar is treated as "not run".
    Cancel,
    /// A missing reply of the table is treated as a won claim.
    ReadBack,
}

/// Results of runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    pub runs: usize,
    pub complete: usize,
    pub not_run: usize,
    pub unknown: usize,
    pub restarts: usize,
}

/// Runs one schedule to its end; an error is a violated rule.
pub fn run(seed: u64, steps: usize, omission: Omission) -> Result<Counts, String> {
    let _reporter = SeedReporter(seed);
    let mut simulation = Simulation::new(seed, omission);
    for _ in 0..steps {
        simulation.random_step();
        simulation.check()?;
    }
    simulation.run_to_completion()?;
    Ok(simulation.counts)
}

/// Prints the seed when an assertion inside the program fails.
struct SeedReporter(u64);

impl Drop for SeedReporter {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {}: an assertion failed", self.0);
        }
    }
}

#[derive(Debug, Clone)]
pub enum Packet {
    Dispatch {
        sent: SentAttempt,
        is_replay: bool,
    },
    Answer {
        sent: SentAttempt,
        outcome: Outcome,
    },
    Revoke {
        entry_call: usize,
        sent: SentAttempt,
    },
    RevokeReply {
        entry_call: usize,
        sent: SentAttempt,
        answer: RevokeAnswer,
    },
    Write {
        writer: Writer,
        transaction: Transaction,
    },
    Written {
        writer: Writer,
        reply: TransactionReply,
    },
    Read {
        writer: Writer,
        key: String,
    },
    ReadBack {
        writer: Writer,
        row: Row,
    },
}

/// An attempt as its entry sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentAttempt {
    pub attempt: AttemptId,
    pub entry_call: usize,
    pub sidecar: usize,
    pub incarnation: Incarnation,
    pub expiry: SidecarClock,
    pub ticket: Option<ClaimTicket>,
}

/// The process that waits for the table's reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Writer {
    Entry(usize),
    Sidecar(usize, Incarnation, AttemptId),
}

#[derive(Debug)]
pub enum Phase {
    Idle,
    Reading,
    Waiting(SentAttempt),
    Cancelling(SentAttempt, ConditionalWrite),
    Following(SentAttempt),
    MarkingUnknown(ConditionalWrite),
    Done,
}

/// One call as processed by one entry.
#[derive(Debug)]
pub struct EntryCall {
    pub call: usize,
    pub is_keyed: bool,
    pub tries: u32,
    pub phase: Phase,
}

#[derive(Debug)]
pub enum Job {
    Queued,
    Claiming(ConditionalWrite),
    Calling(Option<Row>),
    CancellingClaim(ConditionalWrite),
    Finishing(ConditionalWrite),
}

#[derive(Debug)]
pub struct Sidecar {
    pub ledger: Ledger,
    pub clock: SidecarClock,
    pub jobs: BTreeMap<AttemptId, (SentAttempt, Job)>,
}

pub struct Simulation {
    pub random: Gen,
    pub omission: Omission,
    pub table: BTreeMap<String, Row>,
    pub network: Vec<Packet>,
    pub entry_calls: Vec<EntryCall>,
    pub sidecars: Vec<Sidecar>,
    pub ran: BTreeMap<usize, Vec<AttemptId>>,
    pub reported_not_run: BTreeSet<AttemptId>,
    pub wrong_result: Option<String>,
    pub last_id: u64,
    pub counts: Counts,
}

impl Simulation {
    fn new(seed: u64, omission: Omission) -> Self {
        let keyed = (0..KEYED_CALLS * ENTRIES).map(|n| entry_call(n / ENTRIES, true));
        let plain = (0..ENTRIES).map(|n| entry_call(KEYED_CALLS + n, false));
        let entry_calls = keyed.chain(plain).collect();
        let sidecars = (0..SIDECARS)
            .map(|n| sidecar(Incarnation::new(n as u64)))
            .collect();
        Self {
            random: Gen::from_size_and_seed(10, seed),
            omission,
            table: BTreeMap::new(),
            network: Vec::new(),
            entry_calls,
            sidecars,
            ran: BTreeMap::new(),
            reported_not_run: BTreeSet::new(),
            wrong_result: None,
            last_id: 1000,
            counts: Counts::default(),
        }
    }

    fn random_step(&mut self) {
        match self.pick(16) {
            0..=6 => self.deliver_random(),
            7..=9 => {
                let entry_call = self.pick(self.entry_calls.len());
                self.step_entry_call(entry_call, false);
            }
            10..=13 => {
                let sidecar = self.pick(SIDECARS);
                self.step_sidecar(sidecar);
            }
            14 => {
                let sidecar = self.pick(SIDECARS);
                self.sidecars[sidecar].clock = self.sidecars[sidecar].clock.plus(TICK);
                let now = self.sidecars[sidecar].clock;
                self.sidecars[sidecar].ledger.sweep(now);
            }
            _ => self.fault(),
        }
    }

    fn check(&self) -> Result<(), String> {
        for (call, attempts) in &self.ran {
            if attempts.len() > 1 {
                return Err(format!(
                    "call {call} ran {} times: {attempts:?}",
                    attempts.len()
                ));
            }
            if let Some(attempt) = attempts.iter().find(|a| self.reported_not_run.contains(a)) {
                return Err(format!(
                    "attempt {attempt} was answered \"not run\" and ran"
                ));
            }
        }
        self.wrong_result.clone().map_or(Ok(()), Err)
    }

    /// Without further faults, every entry must answer its calls.
    fn run_to_completion(&mut self) -> Result<(), String> {
        const MAX_ROUNDS: usize = 400;
        for _ in 0..MAX_ROUNDS {
            while !self.network.is_empty() {
                let packet = self.network.remove(0);
                self.deliver(packet);
            }
            for sidecar in 0..SIDECARS {
                self.step_sidecar(sidecar);
            }
            for entry_call in 0..self.entry_calls.len() {
                self.step_entry_call(entry_call, true);
            }
            self.check()?;
            if self
                .entry_calls
                .iter()
                .all(|entry_call| matches!(entry_call.phase, Phase::Done))
            {
                return Ok(());
            }
        }
        let stuck = self
            .entry_calls
            .iter()
            .find(|entry_call| !matches!(entry_call.phase, Phase::Done));
        Err(format!(
            "no answer although the faults have ended: {stuck:?}"
        ))
    }

    fn fault(&mut self) {
        match self.pick(8) {
            0..=2 if !self.network.is_empty() => {
                let lost = self.pick(self.network.len());
                self.network.swap_remove(lost);
            }
            3 => {
                let restarted = self.pick(SIDECARS);
                let incarnation = Incarnation::new(self.next_id());
                self.sidecars[restarted] = sidecar(incarnation);
                self.counts.restarts += 1;
            }
            _ => {}
        }
    }

    fn deliver_random(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let index = self.pick(self.network.len());
        let is_duplicated = self.pick(4) == 0;
        let packet = self.network.swap_remove(index);
        if is_duplicated {
            self.network.push(replay(&packet));
        }
        self.deliver(packet);
    }

    fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::Dispatch { sent, is_replay } => self.admit(sent, is_replay),
            Packet::Answer { sent, outcome } => self.receive_answer(&sent, &outcome),
            Packet::Revoke { entry_call, sent } => self.revoke(entry_call, sent),
            Packet::RevokeReply {
                entry_call,
                sent,
                answer,
            } => self.receive_revoke_reply(entry_call, &sent, answer),
            Packet::Write {
                writer,
                transaction,
            } => {
                let reply = self.commit(&transaction);
                self.network.push(Packet::Written { writer, reply });
            }
            Packet::Read { writer, key } => {
                let row = self.row(&key);
                self.network.push(Packet::ReadBack { writer, row });
            }
            Packet::Written { writer, reply } => {
                self.table_event(writer, WriteEvent::Replied(reply));
            }
            Packet::ReadBack { writer, row } => self.table_event(writer, WriteEvent::ReadBack(row)),
        }
    }

    pub fn pick(&mut self, choices: usize) -> usize {
        usize::arbitrary(&mut self.random) % choices
    }

    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub fn write_id(&mut self) -> WriteId {
        let id = self.next_id();
        WriteId::new(format!("w-{id}")).expect("the name is well formed")
    }
}

fn entry_call(call: usize, is_keyed: bool) -> EntryCall {
    EntryCall {
        call,
        is_keyed,
        tries: 0,
        phase: Phase::Idle,
    }
}

pub fn sidecar(incarnation: Incarnation) -> Sidecar {
    Sidecar {
        ledger: Ledger::new(incarnation, LIMITS),
        clock: SidecarClock::from_millis(1),
        jobs: BTreeMap::new(),
    }
}

pub fn writer(sent: &SentAttempt) -> Writer {
    Writer::Sidecar(sent.sidecar, sent.incarnation, sent.attempt)
}

fn replay(packet: &Packet) -> Packet {
    match packet {
        Packet::Dispatch { sent, .. } => Packet::Dispatch {
            sent: sent.clone(),
            is_replay: true,
        },
        packet => packet.clone(),
    }
}

pub fn host(kind: &str, number: usize) -> HostId {
    HostId::new(format!("{kind}-{number}")).expect("the name is well formed")
}

pub fn claim_key(call: usize) -> ClaimKey {
    ClaimKey {
        organisation: OrganisationId::new("delta").expect("the name is well formed"),
        key: IdempotencyKey::new(format!("call-{call}")).expect("the name is well formed"),
        stage: StageIndex::new(0),
    }
}

pub fn fingerprint(call: usize) -> CallFingerprint {
    CallFingerprint::of("/settle", call.to_string())
}

pub fn result_of(call: usize) -> Vec<u8> {
    format!("settled {call}").into_bytes()
}
