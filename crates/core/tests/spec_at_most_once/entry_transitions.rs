//! Transitions of an entry.

use crate::model::{
    ATTEMPTS, Claim, Guard, Message, Phase, Progress, SIDECARS, Spec, State, Transitions, as_u8,
    entry_action,
};

impl Spec {
    pub fn entry_transitions(&self, state: &State, entry: usize, transitions: &mut Transitions) {
        match state.entries[entry].phase {
            Phase::Idle if self.uses_claim => Self::read_claim(state, entry, transitions),
            Phase::Idle => self.dispatch(state, entry, 0, transitions),
            Phase::Ready { version } => self.dispatch(state, entry, version, transitions),
            Phase::Waiting => self.await_answer(state, entry, transitions),
            Phase::Cancelling => {
                self.receive_answers(state, entry, transitions);
                self.read_back_cancel(state, entry, transitions);
            }
            Phase::Complete(_) | Phase::Unknown => {}
        }
    }

    pub fn read_claim(state: &State, entry: usize, transitions: &mut Transitions) {
        let mut next = *state;
        let phase = match state.row {
            Claim::Absent | Claim::Cancelled => Phase::Ready {
                version: state.row_version,
            },
            Claim::Finished(attempt) => Phase::Complete(attempt),
            Claim::Unknown => Phase::Unknown,
            Claim::Started(attempt) => {
                let holder = state.attempts[usize::from(attempt)];
                if !state.is_same_incarnation(holder) {
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
        transitions.push((
            entry_action(entry, "reads the claim row and acts on it"),
            next,
        ));
    }

    pub fn dispatch(
        &self,
        state: &State,
        entry: usize,
        version: u8,
        transitions: &mut Transitions,
    ) {
        if state.entries[entry].tries >= self.tries[entry] {
            return;
        }
        // The sidecars are identical until one is used, so the first dispatch has only one target.
        let is_first = state.entries.iter().all(|entry| entry.tries == 0);
        let choices = if is_first { 1 } else { SIDECARS };
        for (sidecar, target) in state.sidecars.iter().enumerate().take(choices) {
            let mut next = *state;
            next.entries[entry].tries += 1;
            next.entries[entry].phase = Phase::Waiting;
            let id = next.current(entry);
            let attempt = &mut next.attempts[id];
            attempt.sidecar = u8::from(sidecar > 0);
            attempt.incarnation = target.incarnation;
            attempt.expiry = target.clock;
            attempt.version = version;
            next.network.send(Message::Dispatch, id);
            let what = [
                "dispatches an attempt to sidecar 0",
                "dispatches an attempt to sidecar 1",
            ];
            transitions.push((entry_action(entry, what[sidecar]), next));
        }
    }

    pub fn await_answer(&self, state: &State, entry: usize, transitions: &mut Transitions) {
        let id = state.current(entry);
        self.receive_answers(state, entry, transitions);
        if self.revokes && !state.network.has(Message::Revoke, id) {
            let mut next = *state;
            next.network.send(Message::Revoke, id);
            transitions.push((
                entry_action(entry, "gets no answer and sends a revocation"),
                next,
            ));
        }
        let mut next = *state;
        if !self.uses_claim {
            next.entries[entry].phase = Phase::Unknown;
            transitions.push((
                entry_action(entry, "gives up and answers \"unknown\""),
                next,
            ));
            return;
        }
        if self.is_enabled(Guard::Cancel) {
            next.entries[entry].phase = Phase::Cancelling;
            next.network.send(Message::CancelWrite, id);
            transitions.push((
                entry_action(entry, "cannot reach the attempt and cancels"),
                next,
            ));
        } else {
            next.report_not_run(entry);
            transitions.push((
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
        transitions.push((entry_action(entry, "crashes; the caller calls again"), next));
    }

    pub fn receive_answers(&self, state: &State, entry: usize, transitions: &mut Transitions) {
        let id = state.current(entry);
        if state.network.has(Message::NotRun, id) {
            let mut next = *state;
            next.report_not_run(entry);
            transitions.push((
                entry_action(entry, "learns that its attempt did not run"),
                next,
            ));
        }
        if state.network.has(Message::Forgotten, id) && !self.uses_claim {
            let mut next = *state;
            next.entries[entry].phase = Phase::Unknown;
            transitions.push((
                entry_action(entry, "receives \"forgotten\": \"unknown\""),
                next,
            ));
        }
        for other in 0..ATTEMPTS {
            let is_wanted = other == id || !self.is_enabled(Guard::MatchAnswer);
            if is_wanted && state.network.has(Message::Complete, other) {
                let mut next = *state;
                next.entries[entry].phase = Phase::Complete(as_u8(other));
                transitions.push((entry_action(entry, "receives an outcome and answers"), next));
            }
        }
    }

    pub fn read_back_cancel(&self, state: &State, entry: usize, transitions: &mut Transitions) {
        let attempt = &state.attempts[state.current(entry)];
        let mut next = *state;
        if state.row_version == attempt.version {
            if self.is_enabled(Guard::RepeatWrite) {
                return;
            }
            next.report_not_run(entry);
            transitions.push((
                entry_action(entry, "reads the old row back: \"not run\""),
                next,
            ));
            return;
        }
        match state.row {
            Claim::Started(holder) if usize::from(holder) == state.current(entry) => {
                next.entries[entry].phase = Phase::Idle;
            }
            Claim::Started(_) | Claim::Cancelled => next.report_not_run(entry),
            Claim::Finished(_) | Claim::Unknown => next.entries[entry].phase = Phase::Idle,
            Claim::Absent => return,
        }
        transitions.push((entry_action(entry, "reads back a newer row"), next));
    }
}
