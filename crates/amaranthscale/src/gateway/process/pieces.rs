//! Has a request's pieces made by the gateway that owns the batches.

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
use super::kept_pieces::KeptPieces;
use super::peer_pieces::{AskError, ask_peer};
use super::{GatewayParts, JobOutcome, JobSource, JobUpdate, OwnedJob};

/// Times that one request is given to an owner, the same or the next one.
const MOST_ASKED: usize = 4;
/// Time beyond that for which an owner holds a request, after which one that told nothing of it is
/// taken to be behind: one call and the ways there and back.
const OWNER_MARGIN: Duration = Duration::from_secs(1);
/// Time after which a caller may come back when no owner could be reached.
const NO_OWNER_RETRY: Duration = Duration::from_millis(500);

quick_error! {
    /// Pieces that were not made.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PiecesError {
        /// They cannot be made in time.
        Refused(retry_after: Duration, reason: JobFailure) {
            display("the pieces cannot be made: {reason}")
        }
        /// They were begun and given up.
        Failed(reason: JobFailure) {
            display("the pieces were given up: {reason}")
        }
    }
}

/// Results that are kept until this is dropped.
#[derive(Debug)]
pub struct MadePieces {
    /// Handles that the engine needs.
    pub handles: Vec<ResultHandle>,
    /// The gateway that had them made.
    pub owner: InstanceId,
    /// The job here, or the open answer of a peer.
    _kept: Kept,
}

#[derive(Debug)]
enum Kept {
    Here { _job: Option<OwnedJob> },
    Peer { _answer: Incoming },
}

/// Has pieces made, or says in time that none was begun.
///
/// Guards against an owner that is too busy to refuse: an owner gives up what it has not begun after
/// two aims, and a request of which nothing is told until then would wait to its caller's deadline.
pub(crate) async fn make_pieces(
    parts: &GatewayParts,
    content: &RequestContent,
    order: JobSpec,
) -> Result<MadePieces, PiecesError> {
    let call = order.call.clone();
    let held = order.target_latency_left + order.target_latency + OWNER_MARGIN;
    let has_begun = AtomicBool::new(false);
    let mut asking = pin!(ask_owners(parts, content, order, &has_begun));
    tokio::select! {
        made = &mut asking => return made,
        () = tokio::time::sleep(held) => {}
    }
    if has_begun.load(Ordering::Relaxed) {
        return asking.await;
    }
    parts.counters.count("owner.told-nothing");
    info!(call = call.as_str(); "batches: owner told nothing");
    Err(PiecesError::Refused(NO_OWNER_RETRY, JobFailure::Overloaded))
}

/// Asks owners; one that falls silent is passed over and the next one takes its place.
async fn ask_owners(
    parts: &GatewayParts,
    content: &RequestContent,
    mut order: JobSpec,
    has_begun: &AtomicBool,
) -> Result<MadePieces, PiecesError> {
    let started = Instant::now();
    let (aim_left, deadline_left) = (order.target_latency_left, order.deadline_left);
    let mut lost_by: Option<InstanceId> = None;
    let mut kept = KeptPieces::default();
    for _ in 0..MOST_ASKED {
        order.retained = kept.now();
        order.target_latency_left = aim_left.saturating_sub(started.elapsed());
        order.deadline_left = deadline_left.saturating_sub(started.elapsed());
        let (owner, address, is_own) = parts.cluster_view.owner(order.cell);
        let note = |news| {
            if let JobUpdate::CutOff { server, address } = &news {
                parts.crashes.lost(server, *address, content);
            }
            kept.note(news, has_begun);
        };
        let answered = if is_own {
            Ok(ask_here(parts, &order, note).await)
        } else {
            ask_peer(&parts.peers, &owner, address, &order, note)
                .await
                .map(|(answer, body)| (answer, Kept::Peer { _answer: body }))
        };
        match answered {
            Ok((JobOutcome::Stopping, _)) => parts.cluster_view.silent(&owner),
            // Its processor may be too slow for it, as on a machine that others use up: the next
            // one has as good servers before it. Only a gateway's own owner is nobody's to pass over.
            Ok((
                JobOutcome::Refused {
                    reason: JobFailure::Overloaded,
                    ..
                },
                _,
            )) if !is_own => {
                parts.counters.count("owner.passed-over");
                parts.cluster_view.silent(&owner);
            }
            Ok((answer, kept)) => {
                parts.cluster_view.heard(&owner);
                return outcome(owner, answer, kept);
            }
            Err(error) => {
                parts.counters.count("owner.lost");
                info!(
                    call = order.call.as_str(), owner = owner.as_str(), reason:% = error;
                    "batches: owner lost"
                );
                // A connection may end while its owner lives: passed over for that, the owner
                // would get a second one beside it. It is asked once more on a new connection.
                let is_first = lost_by.as_ref() != Some(&owner);
                if !(is_first && matches!(error, AskError::Lost(_))) {
                    parts.cluster_view.silent(&owner);
                }
                lost_by = Some(owner);
            }
        }
    }
    Err(PiecesError::Refused(NO_OWNER_RETRY, JobFailure::Failing))
}

async fn ask_here(
    parts: &GatewayParts,
    order: &JobSpec,
    mut note: impl FnMut(JobUpdate),
) -> (JobOutcome, Kept) {
    let mut job = parts.batches.submit(order.clone(), JobSource::Local).await;
    while let Some(news) = job.updates.recv().await {
        match news {
            JobUpdate::Ended(answer) => return (answer, Kept::Here { _job: job.owned }),
            news => note(news),
        }
    }
    (JobOutcome::Stopping, Kept::Here { _job: None })
}

fn outcome(owner: InstanceId, answer: JobOutcome, kept: Kept) -> Result<MadePieces, PiecesError> {
    match answer {
        JobOutcome::Done(handles) => Ok(MadePieces {
            handles,
            owner,
            _kept: kept,
        }),
        JobOutcome::Refused {
            retry_after_ms,
            reason,
        } => Err(PiecesError::Refused(
            Duration::from_millis(retry_after_ms),
            reason,
        )),
        JobOutcome::Failed(reason) => Err(PiecesError::Failed(reason)),
        JobOutcome::Stopping => Err(PiecesError::Refused(NO_OWNER_RETRY, JobFailure::Failing)),
    }
}
