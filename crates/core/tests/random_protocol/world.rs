//! Entries, sidecars and a table, driven one random step at a time.
//!
//! The ledgers, conditional writes and claim rows are the real ones; only the loop around them is
//! the test's own. Packets wait in the network until they are delivered, repeated or forgotten.

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
/// Calls under a key, each asked for by both entries.
const KEYED_CALLS: usize = 2;
const ENTRIES: usize = 2;
/// Attempts that one asker makes at most.
pub const MAX_TRIES: u32 = 3;
const TICK: Duration = Duration::from_millis(40);
pub const EXPIRY_AHEAD: Duration = Duration::from_millis(100);
const LIMITS: LedgerLimits = LedgerLimits {
    max_entries: 100,
    max_expiry_ahead: Duration::from_millis(200),
    keep_finished: Duration::from_millis(50),
};

/// A guard left out on purpose, to show that the runs would notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Omission {
    None,
    /// Silence of a sidecar is taken for "not run".
    Cancel,
    /// Silence of the table is taken for a claim that was won.
    ReadBack,
}

/// What a run came to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    pub runs: usize,
    pub complete: usize,
    pub not_run: usize,
    pub unknown: usize,
    pub restarts: usize,
}

/// Runs one schedule to its end, or says which promise it broke.
pub fn run(seed: u64, steps: usize, omission: Omission) -> Result<Tally, String> {
    let _named = NamedSeed(seed);
    let mut world = World::new(seed, omission);
    for _ in 0..steps {
        world.random_step();
        world.check()?;
    }
    world.settle()?;
    Ok(world.tally)
}

/// Names the seed when an assertion inside the program fails.
struct NamedSeed(u64);

impl Drop for NamedSeed {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {}: an assertion failed", self.0);
        }
    }
}

#[derive(Debug, Clone)]
pub enum Packet {
    Dispatch {
        order: Order,
        is_replay: bool,
    },
    Answer {
        order: Order,
        outcome: Outcome,
    },
    Ask {
        asker: usize,
        order: Order,
    },
    Told {
        asker: usize,
        order: Order,
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

/// An attempt as its asker sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    pub attempt: AttemptId,
    pub asker: usize,
    pub sidecar: usize,
    pub incarnation: Incarnation,
    pub expiry: SidecarClock,
    pub ticket: Option<ClaimTicket>,
}

/// Who waits for the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Writer {
    Asker(usize),
    Sidecar(usize, Incarnation, AttemptId),
}

#[derive(Debug)]
pub enum Phase {
    Idle,
    Reading,
    Waiting(Order),
    Cancelling(Order, ConditionalWrite),
    Following(Order),
    GivingUp(ConditionalWrite),
    Done,
}

/// One call as one entry serves it.
#[derive(Debug)]
pub struct Asker {
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
    GivingBack(ConditionalWrite),
    Finishing(ConditionalWrite),
}

#[derive(Debug)]
pub struct Sidecar {
    pub ledger: Ledger,
    pub clock: SidecarClock,
    pub jobs: BTreeMap<AttemptId, (Order, Job)>,
}

pub struct World {
    pub random: Gen,
    pub omission: Omission,
    pub table: BTreeMap<String, Row>,
    pub network: Vec<Packet>,
    pub askers: Vec<Asker>,
    pub sidecars: Vec<Sidecar>,
    pub ran: BTreeMap<usize, Vec<AttemptId>>,
    pub called_not_run: BTreeSet<AttemptId>,
    pub mixed_up: Option<String>,
    pub ids: u64,
    pub tally: Tally,
}

impl World {
    fn new(seed: u64, omission: Omission) -> Self {
        let keyed = (0..KEYED_CALLS * ENTRIES).map(|n| asker(n / ENTRIES, true));
        let plain = (0..ENTRIES).map(|n| asker(KEYED_CALLS + n, false));
        let askers = keyed.chain(plain).collect();
        let sidecars = (0..SIDECARS)
            .map(|n| sidecar(Incarnation::new(n as u64)))
            .collect();
        Self {
            random: Gen::from_size_and_seed(10, seed),
            omission,
            table: BTreeMap::new(),
            network: Vec::new(),
            askers,
            sidecars,
            ran: BTreeMap::new(),
            called_not_run: BTreeSet::new(),
            mixed_up: None,
            ids: 1000,
            tally: Tally::default(),
        }
    }

    fn random_step(&mut self) {
        match self.pick(16) {
            0..=6 => self.deliver_any(),
            7..=9 => {
                let asker = self.pick(self.askers.len());
                self.wake_asker(asker, false);
            }
            10..=13 => {
                let sidecar = self.pick(SIDECARS);
                self.wake_sidecar(sidecar);
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
            if let Some(attempt) = attempts.iter().find(|a| self.called_not_run.contains(a)) {
                return Err(format!(
                    "attempt {attempt} was answered \"not run\" and ran"
                ));
            }
        }
        self.mixed_up.clone().map_or(Ok(()), Err)
    }

    /// Without further faults every asker must come to its answer.
    fn settle(&mut self) -> Result<(), String> {
        const MAX_ROUNDS: usize = 400;
        for _ in 0..MAX_ROUNDS {
            while !self.network.is_empty() {
                let packet = self.network.remove(0);
                self.deliver(packet);
            }
            for sidecar in 0..SIDECARS {
                self.wake_sidecar(sidecar);
            }
            for asker in 0..self.askers.len() {
                self.wake_asker(asker, true);
            }
            self.check()?;
            if self
                .askers
                .iter()
                .all(|asker| matches!(asker.phase, Phase::Done))
            {
                return Ok(());
            }
        }
        let stuck = self
            .askers
            .iter()
            .find(|asker| !matches!(asker.phase, Phase::Done));
        Err(format!("without faults no answer comes: {stuck:?}"))
    }

    fn fault(&mut self) {
        match self.pick(8) {
            0..=2 if !self.network.is_empty() => {
                let lost = self.pick(self.network.len());
                self.network.swap_remove(lost);
            }
            3 => {
                let restarted = self.pick(SIDECARS);
                let life = Incarnation::new(self.next_id());
                self.sidecars[restarted] = sidecar(life);
                self.tally.restarts += 1;
            }
            _ => {}
        }
    }

    fn deliver_any(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let index = self.pick(self.network.len());
        let is_repeated = self.pick(4) == 0;
        let packet = self.network.swap_remove(index);
        if is_repeated {
            self.network.push(replay(&packet));
        }
        self.deliver(packet);
    }

    fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::Dispatch { order, is_replay } => self.admit(order, is_replay),
            Packet::Answer { order, outcome } => self.take_answer(&order, &outcome),
            Packet::Ask { asker, order } => self.ask(asker, order),
            Packet::Told {
                asker,
                order,
                answer,
            } => self.take_told(asker, &order, answer),
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
        self.ids += 1;
        self.ids
    }

    pub fn write_id(&mut self) -> WriteId {
        let id = self.next_id();
        WriteId::new(format!("w-{id}")).expect("the name is well formed")
    }
}

fn asker(call: usize, is_keyed: bool) -> Asker {
    Asker {
        call,
        is_keyed,
        tries: 0,
        phase: Phase::Idle,
    }
}

pub fn sidecar(life: Incarnation) -> Sidecar {
    Sidecar {
        ledger: Ledger::new(life, LIMITS),
        clock: SidecarClock::from_millis(1),
        jobs: BTreeMap::new(),
    }
}

pub fn writer(order: &Order) -> Writer {
    Writer::Sidecar(order.sidecar, order.incarnation, order.attempt)
}

fn replay(packet: &Packet) -> Packet {
    match packet {
        Packet::Dispatch { order, .. } => Packet::Dispatch {
            order: order.clone(),
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
