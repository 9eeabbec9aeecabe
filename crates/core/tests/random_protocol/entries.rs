//! The entries: they read claims, dispatch, revoke, cancel and answer.

use amaranthscale_core::id::{AttemptId, AttemptNumber, RequestId, RowVersion, StageIndex};
use amaranthscale_core::request::{
    AttemptStatus, ClaimStatus, StoredResult, attempt_status, cancel_write, mark_unknown_write,
    read_claim,
};
use amaranthscale_core::unit::SidecarClock;
use amaranthscale_core::version::{WriteEvent, WriteStep};
use amaranthscale_core::wire::{ClaimTicket, Outcome, RevokeAnswer, Row};
use amaranthscale_core::{Ran, ResultCode};

use crate::simulation::{
    EXPIRY_AHEAD, MAX_TRIES, Omission, Packet, Phase, SIDECARS, SentAttempt, Simulation, Writer,
    claim_key, fingerprint, host, result_of,
};

impl Simulation {
    pub fn step_entry_call(&mut self, entry_call: usize, keeps_waiting: bool) {
        let phase = std::mem::replace(&mut self.entry_calls[entry_call].phase, Phase::Done);
        self.entry_calls[entry_call].phase = match phase {
            Phase::Idle if self.entry_calls[entry_call].is_keyed => {
                let key = claim_key(self.entry_calls[entry_call].call).to_string();
                self.network.push(Packet::Read {
                    writer: Writer::Entry(entry_call),
                    key,
                });
                Phase::Reading
            }
            Phase::Idle => self.dispatch(entry_call, None),
            Phase::Reading => Phase::Idle,
            Phase::Waiting(sent) if keeps_waiting || self.pick(2) == 0 => {
                self.network.push(Packet::Revoke {
                    entry_call,
                    sent: sent.clone(),
                });
                Phase::Waiting(sent)
            }
            Phase::Waiting(sent) => self.stop_waiting(entry_call, sent),
            Phase::Cancelling(sent, mut write) => {
                let step = write.next(WriteEvent::Lost);
                self.perform_step(Writer::Entry(entry_call), &write, &step);
                Phase::Cancelling(sent, write)
            }
            Phase::Following(sent) => {
                self.network.push(Packet::Revoke { entry_call, sent });
                Phase::Idle
            }
            Phase::MarkingUnknown(mut write) => {
                let step = write.next(WriteEvent::Lost);
                self.perform_step(Writer::Entry(entry_call), &write, &step);
                Phase::MarkingUnknown(write)
            }
            Phase::Done => Phase::Done,
        };
    }

    pub fn dispatch(&mut self, entry_call: usize, ticket: Option<ClaimTicket>) -> Phase {
        if self.entry_calls[entry_call].tries == MAX_TRIES {
            self.counts.not_run += 1;
            return Phase::Done;
        }
        self.entry_calls[entry_call].tries += 1;
        let sidecar = self.pick(SIDECARS);
        let target = &self.sidecars[sidecar];
        let sent = SentAttempt {
            attempt: AttemptId {
                request: RequestId::from_random_bits(entry_call as u128),
                stage: StageIndex::new(0),
                number: AttemptNumber::new(self.entry_calls[entry_call].tries),
            },
            entry_call,
            sidecar,
            incarnation: target.ledger.incarnation(),
            expiry: target.clock.plus(EXPIRY_AHEAD),
            ticket,
        };
        self.network.push(Packet::Dispatch {
            sent: sent.clone(),
            is_replay: false,
        });
        Phase::Waiting(sent)
    }

    pub fn stop_waiting(&mut self, entry_call: usize, sent: SentAttempt) -> Phase {
        let Some(ticket) = &sent.ticket else {
            self.counts.unknown += 1;
            return Phase::Done;
        };
        if self.omission == Omission::Cancel {
            self.reported_not_run.insert(sent.attempt);
            return Phase::Idle;
        }
        let write_id = self.write_id();
        let by = host("entry", entry_call);
        let fingerprint = ticket.fingerprint;
        let write = cancel_write(&ticket.key, ticket.version, fingerprint, by, write_id);
        self.perform_step(Writer::Entry(entry_call), &write, &WriteStep::Send);
        Phase::Cancelling(sent, write)
    }

    pub fn entry_event(&mut self, entry_call: usize, event: WriteEvent) {
        let phase = std::mem::replace(&mut self.entry_calls[entry_call].phase, Phase::Done);
        self.entry_calls[entry_call].phase = match (phase, event) {
            (Phase::Reading, WriteEvent::ReadBack(row)) => self.handle_claim(entry_call, &row),
            (Phase::Cancelling(sent, mut write), event) => {
                let step = write.next(event);
                self.perform_step(Writer::Entry(entry_call), &write, &step);
                match step {
                    WriteStep::Send | WriteStep::ReadBack => Phase::Cancelling(sent, write),
                    WriteStep::Won { row }
                    | WriteStep::Superseded { row }
                    | WriteStep::LostTo { row }
                    | WriteStep::Undecided { row } => self.handle_status(&sent, &row),
                }
            }
            (Phase::MarkingUnknown(mut write), event) => {
                let step = write.next(event);
                self.perform_step(Writer::Entry(entry_call), &write, &step);
                match step {
                    WriteStep::Send | WriteStep::ReadBack => Phase::MarkingUnknown(write),
                    _ => Phase::Idle,
                }
            }
            (phase, _) => phase,
        };
    }

    pub fn handle_status(&mut self, sent: &SentAttempt, row: &Row) -> Phase {
        let ticket_version = sent
            .ticket
            .as_ref()
            .map_or(RowVersion::default(), |t| t.version);
        let status = attempt_status(row, sent.attempt, ticket_version);
        assert_ne!(
            status,
            AttemptStatus::MayStart,
            "a settled write shows a later row"
        );
        if status == AttemptStatus::NeverRan {
            self.reported_not_run.insert(sent.attempt);
        }
        Phase::Idle
    }

    pub fn handle_claim(&mut self, entry_call: usize, row: &Row) -> Phase {
        let call = self.entry_calls[entry_call].call;
        let fingerprint = fingerprint(call);
        match read_claim(row, &fingerprint) {
            ClaimStatus::Free { version } => {
                let key = claim_key(call);
                self.dispatch(
                    entry_call,
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
                // An expiry in the past, so that the revocation records no tombstone.
                let expiry = SidecarClock::default();
                let ticket = Some(ClaimTicket {
                    key,
                    version,
                    fingerprint,
                });
                Phase::Following(SentAttempt {
                    attempt,
                    entry_call,
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
                self.counts.unknown += 1;
                Phase::Done
            }
            reading @ (ClaimStatus::KeyReused | ClaimStatus::Corrupt) => {
                self.wrong_result = Some(format!("call {call} reads {reading:?}"));
                Phase::Done
            }
        }
    }

    pub fn complete(&mut self, call: usize, result: &[u8]) {
        self.counts.complete += 1;
        if result != result_of(call) || !self.ran.contains_key(&call) {
            self.wrong_result = Some(format!("call {call} was answered with {result:?}"));
        }
    }

    pub fn receive_answer(&mut self, sent: &SentAttempt, outcome: &Outcome) {
        let entry_call = sent.entry_call;
        let is_awaited = match &self.entry_calls[entry_call].phase {
            Phase::Waiting(awaited) | Phase::Cancelling(awaited, _) => awaited == sent,
            _ => false,
        };
        if is_awaited {
            let call = self.entry_calls[entry_call].call;
            self.entry_calls[entry_call].phase = self.handle_outcome(call, sent, outcome);
        }
    }

    pub fn handle_outcome(&mut self, call: usize, sent: &SentAttempt, outcome: &Outcome) -> Phase {
        match (outcome.code, outcome.ran()) {
            // This code is about the delivery, not about the attempt.
            (ResultCode::DuplicateAttempt, _) => Phase::Waiting(sent.clone()),
            (_, Ran::No) => {
                self.reported_not_run.insert(sent.attempt);
                Phase::Idle
            }
            _ => {
                self.complete(call, &result_of(call));
                Phase::Done
            }
        }
    }

    pub fn receive_revoke_reply(
        &mut self,
        entry_call: usize,
        sent: &SentAttempt,
        answer: RevokeAnswer,
    ) {
        let is_own = match &self.entry_calls[entry_call].phase {
            Phase::Waiting(awaited) => awaited == sent,
            Phase::Idle | Phase::Reading => false,
            _ => return,
        };
        let is_holder = sent.expiry == SidecarClock::default();
        if !is_own && !is_holder {
            return;
        }
        let call = self.entry_calls[entry_call].call;
        let phase = match answer {
            RevokeAnswer::Running => return,
            RevokeAnswer::Finished(outcome) if is_holder && outcome.ran() == Ran::No => return,
            RevokeAnswer::Finished(outcome) => self.handle_outcome(call, sent, &outcome),
            RevokeAnswer::Revoked => {
                self.reported_not_run.insert(sent.attempt);
                Phase::Idle
            }
            RevokeAnswer::Forgotten | RevokeAnswer::OtherIncarnation if is_holder => {
                self.mark_unknown(entry_call, sent)
            }
            RevokeAnswer::Forgotten | RevokeAnswer::OtherIncarnation => {
                self.stop_waiting(entry_call, sent.clone())
            }
        };
        self.entry_calls[entry_call].phase = phase;
    }

    pub fn mark_unknown(&mut self, entry_call: usize, sent: &SentAttempt) -> Phase {
        let call = self.entry_calls[entry_call].call;
        let started = self.row(&claim_key(call).to_string());
        let version = sent.ticket.as_ref().map(|ticket| ticket.version);
        if Some(started.version) != version {
            return Phase::Idle;
        }
        let write = mark_unknown_write(&started, fingerprint(call), self.write_id());
        self.perform_step(Writer::Entry(entry_call), &write, &WriteStep::Send);
        Phase::MarkingUnknown(write)
    }
}
