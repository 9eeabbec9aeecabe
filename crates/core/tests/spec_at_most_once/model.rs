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
    fn has(&self, guard: Guard) -> bool {
        self.off != Some(guard)
    }

    fn is_mixed_up(&self, state: &State, entry: usize) -> bool {
        let Phase::Complete(attempt) = state.entries[entry].phase else {
            return false;
        };
        let attempt = usize::from(attempt);
        let is_own = self.uses_claim || attempt / TRIES == entry;
        !is_own || state.attempts[attempt].runs == 0
    }

    /// Forgets messages that no actor would act on, which merges states that differ in nothing.
    fn drop_dead_messages(&self, state: &mut State) {
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

    fn entry_moves(&self, state: &State, entry: usize, moves: &mut Moves) {
        match state.entries[entry].phase {
            Phase::Idle if self.uses_claim => Self::read_claim(state, entry, moves),
            Phase::Idle => self.dispatch(state, entry, 0, moves),
            Phase::Ready { version } => self.dispatch(state, entry, version, moves),
            Phase::Waiting => self.await_answer(state, entry, moves),
            Phase::Cancelling => {
                self.take_answers(state, entry, moves);
                self.read_back_cancel(state, entry, moves);
            }
            Phase::Complete(_) | Phase::Unknown => {}
        }
    }

    fn read_claim(state: &State, entry: usize, moves: &mut Moves) {
        let mut next = *state;
        let phase = match state.row {
            Claim::Absent | Claim::Cancelled => Phase::Ready {
                version: state.row_version,
            },
            Claim::Finished(attempt) => Phase::Complete(attempt),
            Claim::Unknown => Phase::Unknown,
            Claim::Started(attempt) => {
                let holder = state.attempts[usize::from(attempt)];
                if !state.is_same_life(holder) {
                    next.write(Claim::Unknown);
                    Phase::Unknown
                } else if holder.progress == Progress::Finished {
                    Phase::Complete(attempt)
                } else {
                    return;
                }
            }
        };
        next.entries[entry].phase = phase;
        moves.push((
            entry_action(entry, "reads the claim row and follows it"),
            next,
        ));
    }

    fn dispatch(&self, state: &State, entry: usize, version: u8, moves: &mut Moves) {
        if state.entries[entry].tries >= self.tries[entry] {
            return;
        }
        // The sidecars are alike until one is used, so the very first choice is no choice.
        let is_first = state.entries.iter().all(|entry| entry.tries == 0);
        let choices = if is_first { 1 } else { SIDECARS };
        for (sidecar, target) in state.sidecars.iter().enumerate().take(choices) {
            let mut next = *state;
            next.entries[entry].tries += 1;
            next.entries[entry].phase = Phase::Waiting;
            let id = next.current(entry);
            let attempt = &mut next.attempts[id];
            attempt.sidecar = u8::from(sidecar > 0);
            attempt.life = target.life;
            attempt.expiry = target.clock;
            attempt.version = version;
            next.network.send(Message::Dispatch, id);
            let what = [
                "dispatches an attempt to sidecar 0",
                "dispatches an attempt to sidecar 1",
            ];
            moves.push((entry_action(entry, what[sidecar]), next));
        }
    }

    fn await_answer(&self, state: &State, entry: usize, moves: &mut Moves) {
        let id = state.current(entry);
        self.take_answers(state, entry, moves);
        if self.revokes && !state.network.has(Message::Revoke, id) {
            let mut next = *state;
            next.network.send(Message::Revoke, id);
            moves.push((
                entry_action(entry, "hears nothing and sends a revocation"),
                next,
            ));
        }
        let mut next = *state;
        if !self.uses_claim {
            next.entries[entry].phase = Phase::Unknown;
            moves.push((
                entry_action(entry, "gives up and answers \"unknown\""),
                next,
            ));
            return;
        }
        if self.has(Guard::Cancel) {
            next.entries[entry].phase = Phase::Cancelling;
            next.network.send(Message::CancelWrite, id);
            moves.push((
                entry_action(entry, "cannot reach the attempt and cancels"),
                next,
            ));
        } else {
            next.call_not_run(entry);
            moves.push((
                entry_action(entry, "cannot reach the attempt: \"not run\""),
                next,
            ));
        }
        if state.crashes == self.crashes {
            return;
        }
        let mut next = *state;
        next.crashes += 1;
        next.entries[entry].phase = Phase::Idle;
        moves.push((entry_action(entry, "crashes; the caller asks again"), next));
    }

    fn take_answers(&self, state: &State, entry: usize, moves: &mut Moves) {
        let id = state.current(entry);
        if state.network.has(Message::NotRun, id) {
            let mut next = *state;
            next.call_not_run(entry);
            moves.push((
                entry_action(entry, "hears that its attempt did not run"),
                next,
            ));
        }
        if state.network.has(Message::Gone, id) && !self.uses_claim {
            let mut next = *state;
            next.entries[entry].phase = Phase::Unknown;
            moves.push((
                entry_action(entry, "hears \"forgotten\": \"unknown\""),
                next,
            ));
        }
        for other in 0..ATTEMPTS {
            let is_wanted = other == id || !self.has(Guard::Echo);
            if is_wanted && state.network.has(Message::Complete, other) {
                let mut next = *state;
                next.entries[entry].phase = Phase::Complete(small(other));
                moves.push((entry_action(entry, "takes an outcome and answers"), next));
            }
        }
    }

    fn read_back_cancel(&self, state: &State, entry: usize, moves: &mut Moves) {
        let attempt = &state.attempts[state.current(entry)];
        let mut next = *state;
        if state.row_version == attempt.version {
            if self.has(Guard::RepeatWrite) {
                return;
            }
            next.call_not_run(entry);
            moves.push((
                entry_action(entry, "reads the old row back: \"not run\""),
                next,
            ));
            return;
        }
        match state.row {
            Claim::Started(holder) if usize::from(holder) == state.current(entry) => {
                next.entries[entry].phase = Phase::Idle;
            }
            Claim::Started(_) | Claim::Cancelled => next.call_not_run(entry),
            Claim::Finished(_) | Claim::Unknown => next.entries[entry].phase = Phase::Idle,
            Claim::Absent => return,
        }
        moves.push((
            entry_action(entry, "reads a row back that has moved on"),
            next,
        ));
    }

    fn network_moves(&self, state: &State, id: usize, moves: &mut Moves) {
        if state.network.has(Message::Dispatch, id) {
            let mut next = *state;
            next.network.take(Message::Dispatch, id);
            next.network.send(Message::Replay, id);
            self.admit(&mut next, id, true);
            moves.push((attempt_action(id, "reaches its sidecar"), next));
        }
        if state.network.has(Message::Replay, id) {
            let mut next = *state;
            self.admit(&mut next, id, !self.has(Guard::SendOnce));
            moves.push((attempt_action(id, "reaches its sidecar once more"), next));
        }
        if state.network.has(Message::Revoke, id) {
            let mut next = *state;
            self.revoke(&mut next, id);
            moves.push((attempt_action(id, "revocation reaches the sidecar"), next));
        }
    }

    pub fn admit(&self, next: &mut State, id: usize, is_answered: bool) {
        let attempt = next.attempts[id];
        let is_known = attempt.progress != Progress::Absent;
        let is_ended = matches!(attempt.progress, Progress::Refused | Progress::Revoked);
        let is_other_life = self.has(Guard::Incarnation) && !next.is_same_life(attempt);
        let is_late = !is_known && self.has(Guard::Expiry) && next.is_expired(attempt);
        if is_other_life || is_late || is_ended {
            if is_answered {
                next.network.send(Message::NotRun, id);
            }
        } else if !is_known {
            next.attempts[id].progress = Progress::Queued;
        }
    }

    pub fn revoke(&self, next: &mut State, id: usize) {
        let attempt = next.attempts[id];
        if self.has(Guard::Incarnation) && !next.is_same_life(attempt) {
            next.network.send(Message::Gone, id);
            return;
        }
        let is_forgotten = self.has(Guard::Forgotten) && next.is_expired(attempt);
        let answer = match attempt.progress {
            Progress::Absent if is_forgotten => Message::Gone,
            Progress::Absent => {
                if self.has(Guard::Tombstone) {
                    next.attempts[id].progress = Progress::Revoked;
                }
                Message::NotRun
            }
            Progress::Queued => {
                next.attempts[id].progress = Progress::Revoked;
                Message::NotRun
            }
            Progress::Claiming | Progress::Calling => return,
            Progress::Finished => Message::Complete,
            Progress::Refused | Progress::Revoked => Message::NotRun,
        };
        next.network.send(answer, id);
    }

    fn sidecar_moves(&self, state: &State, id: usize, moves: &mut Moves) {
        let attempt = state.attempts[id];
        match attempt.progress {
            Progress::Queued => self.begin(state, id, moves),
            Progress::Claiming => self.read_back_claim(state, id, moves),
            Progress::Calling => Self::call(state, id, moves),
            Progress::Finished if state.row == Claim::Started(small(id)) => {
                let mut next = *state;
                next.write(Claim::Finished(small(id)));
                moves.push((
                    attempt_action(id, "outcome is written to the claim row"),
                    next,
                ));
            }
            _ => {}
        }
        let is_ended = matches!(
            attempt.progress,
            Progress::Finished | Progress::Refused | Progress::Revoked
        );
        if is_ended && state.is_expired(attempt) {
            let mut next = *state;
            next.attempts[id].progress = Progress::Absent;
            moves.push((attempt_action(id, "is dropped from the ledger"), next));
        }
    }

    pub fn begin(&self, state: &State, id: usize, moves: &mut Moves) {
        let mut next = *state;
        if self.has(Guard::Expiry) && state.is_expired(state.attempts[id]) {
            next.refuse(id);
            moves.push((attempt_action(id, "has expired in the queue"), next));
            return;
        }
        if self.uses_claim {
            next.attempts[id].progress = Progress::Claiming;
            next.network.send(Message::ClaimWrite, id);
        } else {
            next.attempts[id].progress = Progress::Calling;
        }
        moves.push((attempt_action(id, "starts"), next));
    }

    fn read_back_claim(&self, state: &State, id: usize, moves: &mut Moves) {
        let mut next = *state;
        let version = state.attempts[id].version;
        let is_old = state.row_version == version;
        let is_ours = state.row_version == version + 1 && state.row == Claim::Started(small(id));
        if !self.has(Guard::ReadBack) || is_ours {
            next.attempts[id].progress = Progress::Calling;
        } else if is_old && self.has(Guard::RepeatWrite) {
            return;
        } else {
            next.refuse(id);
        }
        moves.push((
            attempt_action(id, "claim's answer is lost; the sidecar settles it"),
            next,
        ));
    }

    fn call(state: &State, id: usize, moves: &mut Moves) {
        let mut next = *state;
        next.attempts[id].runs += 1;
        next.attempts[id].progress = Progress::Finished;
        next.network.send(Message::Complete, id);
        moves.push((attempt_action(id, "RUNS"), next));
        if state.row == Claim::Started(small(id)) {
            let mut next = *state;
            next.write(Claim::Cancelled);
            next.refuse(id);
            moves.push((
                attempt_action(id, "cannot make its call and gives its claim back"),
                next,
            ));
        }
    }

    /// A write takes effect, or finds another version; its answer arrives or is lost.
    fn table_moves(&self, state: &State, id: usize, moves: &mut Moves) {
        let attempt = state.attempts[id];
        let is_current = state.row_version == attempt.version;
        if state.network.has(Message::ClaimWrite, id) {
            let is_taken = is_current || !self.has(Guard::ClaimVersion);
            let mut next = *state;
            if is_taken {
                next.write(Claim::Started(small(id)));
                // Without the version nothing would bound how often the write is replayed.
                next.network.take(Message::ClaimWrite, id);
                moves.push((attempt_action(id, "claim takes effect, answer lost"), next));
            }
            if attempt.progress == Progress::Claiming {
                if is_taken {
                    next.attempts[id].progress = Progress::Calling;
                } else {
                    next.refuse(id);
                }
                moves.push((attempt_action(id, "claim is answered"), next));
            }
        }
        if state.network.has(Message::CancelWrite, id) && is_current {
            let mut next = *state;
            next.write(Claim::Cancelled);
            moves.push((attempt_action(id, "cancellation takes effect"), next));
        }
    }

    fn fault_moves(&self, state: &State, sidecar: usize, moves: &mut Moves) {
        if state.restarts < self.restarts {
            let mut next = *state;
            next.restarts += 1;
            next.sidecars[sidecar].life += 1;
            next.sidecars[sidecar].clock = 0;
            for attempt in &mut next.attempts {
                if usize::from(attempt.sidecar) == sidecar {
                    attempt.progress = Progress::Absent;
                }
            }
            moves.push((sidecar_action(sidecar, "restarts and forgets all"), next));
        }
        if state.ticks < self.ticks {
            let mut next = *state;
            next.ticks += 1;
            next.sidecars[sidecar].clock += 1;
            moves.push((
                sidecar_action(sidecar, "clock passes every expiry so far"),
                next,
            ));
        }
    }
}

impl State {
    /// The attempt that an entry made last.
    fn current(&self, entry: usize) -> usize {
        entry * TRIES + usize::from(self.entries[entry].tries) - 1
    }

    fn is_same_life(&self, attempt: Attempt) -> bool {
        self.sidecars[usize::from(attempt.sidecar)].life == attempt.life
    }

    fn is_expired(&self, attempt: Attempt) -> bool {
        self.sidecars[usize::from(attempt.sidecar)].clock > attempt.expiry
    }

    fn write(&mut self, row: Claim) {
        self.row = row;
        self.row_version += 1;
    }

    fn call_not_run(&mut self, entry: usize) {
        let id = self.current(entry);
        self.attempts[id].is_called_not_run = true;
        self.entries[entry].phase = Phase::Idle;
    }

    fn refuse(&mut self, id: usize) {
        self.attempts[id].progress = Progress::Refused;
        self.network.send(Message::NotRun, id);
    }
}

impl Network {
    pub fn has(self, message: Message, id: usize) -> bool {
        self.0 & bit(message, id) != 0
    }

    fn send(&mut self, message: Message, id: usize) {
        self.0 |= bit(message, id);
    }

    fn take(&mut self, message: Message, id: usize) {
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

fn small(id: usize) -> u8 {
    u8::try_from(id).expect("there are few attempts")
}

const fn entry_action(number: usize, what: &'static str) -> Action {
    Action {
        what,
        who: "entry",
        number,
    }
}

const fn attempt_action(number: usize, what: &'static str) -> Action {
    Action {
        what,
        who: "attempt",
        number,
    }
}

const fn sidecar_action(number: usize, what: &'static str) -> Action {
    Action {
        what,
        who: "sidecar",
        number,
    }
}
