//! Runs one attempt that holds a slot: claim, call, answer, record.

mod relay;
mod run_guard;
mod token_count;

use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::ServiceId;
use amaranthscale_core::unit::SidecarClock;
use amaranthscale_core::wire::{ClaimTicket, Outcome, Row};
use amaranthscale_core::{Ran, ResultCode};
use log::{debug, warn};
use ractor::ActorRef;
use relay::{Relay, Relayed};
use run_guard::RunGuard;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::SidecarLimits;
use super::backend_client::BackendClient;
use super::board::Board;
use super::call_error::CallError;
use super::claims::{ClaimAnswer, Claims};
use super::gate::GateMessage;
use super::job::Job;
use crate::process::Counters;

/// Runs attempts that hold a slot.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) service: ServiceId,
    pub(super) limits: SidecarLimits,
    pub(super) board: Arc<Board>,
    pub(super) backend: Arc<BackendClient>,
    pub(super) claims: Arc<Claims>,
    pub(super) counters: Arc<Counters>,
    /// One permit for each claimed attempt, from its claim until its row is settled.
    pub(super) table_jobs: Arc<Semaphore>,
}

impl Runner {
    /// Runs an attempt and tells the gate how it ended.
    pub(super) async fn run(self: Arc<Self>, job: Arc<Job>, gate: ActorRef<GateMessage>) {
        let guard = RunGuard::new(Arc::clone(&job), gate);
        match &job.dispatch.claim {
            None => self.run_repeatable(&job, guard).await,
            Some(ticket) => self.run_claimed(&job, ticket, guard).await,
        }
    }

    async fn run_repeatable(&self, job: &Job, guard: RunGuard) {
        let started = self.board.now();
        // The process may have been paused since the gate started the attempt.
        if started >= job.deadline {
            guard.end(Outcome::without_result(ResultCode::ExpiredInQueue));
            return;
        }
        let deadline = self.board.instant(job.deadline);
        let call = self.call(job);
        let ended = tokio::select! {
            called = call => self.judge(job, called),
            () = tokio::time::sleep_until(deadline) => {
                self.cut_off(job, ResultCode::DeadlinePassed)
            }
            () = job.cancel.notified() => self.cut_off(job, ResultCode::Cancelled),
        };
        let Judged {
            mut outcome,
            relayed,
        } = ended;
        self.add_times(job, started, &mut outcome);
        guard.end(outcome);
        if let Some(sender) = relayed.and_then(|relayed| relayed.sender) {
            self.backend.give_back(sender).await;
        }
    }

    async fn run_claimed(&self, job: &Job, ticket: &ClaimTicket, guard: RunGuard) {
        // While the table is away, attempts whose claims are not settled pile up in memory. Each
        // holds a permit, so what is beyond the bound is refused before anything is written.
        let Ok(permit) = Arc::clone(&self.table_jobs).try_acquire_owned() else {
            guard.end(Outcome::without_result(ResultCode::TableAway));
            return;
        };
        let attempt = job.dispatch.attempt;
        let patience = self.claim_patience(job);
        match self.claims.claim(ticket, attempt, patience).await {
            ClaimAnswer::Won(row) => self.run_won(job, ticket, row, guard, permit).await,
            ClaimAnswer::Lost => guard.end(Outcome::without_result(ResultCode::ClaimLost)),
            ClaimAnswer::Away { may_take_effect } => {
                guard.end(Outcome::without_result(ResultCode::TableAway));
                if may_take_effect {
                    self.claims.abandon(ticket, attempt).await;
                }
                drop(permit);
            }
        }
    }

    async fn run_won(
        &self,
        job: &Job,
        ticket: &ClaimTicket,
        row: Row,
        guard: RunGuard,
        permit: OwnedSemaphorePermit,
    ) {
        let started = self.board.now();
        if started >= job.deadline {
            self.free_claim(ticket, &row, permit).await;
            guard.end(Outcome::without_result(ResultCode::ExpiredInQueue));
            return;
        }
        let call = tokio::time::timeout(self.limits.max_call, self.call(job));
        let called = call
            .await
            .unwrap_or_else(|_elapsed| Err(CallError::Broke("the call took too long".to_owned())));
        let Judged {
            mut outcome,
            relayed,
        } = self.judge(job, called);
        if outcome.ran() == Ran::No {
            self.free_claim(ticket, &row, permit).await;
            guard.end(outcome);
            return;
        }
        self.add_times(job, started, &mut outcome);
        let result = relayed.map(|relayed| relayed.result).unwrap_or_default();
        let recorder = guard.end_unrecorded(outcome.clone());
        let (claims, fingerprint) = (&self.claims, ticket.fingerprint);
        claims.finish(&row, fingerprint, outcome, result).await;
        recorder.recorded();
        drop(permit);
    }

    /// Frees a claim whose call was not made, before its entry hears of it.
    ///
    /// The entry may send the next attempt at once, and would find the row still claimed. A slow
    /// table does not hold the answer up for long.
    async fn free_claim(&self, ticket: &ClaimTicket, row: &Row, permit: OwnedSemaphorePermit) {
        let claims = Arc::clone(&self.claims);
        let (ticket, row) = (ticket.clone(), row.clone());
        let freeing = tokio::spawn(async move {
            claims.release(&ticket, &row).await;
            drop(permit);
        });
        let _ = tokio::time::timeout(self.limits.claim_patience, freeing).await;
    }

    fn claim_patience(&self, job: &Job) -> Duration {
        let left = self.board.now().until(job.deadline);
        left.min(self.limits.claim_patience)
    }

    async fn call(&self, job: &Job) -> Result<Relayed, CallError> {
        let reply = self.backend.call(job).await?;
        Relay::new(job).run(reply).await
    }

    fn judge(&self, job: &Job, called: Result<Relayed, CallError>) -> Judged {
        let error = match called {
            Ok(relayed) => {
                return Judged {
                    outcome: relayed.outcome.clone(),
                    relayed: Some(relayed),
                };
            }
            Err(error) => error,
        };
        warn!("sidecar: {} failed: {error}", job.dispatch.attempt);
        let code = match error {
            CallError::NotSent(_) => ResultCode::BackendUnreachable,
            // The request was seen, so the call may have taken effect.
            _ if !job.is_repeatable() => ResultCode::OutcomeUnknown,
            CallError::Broke(_) => ResultCode::BackendBroke,
            CallError::TooLarge => return self.cut_off(job, ResultCode::Cancelled),
        };
        Judged::without_result(code)
    }

    /// Ends repeatable work early; its connection is dropped by now.
    fn cut_off(&self, job: &Job, code: ResultCode) -> Judged {
        let attempt = job.dispatch.attempt;
        debug!("sidecar: {attempt} cut off: {code}");
        self.counters.count_reason("cut_off", code.name());
        let backend = Arc::clone(&self.backend);
        tokio::spawn(async move { backend.cancel(attempt).await });
        Judged::without_result(code)
    }

    fn add_times(&self, job: &Job, started: SidecarClock, outcome: &mut Outcome) {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        outcome.cost.queue_ms = millis(job.arrival.until(started));
        outcome.cost.server_ms = millis(started.until(self.board.now()));
    }
}

/// How a call ended, and what came of it.
#[derive(Debug)]
struct Judged {
    outcome: Outcome,
    relayed: Option<Relayed>,
}

impl Judged {
    fn without_result(code: ResultCode) -> Self {
        Self {
            outcome: Outcome::without_result(code),
            relayed: None,
        }
    }
}
