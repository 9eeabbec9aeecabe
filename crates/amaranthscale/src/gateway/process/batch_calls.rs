//! Calls to the servers of stage services.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{
    AnswerOrigin, Batch, BatchEnd, ConnectionShare, FreeRequest, PieceEnd, ServerAvailability,
    ServerLoad, ServerRecord,
};
use log::{debug, info};
use tokio::time::Instant;

use super::super::Dialect;
use super::super::clock::ms;
use super::super::connection::{ConnectionPool, ServerAnswer};
use super::super::version::ClusterView;
use super::{LimitTracker, SendPermit};
use crate::connection::{ReadBodyError, SendError, read_body};
use crate::process::Counters;

/// Maximum size of an answer to a batch, which has a handle for each piece.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Timeout of a call that frees results; servers expire results that were not freed.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);

/// Shared state for calls to stage servers.
#[derive(Debug, Clone)]
pub(super) struct BatchCaller {
    pub(super) pool: Arc<ConnectionPool>,
    pub(super) dialect: Arc<Dialect>,
    pub(super) cluster_view: Arc<ClusterView>,
    pub(super) counters: Arc<Counters>,
    pub(super) limits: Arc<LimitTracker>,
}

impl BatchCaller {
    /// Checks just before a call that its server may still be used; the owner has counted the call
    /// against the server's rate limit already.
    fn check_send(&self, server: &ServerIncarnation) -> Result<SendPermit, ServerAvailability> {
        let now = self.cluster_view.clock().now();
        let servers = self.cluster_view.servers();
        let permit = SendPermit::check(servers.availability(server, None, now));
        if let Err(availability) = &permit {
            self.counters
                .count_reason("servers.withheld", availability.name());
        }
        permit
    }
}

/// Sends a batch; a call without an answer within the batch's timeout counts as unanswered.
async fn call_batch(caller: &BatchCaller, batch: &Batch) -> CallEnd {
    let call = call_with_reconnect(caller, batch);
    tokio::time::timeout(batch.timeout, call)
        .await
        .unwrap_or(NO_ANSWER)
}

/// How a call ended, and the load that the server reported with it.
#[derive(Debug)]
pub(super) struct CallEnd {
    pub(super) end: BatchEnd,
    pub(super) reported_load: Option<ServerLoad>,
}

const NO_ANSWER: CallEnd = CallEnd {
    end: BatchEnd::NoAnswer,
    reported_load: None,
};

const CONNECTION_LOST: CallEnd = CallEnd {
    end: BatchEnd::ConnectionLost,
    reported_load: None,
};

async fn call_with_reconnect(caller: &BatchCaller, batch: &Batch) -> CallEnd {
    // Pieces may run twice, so a dead idle connection is replaced by a new one.
    match call_once(caller, batch, true).await {
        Ok(end) => end,
        Err(SendError::NotSent(..)) => match call_once(caller, batch, false).await {
            Ok(end) => end,
            Err(error) => failed_call(&error),
        },
        Err(error) => failed_call(&error),
    }
}

fn failed_call(error: &SendError) -> CallEnd {
    debug!("batches: {error}");
    match error {
        SendError::NotSent(..) | SendError::NoAnswer(..) => NO_ANSWER,
        SendError::Lost(..) => CONNECTION_LOST,
    }
}

async fn call_once(
    caller: &BatchCaller,
    batch: &Batch,
    may_reuse: bool,
) -> Result<CallEnd, SendError> {
    let BatchCaller { pool, dialect, .. } = caller;
    let mut connection = if may_reuse {
        pool.connection(&server_record(batch)).await?
    } else {
        pool.open(&batch.server, batch.address).await?
    };
    let request = (dialect.batch_request)(batch);
    let Ok(permit) = caller.check_send(&batch.server) else {
        return Ok(CallEnd {
            end: BatchEnd::NotSent,
            reported_load: None,
        });
    };
    let sent_at = Instant::now();
    let ServerAnswer {
        head,
        body,
        statement,
    } = connection.send(request, permit).await?;
    let reported_load = statement.load;
    let has_run = !(dialect.did_not_run)(head.status, &head.headers);
    caller
        .limits
        .record_answer(&batch.server, statement, has_run, sent_at);
    let (body, _end) = body.into_parts();
    let body = read_body(body, MAX_ANSWER_BYTES, batch.timeout)
        .await
        .map_err(|error| match error {
            ReadBodyError::Broken(reason) => SendError::Lost(batch.address, reason),
            error => SendError::NoAnswer(batch.address, error.to_string()),
        })?;
    let end = (dialect.parse_batch_answer)(head.status, &head.headers, &body);
    match connection.record_batch_answer(&end) {
        AnswerOrigin::Current => {
            pool.return_connection(connection, &head, ConnectionShare::UNLIMITED);
        }
        AnswerOrigin::Unknown => {}
        AnswerOrigin::Earlier => {
            caller.counters.count("batch.repeated-answers");
            return Ok(NO_ANSWER);
        }
    }
    Ok(CallEnd { end, reported_load })
}

fn server_record(batch: &Batch) -> ServerRecord {
    ServerRecord {
        incarnation: batch.server.clone(),
        service: batch.service.clone(),
        address: batch.address,
        zone: batch.zone.clone(),
        slots: 1,
        is_leaving: false,
        cold_left: None,
        software_version: None,
    }
}

/// Requests a server to free results.
pub(super) async fn send_free_request(caller: &BatchCaller, free_request: &FreeRequest) {
    let BatchCaller { pool, dialect, .. } = caller;
    let call = async {
        let mut connection = match pool.take_idle(&free_request.server) {
            Some(connection) => connection,
            None => {
                pool.open(&free_request.server, free_request.address)
                    .await?
            }
        };
        // The server expires the results if it may not be sent the request.
        let Ok(permit) = caller.check_send(&free_request.server) else {
            return Ok(());
        };
        let request = (dialect.free_request)(&free_request.handles);
        let ServerAnswer { head, body, .. } = connection.send(request, permit).await?;
        let (body, _end) = body.into_parts();
        if read_body(body, MAX_ANSWER_BYTES, FREE_TIMEOUT)
            .await
            .is_ok()
        {
            pool.return_connection(connection, &head, ConnectionShare::UNLIMITED);
        }
        Ok::<(), SendError>(())
    };
    match tokio::time::timeout(FREE_TIMEOUT, call).await {
        Ok(Ok(())) => {}
        // The server expires the results, or has ended and lost them.
        Ok(Err(error)) => debug!("batches: results not freed: {error}"),
        Err(_elapsed) => debug!("batches: results not freed in time"),
    }
}

/// Runs a batch, and counts and logs its failed pieces.
pub(super) async fn run_batch(caller: &BatchCaller, batch: &Batch) -> CallEnd {
    let started = Instant::now();
    let counters = &caller.counters;
    counters.count("batch.calls");
    let _in_flight = caller.pool.calls_in_flight().begin(&batch.server);
    let end = call_batch(caller, batch).await;
    let ms = ms(started.elapsed());
    for (end, pieces) in failed_piece_counts(&end.end, batch.items.len()) {
        counters.add(&format!("pieces.{end}"), pieces);
        info!(
            service = batch.service.as_str(), server:% = batch.server, end, pieces,
            of = batch.items.len(), ms;
            "batches: pieces not made"
        );
    }
    end
}

/// Failed pieces of a call, by reason.
fn failed_piece_counts(end: &BatchEnd, sent: usize) -> BTreeMap<&'static str, u64> {
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
