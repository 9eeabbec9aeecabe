//! Runs one attempt that has a slot: claims the call, makes it and records the outcome.

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
use super::call_error::CallError;
use super::claim_writer::{ClaimOutcome, ClaimWriter};
use super::job::Job;
use super::orders::SharedEngineStatus;
use super::scheduler::SchedulerMessage;
use super::shared_state::SharedState;
use crate::process::Counters;

/// Runs attempts that have a slot.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) service: ServiceId,
    pub(super) limits: SidecarLimits,
    pub(super) shared: Arc<SharedState>,
    pub(super) backend: Arc<BackendClient>,
    pub(super) claim_writer: Arc<ClaimWriter>,
    pub(super) counters: Arc<Counters>,
    /// One permit for each claimed attempt, from its claim until its row is settled.
    pub(super) claim_permits: Arc<Semaphore>,
    /// Status of an engine that accepts orders.
    pub(super) engine: Option<Arc<SharedEngineStatus>>,
}

impl Runner {
    /// Runs an attempt and reports its end to the scheduler.
    pub(super) async fn run(self: Arc<Self>, job: Arc<Job>, scheduler: ActorRef<SchedulerMessage>) {
        let guard = RunGuard::new(Arc::clone(&job), scheduler);
        match &job.dispatch.claim {
            None => self.run_repeatable(&job, guard).await,
            Some(ticket) => self.run_claimed(&job, ticket, guard).await,
        }
    }

    async fn run_repeatable(&self, job: &Job, guard: RunGuard) {
        let started = self.shared.now();
        // The process may have been paused since the scheduler started the attempt.
        if started >= job.deadline {
            guard.end(Outcome::without_result(ResultCode::ExpiredInQueue));
            return;
        }
        let deadline = self.shared.instant(job.deadline);
        let call = self.call(job);
        let ended = tokio::select! {
            called = call => self.conclude(job, called),
            () = tokio::time::sleep_until(deadline) => {
                self.cancel_call(job, ResultCode::DeadlinePassed)
            }
            () = job.cancel.notified() => self.cancel_call(job, ResultCode::Cancelled),
        };
        let CallEnd {
            mut outcome,
            relayed,
        } = ended;
        self.set_times(job, started, &mut outcome);
        guard.end(outcome);
        if let Some(sender) = relayed.and_then(|relayed| relayed.sender) {
            self.backend.return_idle(sender).await;
        }
    }

    async fn run_claimed(&self, job: &Job, ticket: &ClaimTicket, guard: RunGuard) {
        // While the table is unavailable, attempts with unsettled claims accumulate in memory. Each
        // holds a permit, so attempts beyond the limit are refused before anything is written.
        let Ok(permit) = Arc::clone(&self.claim_permits).try_acquire_owned() else {
            guard.end(Outcome::without_result(ResultCode::TableAway));
            return;
        };
        let attempt = job.dispatch.attempt;
        let timeout = self.claim_timeout(job);
        match self.claim_writer.claim(ticket, attempt, timeout).await {
            ClaimOutcome::Won(row) => self.run_with_claim(job, ticket, row, guard, permit).await,
            ClaimOutcome::Lost => guard.end(Outcome::without_result(ResultCode::ClaimLost)),
            ClaimOutcome::Unavailable { may_take_effect } => {
                guard.end(Outcome::without_result(ResultCode::TableAway));
                if may_take_effect {
                    self.claim_writer.abandon(ticket, attempt).await;
                }
                drop(permit);
            }
        }
    }

    async fn run_with_claim(
        &self,
        job: &Job,
        ticket: &ClaimTicket,
        row: Row,
        guard: RunGuard,
        permit: OwnedSemaphorePermit,
    ) {
        let started = self.shared.now();
        if started >= job.deadline {
            self.free_claim(ticket, &row, permit).await;
            guard.end(Outcome::without_result(ResultCode::ExpiredInQueue));
            return;
        }
        let call = tokio::time::timeout(self.limits.call_timeout, self.call(job));
        let called = call.await.unwrap_or_else(|_elapsed| {
            Err(CallError::ConnectionLost("the call timed out".to_owned()))
        });
        let CallEnd {
            mut outcome,
            relayed,
        } = self.conclude(job, called);
        if outcome.ran() == Ran::No {
            self.free_claim(ticket, &row, permit).await;
            guard.end(outcome);
            return;
        }
        self.set_times(job, started, &mut outcome);
        let result = relayed.map(|relayed| relayed.result).unwrap_or_default();
        let recorded_notifier = guard.end_unrecorded(outcome.clone());
        let (claim_writer, fingerprint) = (&self.claim_writer, ticket.fingerprint);
        claim_writer
            .finish(&row, fingerprint, outcome, result)
            .await;
        recorded_notifier.notify();
        drop(permit);
    }

    /// Frees a claim whose call was not made, before the attempt's end is reported.
    ///
    /// The entry may send the next attempt at once, and would find the row still claimed. The
    /// timeout keeps a slow table from delaying the answer for long.
    async fn free_claim(&self, ticket: &ClaimTicket, row: &Row, permit: OwnedSemaphorePermit) {
        let claim_writer = Arc::clone(&self.claim_writer);
        let (ticket, row) = (ticket.clone(), row.clone());
        let freeing = tokio::spawn(async move {
            claim_writer.release(&ticket, &row).await;
            drop(permit);
        });
        let _ = tokio::time::timeout(self.limits.claim_timeout, freeing).await;
    }

    fn claim_timeout(&self, job: &Job) -> Duration {
        let left = self.shared.now().until(job.deadline);
        left.min(self.limits.claim_timeout)
    }

    async fn call(&self, job: &Job) -> Result<Relayed, CallError> {
        let reply = self.backend.call(job).await?;
        Relay::new(job).run(reply, &self.backend).await
    }

    fn conclude(&self, job: &Job, called: Result<Relayed, CallError>) -> CallEnd {
        let error = match called {
            Ok(relayed) => {
                return CallEnd {
                    outcome: relayed.outcome.clone(),
                    relayed: Some(relayed),
                };
            }
            Err(error) => error,
        };
        warn!("sidecar: {} failed: {error}", job.dispatch.attempt);
        let code = match error {
            CallError::NotSent(_) => ResultCode::BackendUnreachable,
            // The request may have been received, so the call may have taken effect.
            _ if !job.is_repeatable() => ResultCode::OutcomeUnknown,
            CallError::ConnectionLost(_) => ResultCode::BackendBroke,
            CallError::TooLarge => return self.cancel_call(job, ResultCode::Cancelled),
        };
        CallEnd::without_result(code)
    }

    /// Cancels repeatable work whose connection has already been dropped.
    fn cancel_call(&self, job: &Job, code: ResultCode) -> CallEnd {
        let attempt = job.dispatch.attempt;
        debug!("sidecar: {attempt} cancelled early: {code}");
        self.counters.count_reason("cut_off", code.name());
        let backend = Arc::clone(&self.backend);
        tokio::spawn(async move { backend.cancel(attempt).await });
        CallEnd::without_result(code)
    }

    fn set_times(&self, job: &Job, started: SidecarClock, outcome: &mut Outcome) {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        outcome.cost.queue_ms = millis(job.arrival.until(started));
        outcome.cost.server_ms = millis(started.until(self.shared.now()));
    }
}

/// How a call ended, with its result if there is one.
#[derive(Debug)]
struct CallEnd {
    outcome: Outcome,
    relayed: Option<Relayed>,
}

impl CallEnd {
    fn without_result(code: ResultCode) -> Self {
        Self {
            outcome: Outcome::without_result(code),
            relayed: None,
        }
    }
}
