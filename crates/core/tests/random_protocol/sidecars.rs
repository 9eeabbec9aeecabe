//! The sidecars: they admit, claim, call and write outcomes.

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::AttemptId;
use amaranthscale_core::request::{StoredResult, cancel_write, claim_write, finish_write};
use amaranthscale_core::version::{ConditionalWrite, WriteEvent, WriteStep};
use amaranthscale_core::wire::{Outcome, RevokeAnswer, Row};

use crate::simulation::{
    Job, Omission, Packet, SentAttempt, Simulation, fingerprint, host, result_of, writer,
};

impl Simulation {
    pub fn admit(&mut self, sent: SentAttempt, is_replay: bool) {
        let sidecar = &mut self.sidecars[sent.sidecar];
        let SentAttempt {
            attempt,
            incarnation,
            expiry,
            ..
        } = sent;
        match sidecar
            .ledger
            .admit(attempt, incarnation, expiry, sidecar.clock)
        {
            Ok(()) => {
                sidecar.jobs.insert(attempt, (sent, Job::Queued));
            }
            // The sender of a replayed message waits for no answer.
            Err(_) if is_replay => {}
            Err(code) => {
                let outcome = Outcome::without_result(code);
                self.network.push(Packet::Answer { sent, outcome });
            }
        }
    }

    pub fn revoke(&mut self, entry_call: usize, sent: SentAttempt) {
        let sidecar = &mut self.sidecars[sent.sidecar];
        let SentAttempt {
            attempt,
            incarnation,
            expiry,
            ..
        } = sent;
        let is_busy = sidecar.ledger.incarnation() == incarnation
            && matches!(sidecar.jobs.get(&attempt), Some((_, Job::Finishing(_))));
        let answer = if is_busy {
            RevokeAnswer::Running
        } else {
            sidecar
                .ledger
                .revoke(attempt, incarnation, expiry, sidecar.clock)
        };
        self.network.push(Packet::RevokeReply {
            entry_call,
            sent,
            answer,
        });
    }

    pub fn step_sidecar(&mut self, sidecar: usize) {
        let attempts: Vec<AttemptId> = self.sidecars[sidecar].jobs.keys().copied().collect();
        if attempts.is_empty() {
            return;
        }
        let attempt = attempts[self.pick(attempts.len())];
        let Some((sent, job)) = self.sidecars[sidecar].jobs.remove(&attempt) else {
            return;
        };
        let job = match job {
            Job::Queued => self.start(&sent),
            Job::Claiming(write) if self.omission == Omission::ReadBack => {
                drop(write);
                Some(Job::Calling(None))
            }
            Job::Calling(claim) => self.call(&sent, claim),
            Job::Claiming(write) => Some(Job::Claiming(self.table_timeout(&sent, write))),
            Job::CancellingClaim(write) => {
                Some(Job::CancellingClaim(self.table_timeout(&sent, write)))
            }
            Job::Finishing(write) => Some(Job::Finishing(self.table_timeout(&sent, write))),
        };
        self.store_job(sent, job);
    }

    pub fn store_job(&mut self, sent: SentAttempt, job: Option<Job>) {
        if let Some(job) = job {
            self.sidecars[sent.sidecar]
                .jobs
                .insert(sent.attempt, (sent, job));
        }
    }

    pub fn table_timeout(
        &mut self,
        sent: &SentAttempt,
        mut write: ConditionalWrite,
    ) -> ConditionalWrite {
        let step = write.next(WriteEvent::Lost);
        self.perform_step(writer(sent), &write, &step);
        write
    }

    pub fn start(&mut self, sent: &SentAttempt) -> Option<Job> {
        let sidecar = &mut self.sidecars[sent.sidecar];
        if let Err(code) = sidecar.ledger.start(sent.attempt, sidecar.clock) {
            self.answer(sent, Outcome::without_result(code));
            return None;
        }
        let Some(ticket) = &sent.ticket else {
            return Some(Job::Calling(None));
        };
        let name = host("sidecar", sent.sidecar);
        let write_id = self.write_id();
        let write = claim_write(ticket, name, sent.incarnation, sent.attempt, write_id);
        self.perform_step(writer(sent), &write, &WriteStep::Send);
        Some(Job::Claiming(write))
    }

    pub fn call(&mut self, sent: &SentAttempt, claim: Option<Row>) -> Option<Job> {
        if self.pick(4) == 0 {
            return self.cancel_claim(sent, claim);
        }
        let call = self.entry_calls[sent.entry_call].call;
        self.ran.entry(call).or_default().push(sent.attempt);
        self.counts.runs += 1;
        let outcome = Outcome::without_result(ResultCode::Complete);
        let sidecar = &mut self.sidecars[sent.sidecar];
        sidecar
            .ledger
            .finish(sent.attempt, outcome.clone(), sidecar.clock);
        self.answer(sent, outcome.clone());
        let result = StoredResult::Inline(result_of(call));
        let write = finish_write(&claim?, fingerprint(call), outcome, result, self.write_id());
        self.perform_step(writer(sent), &write, &WriteStep::Send);
        Some(Job::Finishing(write))
    }

    /// The backend server is unreachable, so the call is not made.
    pub fn cancel_claim(&mut self, sent: &SentAttempt, claim: Option<Row>) -> Option<Job> {
        let (Some(claim), Some(ticket)) = (claim, &sent.ticket) else {
            self.refuse(sent, ResultCode::BackendUnreachable);
            return None;
        };
        let by = host("sidecar", sent.sidecar);
        let write_id = self.write_id();
        let write = cancel_write(&ticket.key, claim.version, ticket.fingerprint, by, write_id);
        self.perform_step(writer(sent), &write, &WriteStep::Send);
        Some(Job::CancellingClaim(write))
    }

    pub fn refuse(&mut self, sent: &SentAttempt, code: ResultCode) {
        let sidecar = &mut self.sidecars[sent.sidecar];
        sidecar.ledger.refuse(sent.attempt, code, sidecar.clock);
        self.answer(sent, Outcome::without_result(code));
    }

    pub fn answer(&mut self, sent: &SentAttempt, outcome: Outcome) {
        self.network.push(Packet::Answer {
            sent: sent.clone(),
            outcome,
        });
    }

    pub fn job_event(&mut self, sidecar: usize, attempt: AttemptId, event: WriteEvent) {
        let Some((sent, job)) = self.sidecars[sidecar].jobs.remove(&attempt) else {
            return;
        };
        let (mut write, wrap): (_, fn(ConditionalWrite) -> Job) = match job {
            Job::Claiming(write) => (write, Job::Claiming),
            Job::CancellingClaim(write) => (write, Job::CancellingClaim),
            Job::Finishing(write) => (write, Job::Finishing),
            job => return self.store_job(sent, Some(job)),
        };
        let step = write.next(event);
        self.perform_step(writer(&sent), &write, &step);
        let job = match (wrap(write), step) {
            (job, WriteStep::Send | WriteStep::ReadBack) => Some(job),
            (Job::Claiming(_), WriteStep::Won { row }) => Some(Job::Calling(Some(row))),
            (Job::Claiming(_), _) => {
                self.refuse(&sent, ResultCode::ClaimLost);
                None
            }
            (Job::CancellingClaim(_), _) => {
                self.refuse(&sent, ResultCode::BackendUnreachable);
                None
            }
            _ => None,
        };
        self.store_job(sent, job);
    }
}
