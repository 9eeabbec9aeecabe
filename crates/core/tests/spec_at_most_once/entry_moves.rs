//! What an entry can do.

use crate::model::{
    ATTEMPTS, Claim, Guard, Message, Moves, Phase, Progress, SIDECARS, Spec, State, entry_action,
    small,
};

impl Spec {
    pub fn entry_moves(&self, state: &State, entry: usize, moves: &mut Moves) {
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

    pub fn read_claim(state: &State, entry: usize, moves: &mut Moves) {
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

    pub fn dispatch(&self, state: &State, entry: usize, version: u8, moves: &mut Moves) {
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

    pub fn await_answer(&self, state: &State, entry: usize, moves: &mut Moves) {
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

    pub fn take_answers(&self, state: &State, entry: usize, moves: &mut Moves) {
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

    pub fn read_back_cancel(&self, state: &State, entry: usize, moves: &mut Moves) {
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
}
