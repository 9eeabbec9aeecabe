//! The specification of at-most-once, small enough to search whole.
//!
//! Two entries, two sidecars and one claim row. Every actor may be paused for ever between any two
//! of its steps, since nothing forces a step. A message once sent stays in the network: it may
//! arrive late, in any order, many times, or never. A table write may take effect at any time
//! after it was sent, with its answer delivered or lost.

use std::fmt;

use crate::search::Specification;

pub const RAN_TWICE: &str = "a call ran twice";
pub const RAN_AFTER_ALL: &str = "an attempt that was answered \"not run\" ran";
pub const MIXED_UP: &str = "an entry answered with the outcome of another call";
pub const DISOWNED: &str = "the claim is held by an attempt that its sidecar refused";

pub const ENTRIES: usize = 2;
pub const SIDECARS: usize = 2;
/// Attempts that one entry can make; attempt ids count through entry 0 first.
pub const TRIES: usize = 2;
pub const ATTEMPTS: usize = ENTRIES * TRIES;

/// What keeps the promise; each can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Guard {
    /// A sidecar refuses what was meant for another of its lives.
    Incarnation,
    /// A sidecar refuses what has expired.
    Expiry,
    /// A sidecar tells "forgotten" from "revoked".
    Forgotten,
    /// Revoking an absent attempt leaves a tombstone.
    Tombstone,
    /// An entry never sends an attempt twice, so that the answer to a replay reaches nobody.
    SendOnce,
    /// An entry drops an answer that names another attempt.
    Echo,
    /// A claim is written only over the version that the attempt carries.
    ClaimVersion,
    /// An entry cancels before it calls an attempt it cannot reach "not run".
    Cancel,
    /// A writer whose answer was lost reads the row back.
    ReadBack,
    /// A writer that reads the old row back goes on with the same write.
    RepeatWrite,
}

/// How much may happen, which keeps the search finite.
#[derive(Debug)]
pub struct Spec {
    /// The guard that is switched off, if any.
    pub off: Option<Guard>,
    /// Whether both entries serve one call under one key; otherwise each has its own call.
    pub uses_claim: bool,
    /// Attempts of each entry, at most `TRIES`.
    pub tries: [u8; ENTRIES],
    /// Whether entries ask about attempts that they hear nothing of.
    pub revokes: bool,
    /// Restarts of all sidecars together.
    pub restarts: u8,
    /// Crashes of all entries together.
    pub crashes: u8,
    /// Clock ticks of all sidecars together; one tick expires what was sent before.
    pub ticks: u8,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Claim {
    Absent,
    Cancelled,
    Started(u8),
    Finished(u8),
    Unknown,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Phase {
    Idle,
    /// Has read the claim row.
    Ready {
        version: u8,
    },
    Waiting,
    Cancelling,
    Complete(u8),
    Unknown,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct Entry {
    pub phase: Phase,
    pub tries: u8,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Progress {
    Absent,
    Queued,
    Claiming,
    Calling,
    Finished,
    Refused,
    Revoked,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct Attempt {
    pub sidecar: u8,
    pub life: u8,
    pub expiry: u8,
    pub version: u8,
    pub progress: Progress,
    pub runs: u8,
    /// Whether an entry took it as proven that this attempt never runs.
    pub is_called_not_run: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Sidecar {
    pub life: u8,
    pub clock: u8,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Message {
    Dispatch,
    Replay,
    Revoke,
    Complete,
    NotRun,
    Gone,
    ClaimWrite,
    CancelWrite,
}

/// Which messages have been sent, one bit each.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Network(u64);

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct State {
    pub row_version: u8,
    pub row: Claim,
    pub entries: [Entry; ENTRIES],
    pub sidecars: [Sidecar; SIDECARS],
    pub attempts: [Attempt; ATTEMPTS],
    pub network: Network,
    pub restarts: u8,
    pub crashes: u8,
    pub ticks: u8,
}

#[derive(Clone, Copy, Debug)]
pub struct Action {
    what: &'static str,
    who: &'static str,
    number: usize,
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.who, self.number, self.what)
    }
}

pub type Moves = Vec<(Action, State)>;

impl Specification for Spec {
    type State = State;
    type Action = Action;

    const RULES: &'static [&'static str] = &[RAN_TWICE, RAN_AFTER_ALL, MIXED_UP, DISOWNED];

    fn start(&self) -> State {
        let attempt = Attempt {
            sidecar: 0,
            life: 0,
            expiry: 0,
            version: 0,
            progress: Progress::Absent,
            runs: 0,
            is_called_not_run: false,
        };
        State {
            row_version: 0,
            row: Claim::Absent,
            entries: [Entry {
                phase: Phase::Idle,
                tries: 0,
            }; ENTRIES],
            sidecars: [Sidecar::default(); SIDECARS],
            attempts: [attempt; ATTEMPTS],
            network: Network::default(),
            restarts: 0,
            crashes: 0,
            ticks: 0,
        }
    }

    fn moves(&self, state: &State) -> Moves {
        let mut moves = Vec::new();
        for entry in 0..ENTRIES {
            self.entry_moves(state, entry, &mut moves);
        }
        for attempt in 0..ATTEMPTS {
            self.network_moves(state, attempt, &mut moves);
            self.sidecar_moves(state, attempt, &mut moves);
            self.table_moves(state, attempt, &mut moves);
        }
        for sidecar in 0..SIDECARS {
            self.fault_moves(state, sidecar, &mut moves);
        }
        for (_, next) in &mut moves {
            self.drop_dead_messages(next);
        }
        moves
    }

    fn violates(&self, state: &State, rule: &'static str) -> bool {
        match rule {
            RAN_TWICE if self.uses_claim => runs(&state.attempts) > 1,
            RAN_TWICE => state.attempts.chunks(TRIES).any(|own| runs(own) > 1),
            RAN_AFTER_ALL => state
                .attempts
                .iter()
                .any(|a| a.is_called_not_run && a.runs > 0),
            MIXED_UP => (0..ENTRIES).any(|entry| self.is_mixed_up(state, entry)),
            DISOWNED => is_disowned(state),
            _ => panic!("no such rule: {rule}"),
        }
    }
}

impl Spec {
    pub fn has(&self, guard: Guard) -> bool {
        self.off != Some(guard)
    }

    pub fn is_mixed_up(&self, state: &State, entry: usize) -> bool {
        let Phase::Complete(attempt) = state.entries[entry].phase else {
            return false;
        };
        let attempt = usize::from(attempt);
        let is_own = self.uses_claim || attempt / TRIES == entry;
        !is_own || state.attempts[attempt].runs == 0
    }

    /// Forgets messages that no actor would act on, which merges states that differ in nothing.
    pub fn drop_dead_messages(&self, state: &mut State) {
        for id in 0..ATTEMPTS {
            let entry = state.entries[id / TRIES];
            let is_awaited = matches!(entry.phase, Phase::Waiting | Phase::Cancelling);
            if !is_awaited || state.current(id / TRIES) != id {
                state.network.take(Message::NotRun, id);
                state.network.take(Message::Gone, id);
                if self.has(Guard::Echo) {
                    state.network.take(Message::Complete, id);
                }
            }
            // A conditional write of an old version can only be refused, as reading back shows.
            if state.row_version > state.attempts[id].version {
                state.network.take(Message::CancelWrite, id);
                if self.has(Guard::ClaimVersion) {
                    state.network.take(Message::ClaimWrite, id);
                }
            }
        }
    }
}

impl State {
    /// The attempt that an entry made last.
    pub fn current(&self, entry: usize) -> usize {
        entry * TRIES + usize::from(self.entries[entry].tries) - 1
    }

    pub fn is_same_life(&self, attempt: Attempt) -> bool {
        self.sidecars[usize::from(attempt.sidecar)].life == attempt.life
    }

    pub fn is_expired(&self, attempt: Attempt) -> bool {
        self.sidecars[usize::from(attempt.sidecar)].clock > attempt.expiry
    }

    pub fn write(&mut self, row: Claim) {
        self.row = row;
        self.row_version += 1;
    }

    pub fn call_not_run(&mut self, entry: usize) {
        let id = self.current(entry);
        self.attempts[id].is_called_not_run = true;
        self.entries[entry].phase = Phase::Idle;
    }

    pub fn refuse(&mut self, id: usize) {
        self.attempts[id].progress = Progress::Refused;
        self.network.send(Message::NotRun, id);
    }
}

impl Network {
    pub fn has(self, message: Message, id: usize) -> bool {
        self.0 & bit(message, id) != 0
    }

    pub fn send(&mut self, message: Message, id: usize) {
        self.0 |= bit(message, id);
    }

    pub fn take(&mut self, message: Message, id: usize) {
        self.0 &= !bit(message, id);
    }
}

fn bit(message: Message, id: usize) -> u64 {
    1 << (message as usize * ATTEMPTS + id)
}

fn is_disowned(state: &State) -> bool {
    let Claim::Started(attempt) = state.row else {
        return false;
    };
    let holder = state.attempts[usize::from(attempt)];
    holder.progress == Progress::Refused && state.is_same_life(holder)
}

fn runs(attempts: &[Attempt]) -> u8 {
    attempts.iter().map(|attempt| attempt.runs).sum()
}

pub fn small(id: usize) -> u8 {
    u8::try_from(id).expect("there are few attempts")
}

pub const fn entry_action(number: usize, what: &'static str) -> Action {
    Action {
        what,
        who: "entry",
        number,
    }
}

pub const fn attempt_action(number: usize, what: &'static str) -> Action {
    Action {
        what,
        who: "attempt",
        number,
    }
}

pub const fn sidecar_action(number: usize, what: &'static str) -> Action {
    Action {
        what,
        who: "sidecar",
        number,
    }
}
