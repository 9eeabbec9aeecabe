//! The sidecars: they admit, claim, call and write outcomes.

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::AttemptId;
use amaranthscale_core::request::{StoredResult, cancel_write, claim_write, finish_write};
use amaranthscale_core::version::{ConditionalWrite, WriteEvent, WriteStep};
use amaranthscale_core::wire::{Outcome, RevokeAnswer, Row};

use crate::world::{Job, Omission, Order, Packet, World, fingerprint, host, result_of, writer};

impl World {
    pub fn admit(&mut self, order: Order, is_replay: bool) {
        let sidecar = &mut self.sidecars[order.sidecar];
        let Order {
            attempt,
            incarnation,
            expiry,
            ..
        } = order;
        match sidecar
            .ledger
            .admit(attempt, incarnation, expiry, sidecar.clock)
        {
            Ok(()) => {
                sidecar.jobs.insert(attempt, (order, Job::Queued));
            }
            // Nobody listens where a replay came from.
            Err(_) if is_replay => {}
            Err(code) => {
                let outcome = Outcome::without_result(code);
                self.network.push(Packet::Answer { order, outcome });
            }
        }
    }

    pub fn ask(&mut self, asker: usize, order: Order) {
        let sidecar = &mut self.sidecars[order.sidecar];
        let Order {
            attempt,
            incarnation,
            expiry,
            ..
        } = order;
        let is_busy = sidecar.ledger.incarnation() == incarnation
            && matches!(sidecar.jobs.get(&attempt), Some((_, Job::Finishing(_))));
        let answer = if is_busy {
            RevokeAnswer::Running
        } else {
            sidecar
                .ledger
                .revoke(attempt, incarnation, expiry, sidecar.clock)
        };
        self.network.push(Packet::Told {
            asker,
            order,
            answer,
        });
    }

    pub fn wake_sidecar(&mut self, sidecar: usize) {
        let attempts: Vec<AttemptId> = self.sidecars[sidecar].jobs.keys().copied().collect();
        if attempts.is_empty() {
            return;
        }
        let attempt = attempts[self.pick(attempts.len())];
        let Some((order, job)) = self.sidecars[sidecar].jobs.remove(&attempt) else {
            return;
        };
        let job = match job {
            Job::Queued => self.start(&order),
            Job::Claiming(write) if self.omission == Omission::ReadBack => {
                drop(write);
                Some(Job::Calling(None))
            }
            Job::Calling(claim) => self.call(&order, claim),
            Job::Claiming(write) => Some(Job::Claiming(self.table_is_silent(&order, write))),
            Job::GivingBack(write) => Some(Job::GivingBack(self.table_is_silent(&order, write))),
            Job::Finishing(write) => Some(Job::Finishing(self.table_is_silent(&order, write))),
        };
        self.keep_job(order, job);
    }

    pub fn keep_job(&mut self, order: Order, job: Option<Job>) {
        if let Some(job) = job {
            self.sidecars[order.sidecar]
                .jobs
                .insert(order.attempt, (order, job));
        }
    }

    pub fn table_is_silent(
        &mut self,
        order: &Order,
        mut write: ConditionalWrite,
    ) -> ConditionalWrite {
        let step = write.next(WriteEvent::Lost);
        self.follow(writer(order), &write, &step);
        write
    }

    pub fn start(&mut self, order: &Order) -> Option<Job> {
        let sidecar = &mut self.sidecars[order.sidecar];
        if let Err(code) = sidecar.ledger.start(order.attempt, sidecar.clock) {
            self.answer(order, Outcome::without_result(code));
            return None;
        }
        let Some(ticket) = &order.ticket else {
            return Some(Job::Calling(None));
        };
        let name = host("sidecar", order.sidecar);
        let write_id = self.write_id();
        let write = claim_write(ticket, name, order.incarnation, order.attempt, write_id);
        self.follow(writer(order), &write, &WriteStep::Send);
        Some(Job::Claiming(write))
    }

    pub fn call(&mut self, order: &Order, claim: Option<Row>) -> Option<Job> {
        if self.pick(4) == 0 {
            return self.give_back(order, claim);
        }
        let call = self.askers[order.asker].call;
        self.ran.entry(call).or_default().push(order.attempt);
        self.tally.runs += 1;
        let outcome = Outcome::without_result(ResultCode::Complete);
        let sidecar = &mut self.sidecars[order.sidecar];
        sidecar
            .ledger
            .finish(order.attempt, outcome.clone(), sidecar.clock);
        self.answer(order, outcome.clone());
        let result = StoredResult::Inline(result_of(call));
        let write = finish_write(&claim?, fingerprint(call), outcome, result, self.write_id());
        self.follow(writer(order), &write, &WriteStep::Send);
        Some(Job::Finishing(write))
    }

    /// The backend server cannot be reached: the call is not made.
    pub fn give_back(&mut self, order: &Order, claim: Option<Row>) -> Option<Job> {
        let (Some(claim), Some(ticket)) = (claim, &order.ticket) else {
            self.refuse(order, ResultCode::BackendUnreachable);
            return None;
        };
        let by = host("sidecar", order.sidecar);
        let write_id = self.write_id();
        let write = cancel_write(&ticket.key, claim.version, ticket.fingerprint, by, write_id);
        self.follow(writer(order), &write, &WriteStep::Send);
        Some(Job::GivingBack(write))
    }

    pub fn refuse(&mut self, order: &Order, code: ResultCode) {
        let sidecar = &mut self.sidecars[order.sidecar];
        sidecar.ledger.refuse(order.attempt, code, sidecar.clock);
        self.answer(order, Outcome::without_result(code));
    }

    pub fn answer(&mut self, order: &Order, outcome: Outcome) {
        self.network.push(Packet::Answer {
            order: order.clone(),
            outcome,
        });
    }

    pub fn job_event(&mut self, sidecar: usize, attempt: AttemptId, event: WriteEvent) {
        let Some((order, job)) = self.sidecars[sidecar].jobs.remove(&attempt) else {
            return;
        };
        let (mut write, wrap): (_, fn(ConditionalWrite) -> Job) = match job {
            Job::Claiming(write) => (write, Job::Claiming),
            Job::GivingBack(write) => (write, Job::GivingBack),
            Job::Finishing(write) => (write, Job::Finishing),
            job => return self.keep_job(order, Some(job)),
        };
        let step = write.next(event);
        self.follow(writer(&order), &write, &step);
        let job = match (wrap(write), step) {
            (job, WriteStep::Send | WriteStep::ReadBack) => Some(job),
            (Job::Claiming(_), WriteStep::Won { row }) => Some(Job::Calling(Some(row))),
            (Job::Claiming(_), _) => {
                self.refuse(&order, ResultCode::ClaimLost);
                None
            }
            (Job::GivingBack(_), _) => {
                self.refuse(&order, ResultCode::BackendUnreachable);
                None
            }
            _ => None,
        };
        self.keep_job(order, job);
    }
}
