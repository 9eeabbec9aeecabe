//! Entries, sidecars and a table, driven one random step at a time.
//!
//! The ledgers, conditional writes and claim rows are the real ones; only the loop around them is
//! the test's own. Packets wait in the network until they are delivered, repeated or forgotten.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranthscale_core::id::{
    AttemptId, AttemptNumber, HostId, IdempotencyKey, Incarnation, OrganisationId, RequestId,
    RowVersion, StageIndex, WriteId,
};
use amaranthscale_core::request::{
    AttemptFate, ClaimReading, Ledger, LedgerLimits, StoredResult, attempt_fate, cancel_write,
    claim_write, finish_write, mark_unknown_write, read_claim,
};
use amaranthscale_core::unit::SidecarClock;
use amaranthscale_core::version::{ConditionalWrite, WriteEvent, WriteStep};
use amaranthscale_core::wire::{
    ClaimKey, ClaimTicket, Fingerprint, Outcome, RevokeAnswer, Row, Transaction, TransactionReply,
};
use amaranthscale_core::{Ran, ResultCode};
use quickcheck::{Arbitrary as _, Gen};

const SIDECARS: usize = 2;
/// Calls under a key, each asked for by both entries.
const KEYED_CALLS: usize = 2;
const ENTRIES: usize = 2;
/// Attempts that one asker makes at most.
const MAX_TRIES: u32 = 3;
const TICK: Duration = Duration::from_millis(40);
const EXPIRY_AHEAD: Duration = Duration::from_millis(100);
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
enum Packet {
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
struct Order {
    attempt: AttemptId,
    asker: usize,
    sidecar: usize,
    incarnation: Incarnation,
    expiry: SidecarClock,
    ticket: Option<ClaimTicket>,
}

/// Who waits for the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Writer {
    Asker(usize),
    Sidecar(usize, Incarnation, AttemptId),
}

#[derive(Debug)]
enum Phase {
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
struct Asker {
    call: usize,
    is_keyed: bool,
    tries: u32,
    phase: Phase,
}

#[derive(Debug)]
enum Job {
    Queued,
    Claiming(ConditionalWrite),
    Calling(Option<Row>),
    GivingBack(ConditionalWrite),
    Finishing(ConditionalWrite),
}

#[derive(Debug)]
struct Sidecar {
    ledger: Ledger,
    clock: SidecarClock,
    jobs: BTreeMap<AttemptId, (Order, Job)>,
}

struct World {
    random: Gen,
    omission: Omission,
    table: BTreeMap<String, Row>,
    network: Vec<Packet>,
    askers: Vec<Asker>,
    sidecars: Vec<Sidecar>,
    ran: BTreeMap<usize, Vec<AttemptId>>,
    called_not_run: BTreeSet<AttemptId>,
    mixed_up: Option<String>,
    ids: u64,
    tally: Tally,
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
        match self.pick(3) {
            0 if !self.network.is_empty() => {
                let lost = self.pick(self.network.len());
                self.network.swap_remove(lost);
            }
            1 => {
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

    // The table.

    fn row(&self, key: &str) -> Row {
        self.table.get(key).cloned().unwrap_or_else(|| Row {
            key: key.to_owned(),
            version: RowVersion::default(),
            value: String::new(),
        })
    }

    fn commit(&mut self, transaction: &Transaction) -> TransactionReply {
        let is_current =
            |c: &amaranthscale_core::wire::RowCheck| self.row(&c.key).version == c.version;
        if !transaction.checks.iter().all(is_current) {
            let rows = transaction.checks.iter().map(|check| self.row(&check.key));
            return TransactionReply::Conflict(rows.collect());
        }
        let mut rows = Vec::new();
        for write in &transaction.writes {
            let mut row = self.row(&write.key);
            row.version = row.version.next();
            row.value.clone_from(&write.value);
            self.table.insert(write.key.clone(), row.clone());
            rows.push(row);
        }
        TransactionReply::Committed(rows)
    }

    fn table_event(&mut self, writer: Writer, event: WriteEvent) {
        match writer {
            Writer::Asker(asker) => self.asker_event(asker, event),
            Writer::Sidecar(sidecar, life, attempt) => {
                if self.sidecars[sidecar].ledger.incarnation() == life {
                    self.job_event(sidecar, attempt, event);
                }
            }
        }
    }

    fn follow(&mut self, writer: Writer, write: &ConditionalWrite, step: &WriteStep) {
        let key = write.key().to_owned();
        match step {
            WriteStep::Send => {
                let transaction = write.transaction();
                self.network.push(Packet::Write {
                    writer,
                    transaction,
                });
            }
            WriteStep::ReadBack => self.network.push(Packet::Read { writer, key }),
            _ => {}
        }
    }

    // The entries.

    fn wake_asker(&mut self, asker: usize, is_patient: bool) {
        let phase = std::mem::replace(&mut self.askers[asker].phase, Phase::Done);
        self.askers[asker].phase = match phase {
            Phase::Idle if self.askers[asker].is_keyed => {
                let key = claim_key(self.askers[asker].call).to_string();
                self.network.push(Packet::Read {
                    writer: Writer::Asker(asker),
                    key,
                });
                Phase::Reading
            }
            Phase::Idle => self.dispatch(asker, None),
            Phase::Reading => Phase::Idle,
            Phase::Waiting(order) if is_patient || self.pick(2) == 0 => {
                self.network.push(Packet::Ask {
                    asker,
                    order: order.clone(),
                });
                Phase::Waiting(order)
            }
            Phase::Waiting(order) => self.give_up_waiting(asker, order),
            Phase::Cancelling(order, mut write) => {
                let step = write.next(WriteEvent::Lost);
                self.follow(Writer::Asker(asker), &write, &step);
                Phase::Cancelling(order, write)
            }
            Phase::Following(order) => {
                self.network.push(Packet::Ask { asker, order });
                Phase::Idle
            }
            Phase::GivingUp(mut write) => {
                let step = write.next(WriteEvent::Lost);
                self.follow(Writer::Asker(asker), &write, &step);
                Phase::GivingUp(write)
            }
            Phase::Done => Phase::Done,
        };
    }

    fn dispatch(&mut self, asker: usize, ticket: Option<ClaimTicket>) -> Phase {
        if self.askers[asker].tries == MAX_TRIES {
            self.tally.not_run += 1;
            return Phase::Done;
        }
        self.askers[asker].tries += 1;
        let sidecar = self.pick(SIDECARS);
        let target = &self.sidecars[sidecar];
        let order = Order {
            attempt: AttemptId {
                request: RequestId::from_random_bits(asker as u128),
                stage: StageIndex::new(0),
                number: AttemptNumber::new(self.askers[asker].tries),
            },
            asker,
            sidecar,
            incarnation: target.ledger.incarnation(),
            expiry: target.clock.plus(EXPIRY_AHEAD),
            ticket,
        };
        self.network.push(Packet::Dispatch {
            order: order.clone(),
            is_replay: false,
        });
        Phase::Waiting(order)
    }

    fn give_up_waiting(&mut self, asker: usize, order: Order) -> Phase {
        let Some(ticket) = &order.ticket else {
            self.tally.unknown += 1;
            return Phase::Done;
        };
        if self.omission == Omission::Cancel {
            self.called_not_run.insert(order.attempt);
            return Phase::Idle;
        }
        let write_id = self.write_id();
        let by = host("entry", asker);
        let fingerprint = ticket.fingerprint;
        let write = cancel_write(&ticket.key, ticket.version, fingerprint, by, write_id);
        self.follow(Writer::Asker(asker), &write, &WriteStep::Send);
        Phase::Cancelling(order, write)
    }

    fn asker_event(&mut self, asker: usize, event: WriteEvent) {
        let phase = std::mem::replace(&mut self.askers[asker].phase, Phase::Done);
        self.askers[asker].phase = match (phase, event) {
            (Phase::Reading, WriteEvent::ReadBack(row)) => self.follow_claim(asker, &row),
            (Phase::Cancelling(order, mut write), event) => {
                let step = write.next(event);
                self.follow(Writer::Asker(asker), &write, &step);
                match step {
                    WriteStep::Send | WriteStep::ReadBack => Phase::Cancelling(order, write),
                    WriteStep::Won { row }
                    | WriteStep::Superseded { row }
                    | WriteStep::LostTo { row }
                    | WriteStep::Undecided { row } => self.judge_fate(&order, &row),
                }
            }
            (Phase::GivingUp(mut write), event) => {
                let step = write.next(event);
                self.follow(Writer::Asker(asker), &write, &step);
                match step {
                    WriteStep::Send | WriteStep::ReadBack => Phase::GivingUp(write),
                    _ => Phase::Idle,
                }
            }
            (phase, _) => phase,
        };
    }

    fn judge_fate(&mut self, order: &Order, row: &Row) -> Phase {
        let carried = order
            .ticket
            .as_ref()
            .map_or(RowVersion::default(), |t| t.version);
        let fate = attempt_fate(row, order.attempt, carried);
        assert_ne!(
            fate,
            AttemptFate::MayStart,
            "a settled write shows a later row"
        );
        if fate == AttemptFate::NeverRan {
            self.called_not_run.insert(order.attempt);
        }
        Phase::Idle
    }

    fn follow_claim(&mut self, asker: usize, row: &Row) -> Phase {
        let call = self.askers[asker].call;
        let fingerprint = fingerprint(call);
        match read_claim(row, &fingerprint) {
            ClaimReading::Free { version } => {
                let key = claim_key(call);
                self.dispatch(
                    asker,
                    Some(ClaimTicket {
                        key,
                        version,
                        fingerprint,
                    }),
                )
            }
            ClaimReading::Started {
                host: name,
                incarnation,
                attempt,
                version,
            } => {
                let sidecar = usize::from(name == host("sidecar", 1));
                let key = claim_key(call);
                // An expiry long past, since this asks and must leave no tombstone.
                let expiry = SidecarClock::default();
                let ticket = Some(ClaimTicket {
                    key,
                    version,
                    fingerprint,
                });
                Phase::Following(Order {
                    attempt,
                    asker,
                    sidecar,
                    incarnation,
                    expiry,
                    ticket,
                })
            }
            ClaimReading::Finished { result, .. } => {
                let StoredResult::Inline(result) = result else {
                    panic!("results are inline here");
                };
                self.complete(call, &result);
                Phase::Done
            }
            ClaimReading::Unknown => {
                self.tally.unknown += 1;
                Phase::Done
            }
            reading @ (ClaimReading::KeyReused | ClaimReading::Corrupt) => {
                self.mixed_up = Some(format!("call {call} reads {reading:?}"));
                Phase::Done
            }
        }
    }

    fn complete(&mut self, call: usize, result: &[u8]) {
        self.tally.complete += 1;
        if result != result_of(call) || !self.ran.contains_key(&call) {
            self.mixed_up = Some(format!("call {call} was answered with {result:?}"));
        }
    }

    fn take_answer(&mut self, order: &Order, outcome: &Outcome) {
        let asker = order.asker;
        let is_awaited = match &self.askers[asker].phase {
            Phase::Waiting(awaited) | Phase::Cancelling(awaited, _) => awaited == order,
            _ => false,
        };
        if is_awaited {
            let call = self.askers[asker].call;
            self.askers[asker].phase = self.judge_outcome(call, order, outcome);
        }
    }

    fn judge_outcome(&mut self, call: usize, order: &Order, outcome: &Outcome) -> Phase {
        match (outcome.code, outcome.ran()) {
            // It tells of the delivery, not of the attempt.
            (ResultCode::DuplicateAttempt, _) => Phase::Waiting(order.clone()),
            (_, Ran::No) => {
                self.called_not_run.insert(order.attempt);
                Phase::Idle
            }
            _ => {
                self.complete(call, &result_of(call));
                Phase::Done
            }
        }
    }

    fn take_told(&mut self, asker: usize, order: &Order, answer: RevokeAnswer) {
        let is_own = match &self.askers[asker].phase {
            Phase::Waiting(awaited) => awaited == order,
            Phase::Idle | Phase::Reading => false,
            _ => return,
        };
        let is_followed = order.expiry == SidecarClock::default();
        if !is_own && !is_followed {
            return;
        }
        let call = self.askers[asker].call;
        let phase = match answer {
            RevokeAnswer::Running => return,
            RevokeAnswer::Finished(outcome) if is_followed && outcome.ran() == Ran::No => return,
            RevokeAnswer::Finished(outcome) => self.judge_outcome(call, order, &outcome),
            RevokeAnswer::Revoked => {
                self.called_not_run.insert(order.attempt);
                Phase::Idle
            }
            RevokeAnswer::Forgotten | RevokeAnswer::OtherIncarnation if is_followed => {
                self.mark_unknown(asker, order)
            }
            RevokeAnswer::Forgotten | RevokeAnswer::OtherIncarnation => {
                self.give_up_waiting(asker, order.clone())
            }
        };
        self.askers[asker].phase = phase;
    }

    fn mark_unknown(&mut self, asker: usize, order: &Order) -> Phase {
        let call = self.askers[asker].call;
        let started = self.row(&claim_key(call).to_string());
        let version = order.ticket.as_ref().map(|ticket| ticket.version);
        if Some(started.version) != version {
            return Phase::Idle;
        }
        let write = mark_unknown_write(&started, fingerprint(call), self.write_id());
        self.follow(Writer::Asker(asker), &write, &WriteStep::Send);
        Phase::GivingUp(write)
    }

    // The sidecars.

    fn admit(&mut self, order: Order, is_replay: bool) {
        let sidecar = &mut self.sidecars[order.sidecar];
        let Order {
            attempt,
            incarnation,
            expiry,
            ..
        } = order;
        match sidecar
            .ledger
            .admit(attempt, incarnation, expiry, sidecar.clock)
        {
            Ok(()) => {
                sidecar.jobs.insert(attempt, (order, Job::Queued));
            }
            // Nobody listens where a replay came from.
            Err(_) if is_replay => {}
            Err(code) => {
                let outcome = Outcome::without_result(code);
                self.network.push(Packet::Answer { order, outcome });
            }
        }
    }

    fn ask(&mut self, asker: usize, order: Order) {
        let sidecar = &mut self.sidecars[order.sidecar];
        let Order {
            attempt,
            incarnation,
            expiry,
            ..
        } = order;
        let is_busy = sidecar.ledger.incarnation() == incarnation
            && matches!(sidecar.jobs.get(&attempt), Some((_, Job::Finishing(_))));
        let answer = if is_busy {
            RevokeAnswer::Running
        } else {
            sidecar
                .ledger
                .revoke(attempt, incarnation, expiry, sidecar.clock)
        };
        self.network.push(Packet::Told {
            asker,
            order,
            answer,
        });
    }

    fn wake_sidecar(&mut self, sidecar: usize) {
        let attempts: Vec<AttemptId> = self.sidecars[sidecar].jobs.keys().copied().collect();
        if attempts.is_empty() {
            return;
        }
        let attempt = attempts[self.pick(attempts.len())];
        let Some((order, job)) = self.sidecars[sidecar].jobs.remove(&attempt) else {
            return;
        };
        let job = match job {
            Job::Queued => self.start(&order),
            Job::Claiming(write) if self.omission == Omission::ReadBack => {
                drop(write);
                Some(Job::Calling(None))
            }
            Job::Calling(claim) => self.call(&order, claim),
            Job::Claiming(write) => Some(Job::Claiming(self.table_is_silent(&order, write))),
            Job::GivingBack(write) => Some(Job::GivingBack(self.table_is_silent(&order, write))),
            Job::Finishing(write) => Some(Job::Finishing(self.table_is_silent(&order, write))),
        };
        self.keep_job(order, job);
    }

    fn keep_job(&mut self, order: Order, job: Option<Job>) {
        if let Some(job) = job {
            self.sidecars[order.sidecar]
                .jobs
                .insert(order.attempt, (order, job));
        }
    }

    fn table_is_silent(&mut self, order: &Order, mut write: ConditionalWrite) -> ConditionalWrite {
        let step = write.next(WriteEvent::Lost);
        self.follow(writer(order), &write, &step);
        write
    }

    fn start(&mut self, order: &Order) -> Option<Job> {
        let sidecar = &mut self.sidecars[order.sidecar];
        if let Err(code) = sidecar.ledger.start(order.attempt, sidecar.clock) {
            self.answer(order, Outcome::without_result(code));
            return None;
        }
        let Some(ticket) = &order.ticket else {
            return Some(Job::Calling(None));
        };
        let name = host("sidecar", order.sidecar);
        let write_id = self.write_id();
        let write = claim_write(ticket, name, order.incarnation, order.attempt, write_id);
        self.follow(writer(order), &write, &WriteStep::Send);
        Some(Job::Claiming(write))
    }

    fn call(&mut self, order: &Order, claim: Option<Row>) -> Option<Job> {
        if self.pick(4) == 0 {
            return self.give_back(order, claim);
        }
        let call = self.askers[order.asker].call;
        self.ran.entry(call).or_default().push(order.attempt);
        self.tally.runs += 1;
        let outcome = Outcome::without_result(ResultCode::Complete);
        let sidecar = &mut self.sidecars[order.sidecar];
        sidecar
            .ledger
            .finish(order.attempt, outcome.clone(), sidecar.clock);
        self.answer(order, outcome.clone());
        let result = StoredResult::Inline(result_of(call));
        let write = finish_write(&claim?, fingerprint(call), outcome, result, self.write_id());
        self.follow(writer(order), &write, &WriteStep::Send);
        Some(Job::Finishing(write))
    }

    /// The backend server cannot be reached: the call is not made.
    fn give_back(&mut self, order: &Order, claim: Option<Row>) -> Option<Job> {
        let (Some(claim), Some(ticket)) = (claim, &order.ticket) else {
            self.refuse(order, ResultCode::BackendUnreachable);
            return None;
        };
        let by = host("sidecar", order.sidecar);
        let write_id = self.write_id();
        let write = cancel_write(&ticket.key, claim.version, ticket.fingerprint, by, write_id);
        self.follow(writer(order), &write, &WriteStep::Send);
        Some(Job::GivingBack(write))
    }

    fn refuse(&mut self, order: &Order, code: ResultCode) {
        let sidecar = &mut self.sidecars[order.sidecar];
        sidecar.ledger.refuse(order.attempt, code, sidecar.clock);
        self.answer(order, Outcome::without_result(code));
    }

    fn answer(&mut self, order: &Order, outcome: Outcome) {
        self.network.push(Packet::Answer {
            order: order.clone(),
            outcome,
        });
    }

    fn job_event(&mut self, sidecar: usize, attempt: AttemptId, event: WriteEvent) {
        let Some((order, job)) = self.sidecars[sidecar].jobs.remove(&attempt) else {
            return;
        };
        let (mut write, wrap): (_, fn(ConditionalWrite) -> Job) = match job {
            Job::Claiming(write) => (write, Job::Claiming),
            Job::GivingBack(write) => (write, Job::GivingBack),
            Job::Finishing(write) => (write, Job::Finishing),
            job => return self.keep_job(order, Some(job)),
        };
        let step = write.next(event);
        self.follow(writer(&order), &write, &step);
        let job = match (wrap(write), step) {
            (job, WriteStep::Send | WriteStep::ReadBack) => Some(job),
            (Job::Claiming(_), WriteStep::Won { row }) => Some(Job::Calling(Some(row))),
            (Job::Claiming(_), _) => {
                self.refuse(&order, ResultCode::ClaimLost);
                None
            }
            (Job::GivingBack(_), _) => {
                self.refuse(&order, ResultCode::BackendUnreachable);
                None
            }
            _ => None,
        };
        self.keep_job(order, job);
    }

    fn pick(&mut self, choices: usize) -> usize {
        usize::arbitrary(&mut self.random) % choices
    }

    fn next_id(&mut self) -> u64 {
        self.ids += 1;
        self.ids
    }

    fn write_id(&mut self) -> WriteId {
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

fn sidecar(life: Incarnation) -> Sidecar {
    Sidecar {
        ledger: Ledger::new(life, LIMITS),
        clock: SidecarClock::from_millis(1),
        jobs: BTreeMap::new(),
    }
}

fn writer(order: &Order) -> Writer {
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

fn host(kind: &str, number: usize) -> HostId {
    HostId::new(format!("{kind}-{number}")).expect("the name is well formed")
}

fn claim_key(call: usize) -> ClaimKey {
    ClaimKey {
        organisation: OrganisationId::new("delta").expect("the name is well formed"),
        key: IdempotencyKey::new(format!("call-{call}")).expect("the name is well formed"),
        stage: StageIndex::new(0),
    }
}

fn fingerprint(call: usize) -> Fingerprint {
    Fingerprint::of("/settle", call.to_string())
}

fn result_of(call: usize) -> Vec<u8> {
    format!("settled {call}").into_bytes()
}
