//! Deliveries to a sidecar, and transitions of a sidecar.

use crate::model::{
    Claim, Guard, Message, Progress, Spec, State, Transitions, as_u8, attempt_action,
};

impl Spec {
    pub fn network_transitions(&self, state: &State, id: usize, transitions: &mut Transitions) {
        if state.network.has(Message::Dispatch, id) {
            let mut next = *state;
            next.network.take(Message::Dispatch, id);
            next.network.send(Message::Replay, id);
            self.admit(&mut next, id, true);
            transitions.push((attempt_action(id, "reaches its sidecar"), next));
        }
        if state.network.has(Message::Replay, id) {
            let mut next = *state;
            self.admit(&mut next, id, !self.is_enabled(Guard::SendOnce));
            transitions.push((attempt_action(id, "reaches its sidecar once more"), next));
        }
        if state.network.has(Message::Revoke, id) {
            let mut next = *state;
            self.revoke(&mut next, id);
            transitions.push((attempt_action(id, "revocation reaches the sidecar"), next));
        }
    }

    pub fn admit(&self, next: &mut State, id: usize, is_answered: bool) {
        let attempt = next.attempts[id];
        let is_known = attempt.progress != Progress::Absent;
        let is_ended = matches!(attempt.progress, Progress::Refused | Progress::Revoked);
        let is_other_incarnation =
            self.is_enabled(Guard::Incarnation) && !next.is_same_incarnation(attempt);
        let is_late = !is_known && self.is_enabled(Guard::Expiry) && next.is_expired(attempt);
        if is_other_incarnation || is_late || is_ended {
            if is_answered {
                next.network.send(Message::NotRun, id);
            }
        } else if !is_known {
            next.attempts[id].progress = Progress::Queued;
        }
    }

    pub fn revoke(&self, next: &mut State, id: usize) {
        let attempt = next.attempts[id];
        if self.is_enabled(Guard::Incarnation) && !next.is_same_incarnation(attempt) {
            next.network.send(Message::Forgotten, id);
            return;
        }
        let is_forgotten = self.is_enabled(Guard::Forgotten) && next.is_expired(attempt);
        let answer = match attempt.progress {
            Progress::Absent if is_forgotten => Message::Forgotten,
            Progress::Absent => {
                if self.is_enabled(Guard::Tombstone) {
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

    pub fn sidecar_transitions(&self, state: &State, id: usize, transitions: &mut Transitions) {
        let attempt = state.attempts[id];
        match attempt.progress {
            Progress::Queued => self.begin(state, id, transitions),
            Progress::Claiming => self.read_back_claim(state, id, transitions),
            Progress::Calling => Self::call(state, id, transitions),
            Progress::Finished if state.row == Claim::Started(as_u8(id)) => {
                let mut next = *state;
                next.write(Claim::Finished(as_u8(id)));
                transitions.push((
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
            transitions.push((attempt_action(id, "is dropped from the ledger"), next));
        }
    }

    pub fn begin(&self, state: &State, id: usize, transitions: &mut Transitions) {
        let mut next = *state;
        if self.is_enabled(Guard::Expiry) && state.is_expired(state.attempts[id]) {
            next.refuse(id);
            transitions.push((attempt_action(id, "has expired in the queue"), next));
            return;
        }
        if self.uses_claim {
            next.attempts[id].progress = Progress::Claiming;
            next.network.send(Message::ClaimWrite, id);
        } else {
            next.attempts[id].progress = Progress::Calling;
        }
        transitions.push((attempt_action(id, "starts"), next));
    }

    pub fn read_back_claim(&self, state: &State, id: usize, transitions: &mut Transitions) {
        let mut next = *state;
        let version = state.attempts[id].version;
        let is_old = state.row_version == version;
        let is_ours = state.row_version == version + 1 && state.row == Claim::Started(as_u8(id));
        if !self.is_enabled(Guard::ReadBack) || is_ours {
            next.attempts[id].progress = Progress::Calling;
        } else if is_old && self.is_enabled(Guard::RepeatWrite) {
            return;
        } else {
            next.refuse(id);
        }
        transitions.push((
            attempt_action(id, "reply to the claim is lost; the sidecar settles it"),
            next,
        ));
    }

    pub fn call(state: &State, id: usize, transitions: &mut Transitions) {
        let mut next = *state;
        next.attempts[id].runs += 1;
        next.attempts[id].progress = Progress::Finished;
        next.network.send(Message::Complete, id);
        transitions.push((attempt_action(id, "RUNS"), next));
        if state.row == Claim::Started(as_u8(id)) {
            let mut next = *state;
            next.write(Claim::Cancelled);
            next.refuse(id);
            transitions.push((
                attempt_action(id, "cannot make its call and cancels its claim"),
                next,
            ));
        }
    }
}
