//! What the table does with writes, and what goes wrong around it.

use crate::model::{
    Claim, Guard, Message, Moves, Progress, Spec, State, attempt_action, sidecar_action, small,
};

impl Spec {
    /// A write takes effect, or finds another version; its answer arrives or is lost.
    pub fn table_moves(&self, state: &State, id: usize, moves: &mut Moves) {
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

    pub fn fault_moves(&self, state: &State, sidecar: usize, moves: &mut Moves) {
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
