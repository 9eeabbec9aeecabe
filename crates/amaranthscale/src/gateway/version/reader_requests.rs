//! Requests for a table's newer rows to several gateways at the same time.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::InstanceId;
use log::debug;
use tokio::task::JoinSet;

use super::{ArrivalNotice, RelayContext, RelayedRows, RowsRequest};

/// The same request to several gateways; dropping it cancels those without an answer.
#[derive(Debug)]
pub(super) struct ReaderRequests {
    context: RelayContext,
    request: RowsRequest,
    max_silence: Duration,
    open: JoinSet<(InstanceId, Result<RelayedRows, String>)>,
    failed: Vec<InstanceId>,
}

impl ReaderRequests {
    /// No request yet; each has an answer within `max_silence` and a round trip, or fails.
    pub(super) fn new(context: RelayContext, request: RowsRequest, max_silence: Duration) -> Self {
        Self {
            context,
            request,
            max_silence,
            open: JoinSet::new(),
            failed: Vec::new(),
        }
    }

    /// Sends the request to a gateway.
    pub(super) fn ask(&mut self, id: InstanceId, address: SocketAddr) {
        let (context, request) = (self.context.clone(), self.request.clone());
        let max_silence = self.max_silence;
        self.open.spawn(async move {
            let result = context
                .request_rows(&id, address, request, max_silence)
                .await;
            (id, result)
        });
    }

    /// The next answer with newer rows, or that such rows arrive; `None` once no request is open.
    pub(super) async fn next_newer(&mut self) -> Option<RelayedRows> {
        while let Some(joined) = self.open.join_next().await {
            let Ok((id, result)) = joined else {
                continue;
            };
            match self.newer(result) {
                Ok(newer) => return Some(newer),
                Err(reason) => self.record_failure(id, &reason),
            }
        }
        None
    }

    /// Gateways that failed or had no newer rows since the last call.
    pub(super) fn take_failed(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.failed)
    }

    fn newer(&self, result: Result<RelayedRows, String>) -> Result<RelayedRows, String> {
        let relayed = result?;
        let is_newer = match &relayed {
            RelayedRows::All(rows) | RelayedRows::Changed(rows) => {
                rows.clock > self.request.clock && rows.version.era() >= self.request.after.era()
            }
            RelayedRows::Part(rows) => rows.version > self.request.after,
            RelayedRows::Arriving => self.request.arrival_notice == ArrivalNotice::Wanted,
            RelayedRows::TooLarge => {
                self.context.counters.count("store.too-large-to-hand-on");
                return Err("its rows are too large".to_owned());
            }
            RelayedRows::StoreUnavailable => {
                return Err("it cannot reach the store".to_owned());
            }
            RelayedRows::Packed(_) => false,
        };
        if is_newer {
            Ok(relayed)
        } else {
            Err("it has no newer rows".to_owned())
        }
    }

    fn record_failure(&mut self, id: InstanceId, reason: &str) {
        self.context.counters.count("store.neighbour-lost");
        let table = self.request.table.name();
        debug!("store: {table} not read through {id}: {reason}");
        self.failed.push(id);
    }
}
