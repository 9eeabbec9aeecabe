//! The entries: they read claims, dispatch, ask, cancel and answer.

use amaranthscale_core::id::{AttemptId, AttemptNumber, RequestId, RowVersion, StageIndex};
use amaranthscale_core::request::{
    AttemptStatus, ClaimStatus, StoredResult, attempt_status, cancel_write, mark_unknown_write,
    read_claim,
};
use amaranthscale_core::unit::SidecarClock;
use amaranthscale_core::version::{WriteEvent, WriteStep};
use amaranthscale_core::wire::{ClaimTicket, Outcome, RevokeAnswer, Row};
use amaranthscale_core::{Ran, ResultCode};

use crate::world::{
    EXPIRY_AHEAD, MAX_TRIES, Omission, Order, Packet, Phase, SIDECARS, World, Writer, claim_key,
    fingerprint, host, result_of,
};

impl World {
    pub fn wake_asker(&mut self, asker: usize, is_patient: bool) {
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

    pub fn dispatch(&mut self, asker: usize, ticket: Option<ClaimTicket>) -> Phase {
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

    pub fn give_up_waiting(&mut self, asker: usize, order: Order) -> Phase {
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

    pub fn asker_event(&mut self, asker: usize, event: WriteEvent) {
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

    pub fn judge_fate(&mut self, order: &Order, row: &Row) -> Phase {
        let carried = order
            .ticket
            .as_ref()
            .map_or(RowVersion::default(), |t| t.version);
        let fate = attempt_status(row, order.attempt, carried);
        assert_ne!(
            fate,
            AttemptStatus::MayStart,
            "a settled write shows a later row"
        );
        if fate == AttemptStatus::NeverRan {
            self.called_not_run.insert(order.attempt);
        }
        Phase::Idle
    }

    pub fn follow_claim(&mut self, asker: usize, row: &Row) -> Phase {
        let call = self.askers[asker].call;
        let fingerprint = fingerprint(call);
        match read_claim(row, &fingerprint) {
            ClaimStatus::Free { version } => {
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
            ClaimStatus::Started {
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
            ClaimStatus::Finished { result, .. } => {
                let StoredResult::Inline(result) = result else {
                    panic!("results are inline here");
                };
                self.complete(call, &result);
                Phase::Done
            }
            ClaimStatus::Unknown => {
                self.tally.unknown += 1;
                Phase::Done
            }
            reading @ (ClaimStatus::KeyReused | ClaimStatus::Corrupt) => {
                self.mixed_up = Some(format!("call {call} reads {reading:?}"));
                Phase::Done
            }
        }
    }

    pub fn complete(&mut self, call: usize, result: &[u8]) {
        self.tally.complete += 1;
        if result != result_of(call) || !self.ran.contains_key(&call) {
            self.mixed_up = Some(format!("call {call} was answered with {result:?}"));
        }
    }

    pub fn take_answer(&mut self, order: &Order, outcome: &Outcome) {
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

    pub fn judge_outcome(&mut self, call: usize, order: &Order, outcome: &Outcome) -> Phase {
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

    pub fn take_told(&mut self, asker: usize, order: &Order, answer: RevokeAnswer) {
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

    pub fn mark_unknown(&mut self, asker: usize, order: &Order) -> Phase {
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
}
