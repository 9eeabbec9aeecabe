//! Runs a request's job at the gateway that owns its cell's batches.

use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranthscale_core::id::{InstanceId, ResultHandle};
use amaranthscale_core::process::{JobFailure, JobSpec};
use hyper::body::Incoming;
use log::info;
use quick_error::quick_error;
use tokio::time::Instant;

use super::super::RequestContent;
use super::peer_jobs::{PeerJobError, submit_to_peer};
use super::retained_results::RetainedResults;
use super::{GatewayContext, JobGuard, JobOutcome, JobSource, JobUpdate};

/// Maximum number of submissions of one request's job, to the same or the next owner.
const MAX_OWNER_ATTEMPTS: usize = 4;
/// Margin beyond the time for which an owner queues a job, after which an owner that sent no update
/// counts as overloaded: one call and the round trip.
const OWNER_MARGIN: Duration = Duration::from_secs(1);
/// Retry delay for callers when no owner could be reached.
const NO_OWNER_RETRY_DELAY: Duration = Duration::from_millis(500);

quick_error! {
    /// Error of a job whose results were not computed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum JobError {
        /// The results cannot be computed in time; nothing was begun.
        Refused(retry_after: Duration, reason: JobFailure) {
            display("the pieces cannot be made: {reason}")
        }
        /// The job was begun and abandoned.
        Failed(reason: JobFailure) {
            display("the pieces were given up: {reason}")
        }
    }
}

/// Results of a job, retained by their servers until this is dropped.
#[derive(Debug)]
pub struct JobResults {
    /// Handles of the results that the engine reads.
    pub handles: Vec<ResultHandle>,
    /// The gateway that ran the job.
    pub owner: InstanceId,
    /// Keeps the job alive at its owner.
    _guard: ResultGuard,
}

#[derive(Debug)]
enum ResultGuard {
    Local { _job: Option<JobGuard> },
    Peer { _body: Incoming },
}

/// Runs a job, or fails in time for a retry if none of it was begun.
///
/// An owner abandons a job that it has not begun after twice the target latency. An owner too busy
/// to do that would leave the request waiting until its caller's deadline, so the wait for a first
/// update is limited here as well.
pub(crate) async fn run_job(
    context: &GatewayContext,
    request_content: &RequestContent,
    spec: JobSpec,
) -> Result<JobResults, JobError> {
    let call = spec.call.clone();
    let owner_timeout = spec.target_latency_left + spec.target_latency + OWNER_MARGIN;
    let has_begun = AtomicBool::new(false);
    let mut submitting = pin!(submit_to_owners(context, request_content, spec, &has_begun));
    tokio::select! {
        result = &mut submitting => return result,
        () = tokio::time::sleep(owner_timeout) => {}
    }
    if has_begun.load(Ordering::Relaxed) {
        return submitting.await;
    }
    context.counters.count("owner.told-nothing");
    info!(call = call.as_str(); "batches: no update from owner");
    Err(JobError::Refused(
        NO_OWNER_RETRY_DELAY,
        JobFailure::Overloaded,
    ))
}

/// Submits a job to its owner; an owner that stops responding is skipped for the next one.
async fn submit_to_owners(
    context: &GatewayContext,
    request_content: &RequestContent,
    mut spec: JobSpec,
    has_begun: &AtomicBool,
) -> Result<JobResults, JobError> {
    let started = Instant::now();
    let (target_latency_left, deadline_left) = (spec.target_latency_left, spec.deadline_left);
    let mut failed_owner: Option<InstanceId> = None;
    let mut retained = RetainedResults::default();
    // What one owner admitted is not refused by the next one for its forecast.
    let was_admitted = AtomicBool::new(false);
    for _ in 0..MAX_OWNER_ATTEMPTS {
        spec.retained = retained.with_current_ages();
        spec.was_admitted = was_admitted.load(Ordering::Relaxed);
        spec.target_latency_left = target_latency_left.saturating_sub(started.elapsed());
        spec.deadline_left = deadline_left.saturating_sub(started.elapsed());
        let (owner, address, is_own) = context.cluster_view.owner(spec.cell);
        let on_update = |update: JobUpdate| {
            if update.is_admitted() {
                was_admitted.store(true, Ordering::Relaxed);
                return;
            }
            if let JobUpdate::CutOff { server, address } = &update {
                context
                    .crashes
                    .record_lost_pieces(server, *address, request_content);
            }
            retained.record(update, has_begun);
        };
        let result = if is_own {
            Ok(submit_locally(context, &spec, on_update).await)
        } else {
            submit_to_peer(&context.peers, &owner, address, &spec, on_update)
                .await
                .map(|(outcome, body)| (outcome, ResultGuard::Peer { _body: body }))
        };
        match result {
            Ok((JobOutcome::Stopping, _)) => context.cluster_view.mark_unresponsive(&owner),
            // Its CPU may be too slow, as on a host that other processes load; the next owner
            // reaches equally good servers. A gateway does not skip its own owner.
            Ok((
                JobOutcome::Refused {
                    reason: JobFailure::Overloaded,
                    ..
                },
                _,
            )) if !is_own => {
                context.counters.count("owner.passed-over");
                context.cluster_view.mark_unresponsive(&owner);
            }
            Ok((outcome, guard)) => {
                context.cluster_view.mark_responsive(&owner);
                return into_result(owner, outcome, guard);
            }
            Err(error) => {
                context.counters.count("owner.lost");
                info!(
                    call = spec.call.as_str(), owner = owner.as_str(), reason:% = error;
                    "batches: owner lost"
                );
                // The connection may have ended while the owner still runs. Skipping the owner
                // would make another gateway a second owner, so it is tried once more on a new
                // connection.
                let is_first = failed_owner.as_ref() != Some(&owner);
                if !(is_first && matches!(error, PeerJobError::ConnectionLost(_))) {
                    context.cluster_view.mark_unresponsive(&owner);
                }
                failed_owner = Some(owner);
            }
        }
    }
    Err(JobError::Refused(NO_OWNER_RETRY_DELAY, JobFailure::Failing))
}

async fn submit_locally(
    context: &GatewayContext,
    spec: &JobSpec,
    mut on_update: impl FnMut(JobUpdate),
) -> (JobOutcome, ResultGuard) {
    let mut job = context
        .batch_owners
        .submit(spec.clone(), JobSource::Local)
        .await;
    while let Some(update) = job.updates.recv().await {
        match update {
            JobUpdate::Ended(outcome) => return (outcome, ResultGuard::Local { _job: job.guard }),
            update => on_update(update),
        }
    }
    (JobOutcome::Stopping, ResultGuard::Local { _job: None })
}

fn into_result(
    owner: InstanceId,
    outcome: JobOutcome,
    guard: ResultGuard,
) -> Result<JobResults, JobError> {
    match outcome {
        JobOutcome::Done(handles) => Ok(JobResults {
            handles,
            owner,
            _guard: guard,
        }),
        JobOutcome::Refused {
            retry_after_ms,
            reason,
        } => Err(JobError::Refused(
            Duration::from_millis(retry_after_ms),
            reason,
        )),
        JobOutcome::Failed(reason) => Err(JobError::Failed(reason)),
        JobOutcome::Stopping => Err(JobError::Refused(NO_OWNER_RETRY_DELAY, JobFailure::Failing)),
    }
}
