//! The specification of the at-most-once protocol, small enough for an exhaustive search.
//!
//! Two entries, two sidecars and one claim row. Every process may be paused forever between any two
//! of its steps, since no step is forced. A message stays in the network after it was sent: it may
//! arrive late, in any order, several times, or never. A table write may take effect at any time
//! after it was sent, with its reply delivered or lost.

use std::fmt;

use crate::search::Specification;

pub const RAN_TWICE: &str = "a call ran twice";
pub const RAN_AFTER_NOT_RUN: &str = "an attempt that was answered \"not run\" ran";
pub const WRONG_OUTCOME: &str = "an entry answered with the outcome of another call";
pub const ORPHANED_CLAIM: &str = "the claim is held by an attempt that its sidecar refused";

pub const ENTRIES: usize = 2;
pub const SIDECARS: usize = 2;
/// Attempts that one entry can make; attempt ids of entry 0 come first.
pub const TRIES: usize = 2;
pub const ATTEMPTS: usize = ENTRIES * TRIES;

/// Parts of the protocol that make it correct; each can be disabled.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Guard {
    /// A sidecar refuses messages to another of its incarnations.
    Incarnation,
    /// A sidecar refuses expired attempts.
    Expiry,
    /// A sidecar distinguishes "forgotten" from "revoked".
    Forgotten,
    /// Revoking an absent attempt records a tombstone.
    Tombstone,
    /// An entry never sends an attempt twice, so that no process waits for the answer to a replay.
    SendOnce,
    /// An entry drops an answer to another attempt.
    MatchAnswer,
    /// A claim is written only over the version that was dispatched with the attempt.
    ClaimVersion,
    /// An entry cancels before it reports an unreachable attempt as "not run".
    Cancel,
    /// A writer whose reply was lost reads the row back.
    ReadBack,
    /// A writer that reads back the old row repeats the same write.
    RepeatWrite,
}

/// The protocol with limits on events, which keep the search finite.
#[derive(Debug)]
pub struct Spec {
    /// The disabled guard, if any.
    pub disabled: Option<Guard>,
    /// Whether both entries have one call with one key; otherwise each has its own call.
    pub uses_claim: bool,
    /// Attempts of each entry, at most `TRIES`.
    pub tries: [u8; ENTRIES],
    /// Whether entries revoke attempts that are not answered.
    pub revokes: bool,
    /// Maximum restarts of all sidecars together.
    pub restarts: u8,
    /// Maximum crashes of all entries together.
    pub crashes: u8,
    /// Maximum clock ticks of all sidecars together; one tick expires all attempts sent before it.
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
    pub incarnation: u8,
    pub expiry: u8,
    pub version: u8,
    pub progress: Progress,
    pub runs: u8,
    /// Whether an entry has reported this attempt as "not run".
    pub is_reported_not_run: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Sidecar {
    pub incarnation: u8,
    pub clock: u8,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Message {
    Dispatch,
    Replay,
    Revoke,
    Complete,
    NotRun,
    Forgotten,
    ClaimWrite,
    CancelWrite,
}

/// The messages in the network, one bit each.
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

pub type Transitions = Vec<(Action, State)>;

impl Specification for Spec {
    type State = State;
    type Action = Action;

    const RULES: &'static [&'static str] =
        &[RAN_TWICE, RAN_AFTER_NOT_RUN, WRONG_OUTCOME, ORPHANED_CLAIM];

    fn start(&self) -> State {
        let attempt = Attempt {
            sidecar: 0,
            incarnation: 0,
            expiry: 0,
            version: 0,
            progress: Progress::Absent,
            runs: 0,
            is_reported_not_run: false,
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

    fn transitions(&self, state: &State) -> Transitions {
        let mut transitions = Vec::new();
        for entry in 0..ENTRIES {
            self.entry_transitions(state, entry, &mut transitions);
        }
        for attempt in 0..ATTEMPTS {
            self.network_transitions(state, attempt, &mut transitions);
            self.sidecar_transitions(state, attempt, &mut transitions);
            self.table_transitions(state, attempt, &mut transitions);
        }
        for sidecar in 0..SIDECARS {
            self.fault_transitions(state, sidecar, &mut transitions);
        }
        for (_, next) in &mut transitions {
            self.drop_ineffective_messages(next);
        }
        transitions
    }

    fn violates(&self, state: &State, rule: &'static str) -> bool {
        match rule {
            RAN_TWICE if self.uses_claim => runs(&state.attempts) > 1,
            RAN_TWICE => state.attempts.chunks(TRIES).any(|own| runs(own) > 1),
            RAN_AFTER_NOT_RUN => state
                .attempts
                .iter()
                .any(|a| a.is_reported_not_run && a.runs > 0),
            WRONG_OUTCOME => (0..ENTRIES).any(|entry| self.has_wrong_outcome(state, entry)),
            ORPHANED_CLAIM => is_orphaned(state),
            _ => panic!("no such rule: {rule}"),
        }
    }
}

impl Spec {
    pub fn is_enabled(&self, guard: Guard) -> bool {
        self.disabled != Some(guard)
    }

    pub fn has_wrong_outcome(&self, state: &State, entry: usize) -> bool {
        let Phase::Complete(attempt) = state.entries[entry].phase else {
            return false;
        };
        let attempt = usize::from(attempt);
        let is_own = self.uses_claim || attempt / TRIES == entry;
        !is_own || state.attempts[attempt].runs == 0
    }

    /// Drops messages that no process would act on, which merges equivalent states.
    pub fn drop_ineffective_messages(&self, state: &mut State) {
        for id in 0..ATTEMPTS {
            let entry = state.entries[id / TRIES];
            let is_awaited = matches!(entry.phase, Phase::Waiting | Phase::Cancelling);
            if !is_awaited || state.current(id / TRIES) != id {
                state.network.take(Message::NotRun, id);
                state.network.take(Message::Forgotten, id);
                if self.is_enabled(Guard::MatchAnswer) {
                    state.network.take(Message::Complete, id);
                }
            }
            // A conditional write over an old version can only be refused.
            if state.row_version > state.attempts[id].version {
                state.network.take(Message::CancelWrite, id);
                if self.is_enabled(Guard::ClaimVersion) {
                    state.network.take(Message::ClaimWrite, id);
                }
            }
        }
    }
}

impl State {
    /// The latest attempt of an entry.
    pub fn current(&self, entry: usize) -> usize {
        entry * TRIES + usize::from(self.entries[entry].tries) - 1
    }

    pub fn is_same_incarnation(&self, attempt: Attempt) -> bool {
        self.sidecars[usize::from(attempt.sidecar)].incarnation == attempt.incarnation
    }

    pub fn is_expired(&self, attempt: Attempt) -> bool {
        self.sidecars[usize::from(attempt.sidecar)].clock > attempt.expiry
    }

    pub fn write(&mut self, row: Claim) {
        self.row = row;
        self.row_version += 1;
    }

    pub fn report_not_run(&mut self, entry: usize) {
        let id = self.current(entry);
        self.attempts[id].is_reported_not_run = true;
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

fn is_orphaned(state: &State) -> bool {
    let Claim::Started(attempt) = state.row else {
        return false;
    };
    let holder = state.attempts[usize::from(attempt)];
    holder.progress == Progress::Refused && state.is_same_incarnation(holder)
}

fn runs(attempts: &[Attempt]) -> u8 {
    attempts.iter().map(|attempt| attempt.runs).sum()
}

pub fn as_u8(id: usize) -> u8 {
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
