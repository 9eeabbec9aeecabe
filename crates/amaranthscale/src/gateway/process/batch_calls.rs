//! Calls to the servers of stage services.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::process::{
    Batch, BatchEnd, ConnectionShare, FreeRequest, PieceEnd, ServerLoad, ServerRecord,
};
use log::{debug, info};
use tokio::time::Instant;

use super::super::Dialect;
use super::super::clock::ms;
use super::super::connection::ConnectionPool;
use super::super::version::ClusterView;
use super::LimitTracker;
use crate::connection::{SendError, read_body};
use crate::process::Counters;

/// Largest answer to a batch: a handle for each piece.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Longest wait for a call that frees results; unfreed ones lapse by themselves.
const FREE_PATIENCE: Duration = Duration::from_millis(500);

/// What calls to stage servers need.
#[derive(Debug, Clone)]
pub(super) struct BatchCaller {
    pub(super) pool: Arc<ConnectionPool>,
    pub(super) dialect: Arc<Dialect>,
    pub(super) cluster_view: Arc<ClusterView>,
    pub(super) counters: Arc<Counters>,
    pub(super) limits: Arc<LimitTracker>,
}

/// Has a batch made; a call without an answer in time counts as lost.
async fn call_batch(caller: &BatchCaller, batch: &Batch) -> CallEnd {
    let call = call_in_time(caller, batch);
    tokio::time::timeout(batch.timeout, call)
        .await
        .unwrap_or(LOST)
}

/// How a call ended, and the load that the server told with it.
#[derive(Debug)]
pub(super) struct CallEnd {
    pub(super) end: BatchEnd,
    pub(super) told: Option<ServerLoad>,
}

const LOST: CallEnd = CallEnd {
    end: BatchEnd::NoAnswer,
    told: None,
};

const CUT_OFF: CallEnd = CallEnd {
    end: BatchEnd::ConnectionLost,
    told: None,
};

async fn call_in_time(caller: &BatchCaller, batch: &Batch) -> CallEnd {
    // Pieces may be made again, so a kept connection that proves dead is followed by a new one.
    match call_once(caller, batch, true).await {
        Ok(end) => end,
        Err(SendError::NotSent(..)) => match call_once(caller, batch, false).await {
            Ok(end) => end,
            Err(error) => lost(&error),
        },
        Err(error) => lost(&error),
    }
}

fn lost(error: &SendError) -> CallEnd {
    debug!("batches: {error}");
    match error {
        SendError::NotSent(..) => LOST,
        SendError::Lost(..) => CUT_OFF,
    }
}

async fn call_once(
    caller: &BatchCaller,
    batch: &Batch,
    may_be_kept: bool,
) -> Result<CallEnd, SendError> {
    let BatchCaller { pool, dialect, .. } = caller;
    let mut connection = if may_be_kept {
        pool.connection(&server(batch)).await?
    } else {
        pool.fresh(&batch.server, batch.address).await?
    };
    // Its zone may have been evacuated, or it may have begun to leave, since it was chosen.
    if !caller.cluster_view.servers().is_usable(&batch.server) {
        return Ok(CallEnd {
            end: BatchEnd::NotSent,
            told: None,
        });
    }
    let sent_at = Instant::now();
    let response = connection.send((dialect.batch_request)(batch)).await?;
    let (head, body) = response.into_parts();
    caller.limits.heard(dialect, &batch.server, &head, sent_at);
    let body = read_body(body, MAX_ANSWER_BYTES, batch.timeout)
        .await
        .map_err(|error| SendError::Lost(batch.address, error.to_string()))?;
    pool.give_back(connection, &head.headers, ConnectionShare::UNLIMITED);
    Ok(CallEnd {
        end: (dialect.parse_batch_answer)(head.status, &head.headers, &body),
        told: (dialect.reported_load)(&head.headers),
    })
}

fn server(batch: &Batch) -> ServerRecord {
    ServerRecord {
        incarnation: batch.server.clone(),
        service: batch.service.clone(),
        address: batch.address,
        zone: batch.zone.clone(),
        slots: 1,
        is_leaving: false,
        cold_left: None,
    }
}

/// Lets a server drop results.
pub(super) async fn call_free(dialect: &Dialect, pool: &ConnectionPool, frees: &FreeRequest) {
    let call = async {
        let mut connection = match pool.kept(&frees.server) {
            Some(connection) => connection,
            None => pool.fresh(&frees.server, frees.address).await?,
        };
        let response = connection
            .send((dialect.free_request)(&frees.handles))
            .await?;
        let (head, body) = response.into_parts();
        if read_body(body, MAX_ANSWER_BYTES, FREE_PATIENCE)
            .await
            .is_ok()
        {
            pool.give_back(connection, &head.headers, ConnectionShare::UNLIMITED);
        }
        Ok::<(), SendError>(())
    };
    match tokio::time::timeout(FREE_PATIENCE, call).await {
        Ok(Ok(())) => {}
        // The results lapse by themselves; their maker may be gone with them.
        Ok(Err(error)) => debug!("batches: results not freed: {error}"),
        Err(_elapsed) => debug!("batches: results not freed in time"),
    }
}

/// Has a batch made, and counts and logs what was not.
pub(super) async fn run_batch(caller: &BatchCaller, batch: &Batch) -> CallEnd {
    let started = Instant::now();
    let counters = &caller.counters;
    counters.count("batch.calls");
    let end = call_batch(caller, batch).await;
    let ms = ms(started.elapsed());
    for (end, pieces) in failed_pieces(&end.end, batch.items.len()) {
        counters.add(&format!("pieces.{end}"), pieces);
        info!(
            service = batch.service.as_str(), server:% = batch.server, end, pieces,
            of = batch.items.len(), ms;
            "batches: pieces not made"
        );
    }
    end
}

/// Pieces of a call that were not made, by reason.
fn failed_pieces(end: &BatchEnd, sent: usize) -> BTreeMap<&'static str, u64> {
    let sent = u64::try_from(sent).unwrap_or(u64::MAX);
    let ends = match end {
        BatchEnd::Pieces(ends) => ends,
        BatchEnd::NotSent => return BTreeMap::from([("withheld", sent)]),
        BatchEnd::Rejected => return BTreeMap::from([("server-full", sent)]),
        BatchEnd::OtherServer => return BTreeMap::from([("other-server", sent)]),
        BatchEnd::NoAnswer => return BTreeMap::from([("lost", sent)]),
        BatchEnd::ConnectionLost => return BTreeMap::from([("cut-off", sent)]),
    };
    let mut failed = BTreeMap::new();
    for end in ends {
        let name = match end {
            PieceEnd::Completed(_) => continue,
            PieceEnd::Late => "late",
            PieceEnd::InputMissing => "input-gone",
            PieceEnd::StorageFull => "no-room",
            PieceEnd::Failed => "failed",
        };
        *failed.entry(name).or_default() += 1;
    }
    failed
}
