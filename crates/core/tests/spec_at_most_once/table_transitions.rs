//! Transitions of the table, and faults of sidecars.

use crate::model::{
    Claim, Guard, Message, Progress, Spec, State, Transitions, as_u8, attempt_action,
    sidecar_action,
};

impl Spec {
    /// A write takes effect or conflicts; its reply arrives or is lost.
    pub fn table_transitions(&self, state: &State, id: usize, transitions: &mut Transitions) {
        let attempt = state.attempts[id];
        let is_current = state.row_version == attempt.version;
        if state.network.has(Message::ClaimWrite, id) {
            let is_taken = is_current || !self.is_enabled(Guard::ClaimVersion);
            let mut next = *state;
            if is_taken {
                next.write(Claim::Started(as_u8(id)));
                // Without the version check the write could be replayed without limit.
                next.network.take(Message::ClaimWrite, id);
                transitions.push((attempt_action(id, "claim takes effect, reply lost"), next));
            }
            if attempt.progress == Progress::Claiming {
                if is_taken {
                    next.attempts[id].progress = Progress::Calling;
                } else {
                    next.refuse(id);
                }
                transitions.push((attempt_action(id, "claim is replied to"), next));
            }
        }
        if state.network.has(Message::CancelWrite, id) && is_current {
            let mut next = *state;
            next.write(Claim::Cancelled);
            transitions.push((attempt_action(id, "cancellation takes effect"), next));
        }
    }

    pub fn fault_transitions(&self, state: &State, sidecar: usize, transitions: &mut Transitions) {
        if state.restarts < self.restarts {
            let mut next = *state;
            next.restarts += 1;
            next.sidecars[sidecar].incarnation += 1;
            next.sidecars[sidecar].clock = 0;
            for attempt in &mut next.attempts {
                if usize::from(attempt.sidecar) == sidecar {
                    attempt.progress = Progress::Absent;
                }
            }
            transitions.push((
                sidecar_action(sidecar, "restarts and loses its state"),
                next,
            ));
        }
        if state.ticks < self.ticks {
            let mut next = *state;
            next.ticks += 1;
            next.sidecars[sidecar].clock += 1;
            transitions.push((
                sidecar_action(sidecar, "clock passes every expiry so far"),
                next,
            ));
        }
    }
}
